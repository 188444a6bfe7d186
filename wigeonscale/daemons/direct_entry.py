"""Builds and runs the entry daemon that connects to backend servers directly."""

__all__ = ["run_direct_entry"]

import asyncio
import functools
import logging
import random
from collections.abc import Callable

from aiohttp import web

from wigeonscale.adapters import METRICS, setup_logging, start_http
from wigeonscale.adapters.logs import log_fields
from wigeonscale.adapters.request_memory import RequestMemory, request_memory_bytes
from wigeonscale.config import DirectEntrySettings
from wigeonscale.crashes import CrashTracker
from wigeonscale.daemons.crashes import crash_update_handler, report_crashes_to_control
from wigeonscale.daemons.descriptors import max_caller_connections
from wigeonscale.daemons.early_listener import EarlyListener
from wigeonscale.daemons.load_exchange import apply_load_totals, build_load_report
from wigeonscale.daemons.retry_reservations import (
    retry_reserver,
    retry_share_holder,
)
from wigeonscale.daemons.runtime import (
    StopStep,
    late_step_timeout_s,
    run_until_stopped,
    shutdown_timeout_s,
)
from wigeonscale.direct import (
    AdmissionQueue,
    BackendRateLimits,
    BackendTracker,
    ClassDemandTracker,
    DirectService,
    EntryContext,
    Fleet,
    Notices,
    OverloadDetector,
    ReservedRetries,
    RetryShare,
    SharedRetryBudget,
    StallDetector,
    read_fleet,
    replaced_incarnations,
)
from wigeonscale.errors import SettingsError
from wigeonscale.membership import Change, ControlClient
from wigeonscale.platform.callers import CallerServer
from wigeonscale.platform.documents import decompress, read_route_table
from wigeonscale.platform.engine_orders import HttpEngineOrders
from wigeonscale.platform.exchange_http import HttpExchange, new_session
from wigeonscale.platform.reachability import check_reachable
from wigeonscale.ports import Clock, SystemClock
from wigeonscale.routes import RouteTable, traffic_classes
from wigeonscale.wire import wire_pb2 as wire

# The load balancer checks readiness once a second and removes an entry after two failed
# checks, 2 s at most; the rest is for connections being established. A short wait keeps
# few entries of a failure domain down at once during a rolling restart.
LOAD_BALANCER_REMOVAL_S = 2.4

MS_PER_S = 1000.0
# Upper bound of the reconnect backoff. After a network partition an entry must have the
# current configuration within seconds. If all entries lose all of control at once, they
# contact each replica a few times a second at most.
RECONNECT_CAP_S = 0.8

logger = logging.getLogger(__name__)


class _ControlView:
    """The route table and the backend servers, as last received from control.

    Args:
        control: Client of control.
        tracker: Updated when the set of backend servers changes.
        notices: Likewise.
        limits: Likewise.
        classes: Whether services have traffic classes: ``auto``, ``yes`` or ``no``.

    Attributes:
        table: Current route table.
        is_complete: Set once both the table and the backend servers were received.
        fleet: Current backend servers.
        services_with_classes: Names of the services with traffic classes.
    """

    def __init__(
        self,
        *,
        control: ControlClient,
        tracker: BackendTracker,
        notices: Notices,
        limits: BackendRateLimits,
        classes: str,
    ):
        self.table = RouteTable()
        self.services_with_classes: frozenset[str] = frozenset()
        self._classes = classes
        self.is_complete = asyncio.Event()
        self.fleet = Fleet()
        self._members_received = False
        self._backends: list[wire.Backend] = []
        self._control = control
        self._tracker = tracker
        self._notices = notices
        self._limits = limits
        control.changes.subscribe(self._on_change)

    def _on_change(self, change: Change) -> None:
        if change is Change.MEMBERS:
            self._apply_members(list(self._control.members.backends.values()))
        elif change is Change.NUMBERED_DOCUMENT:
            self._apply_table()
        # The table arrives first; without the members no backend server is known.
        if self.table.number and self._members_received:
            self.is_complete.set()

    def _apply_members(self, backends: list[wire.Backend]) -> None:
        ended = replaced_incarnations(self._backends, backends)
        self._backends = backends
        self.fleet = read_fleet(backends)
        for backend_id in ended:
            logger.info(
                "%s was replaced by a later incarnation",
                backend_id,
                extra=log_fields(outcome="former start is lost"),
            )
            self._tracker.note_ended(backend_id)
        self._tracker.keep_only(self.fleet.by_id)
        present = [*self.fleet.by_id, *self.fleet.draining]
        self._notices.keep_only(present)
        self._limits.keep_only(present)
        self._members_received = True

    def _apply_table(self) -> None:
        document = self._control.numbered_document
        try:
            self.table = read_route_table(decompress(document.content))
        except SettingsError as exc:
            # Unexpected: control validates each document before accepting it.
            logger.error(
                "route table document %d cannot be read: %s",
                document.number,
                exc.message,
            )
            return
        self._apply_classes()

    def _apply_classes(self) -> None:
        names = self.table.services if self._classes != "no" else ()
        found = frozenset(
            name
            for name in names
            if self._classes == "yes" or traffic_classes(self.table, name)
        )
        if found != self.services_with_classes:
            logger.info(
                "services with traffic classes: %s",
                ", ".join(sorted(found)) or "none",
                extra=log_fields(outcome=self._classes, table=self.table.number),
            )
        self.services_with_classes = found


async def run_direct_entry(
    cfg: DirectEntrySettings,
    *,
    reload: Callable[[], DirectEntrySettings],
    early: EarlyListener | None = None,
) -> int:
    """Run an entry until SIGTERM.

    Args:
        cfg: Settings of the entry.
        reload: Reloads the settings; only the new seeds take effect.
        early: Result of listening before the imports; None if it was not attempted.

    Returns:
        The exit code.

    Raises:
        OSError: If an address cannot be bound.
    """
    setup_logging(cfg.log_level, cfg.name)
    clock = SystemClock()
    tracker = BackendTracker(clock=clock)
    limits = BackendRateLimits(
        name=cfg.name, clock=clock, entry_count=lambda: control.entries
    )
    notices = Notices(clock=clock, limits=limits)
    reserved = ReservedRetries(
        clock=clock,
        reserve=retry_reserver(lambda: control, window_s=cfg.retry_window_s),
    )
    share = RetryShare(
        clock=clock,
        hold=retry_share_holder(
            lambda: control, name=cfg.name, rng=random.SystemRandom()
        ),
        holders=lambda: control.share_holders,
        confirmed_at=lambda: control.confirmed_at,
        window_s=cfg.retry_window_s,
        rng=random.Random(),
    )
    budget = SharedRetryBudget(
        clock=clock,
        ratio=cfg.retry_ratio,
        slack=cfg.retry_slack,
        window_s=cfg.retry_window_s,
        entry_count=lambda: control.entries,
        reserved=reserved,
        share=share,
    )
    crashes = CrashTracker(
        clock=clock,
        is_serving=lambda backend_id: backend_id in view.fleet.by_id,
        has_ended=lambda backend_id: view.fleet.has_ended(backend_id),
        rng=random.Random(),
        is_connected=lambda: control.lease_valid(),
    )
    control = _new_control(
        cfg,
        clock,
        crashes,
        loads=lambda: build_load_report(ctx),
        on_loads=lambda totals: apply_load_totals(ctx, totals),
    )
    view = _ControlView(
        control=control,
        tracker=tracker,
        notices=notices,
        limits=limits,
        classes=cfg.classes,
    )
    stopping: list[bool] = []

    def may_serve() -> bool:
        return cfg.serve_when_cut or control.lease_valid()

    def is_ready() -> bool:
        return view.is_complete.is_set() and may_serve() and not stopping

    async def show_ready(req: web.Request) -> web.Response:
        return web.Response(status=200 if is_ready() else 503)

    session = new_session()
    order_session = new_session(keeps_connections=False)

    def suspect(
        backend_id: str, *, is_hint: bool = False, is_witness: bool = False
    ) -> None:
        server = view.fleet.find(backend_id)
        if server is not None:
            control.suspect(
                server.name,
                server.incarnation,
                is_hint=is_hint,
                witness_domain=cfg.domain if is_witness else "",
            )

    overload = OverloadDetector(
        share_factor=lambda: tracker.share_factor(control.entries)
    )

    max_connections = max_caller_connections()

    def refuse_connection() -> bool:
        refuses = overload.refuses_connections or server.connections >= max_connections
        if refuses:
            overload.note_refused()
            METRICS.refused_connections.add()
        return refuses

    orders = HttpEngineOrders(session=session, order_session=order_session)
    stalls = StallDetector(
        tracker=tracker,
        clock=clock,
        orders=orders,
        fleet=lambda: view.fleet,
        suspect=suspect,
        witness=functools.partial(suspect, is_witness=True),
        hint=functools.partial(suspect, is_hint=True),
        check_reachable=check_reachable,
        delay_s=lambda domain: view.table.delay_ms(cfg.domain, domain) / MS_PER_S,
        on_lag=overload.note_lag,
    )
    control.changes.subscribe(lambda change: stalls.check_after_change())
    ctx = EntryContext(
        exchange=HttpExchange(session=session),
        tracker=tracker,
        budget=budget,
        clock=clock,
        domain=cfg.domain,
        fleet=lambda: view.fleet,
        entry_count=lambda: control.entries,
        suspect=suspect,
        rng=random.Random(),
        orders=orders,
        stalls=stalls,
        admission_queue=AdmissionQueue(clock=clock),
        crashes=crashes,
        notices=notices,
        limits=limits,
        class_demand=ClassDemandTracker(
            clock=clock, domain=cfg.domain, max_reserve=cfg.class_reserve
        ),
        has_classes=lambda service: service in view.services_with_classes,
    )
    service = DirectService(
        ctx=ctx,
        table=lambda: view.table,
        config_received=view.is_complete,
        may_serve=may_serve,
        rng=random.Random(),
    )
    server = CallerServer(
        address=cfg.listen,
        serve=service.serve,
        max_body=lambda: view.table.limits.body_bytes,
        max_header=lambda: view.table.limits.header_bytes,
        header_timeout_s=lambda: view.table.limits.header_timeout_s,
        memory=RequestMemory(limit_bytes=request_memory_bytes(cfg.memory_mb)),
        clock=clock,
        idle_s=lambda: view.table.limits.idle_s,
        sock=early.sock if early is not None else None,
        refuse_connection=refuse_connection,
    )
    await server.start()
    http_runner = await start_http(cfg.http, [web.get("/ready", show_ready)], is_ready)
    logger.info(
        "entry %s listens on %s",
        cfg.name,
        cfg.listen,
        extra=log_fields(
            early=early is not None and early.sock is not None,
            early_reason=early.reason if early is not None else None,
        ),
    )

    async def finish() -> None:
        stopping.append(True)
        await server.drain(LOAD_BALANCER_REMOVAL_S)

    try:
        return await run_until_stopped(
            tasks={
                "control": control.run(),
                "stalls": stalls.run(),
                "retry share": share.run(),
                "crashes": report_crashes_to_control(
                    crashes, control=control, clock=clock
                ),
            },
            stop_steps=[
                StopStep("finish", finish),
                StopStep("close", server.close),
                StopStep("give up retry share", share.end),
            ],
            stop_timeout_s=shutdown_timeout_s(cfg.killed_after_s, cfg.stop_timeout_s),
            late_step_timeout_s=late_step_timeout_s(cfg.killed_after_s),
            reload=lambda: control.add_addresses(_control_addresses(reload())),
        )
    finally:
        await reserved.close()
        await http_runner.cleanup()
        await session.close()
        await order_session.close()


def _new_control(
    cfg: DirectEntrySettings,
    clock: Clock,
    crashes: CrashTracker,
    *,
    loads: Callable[[], wire.Loads],
    on_loads: Callable[[wire.Loads], None],
) -> ControlClient:
    return ControlClient(
        node_id=cfg.name,
        role="entry",
        addresses=_control_addresses(cfg),
        clock=clock,
        http_address=cfg.http,
        loads=loads,
        on_loads=on_loads,
        on_crashes=crash_update_handler(crashes),
        lease_s=cfg.lease_s,
        heartbeat_s=cfg.heartbeat_s,
        tls=cfg.tls,
        reconnect_cap_s=RECONNECT_CAP_S,
    )


def _control_addresses(cfg: DirectEntrySettings) -> list[str]:
    hosts = [seed.rpartition(":")[0] for seed in cfg.seeds]
    return [f"{host}:{cfg.internal_port}" for host in hosts]
