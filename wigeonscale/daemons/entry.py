"""Builds and runs the entry daemon from its components."""

__all__ = ["build_entry", "run_entry"]

import functools
import random

from wigeonscale.adapters import open_channel, setup_logging, start_http
from wigeonscale.config import EntrySettings
from wigeonscale.crashes import CrashTracker
from wigeonscale.daemons.crashes import crash_update_handler, report_crashes_to_control
from wigeonscale.daemons.runtime import StopStep, run_until_stopped
from wigeonscale.dispatch import (
    AgentLinks,
    Claims,
    CrashGuard,
    Dispatcher,
    DispatchTransport,
    KeepaliveLimits,
    Target,
)
from wigeonscale.entry import (
    BackendInstances,
    CallerServer,
    EntryLimits,
    EntryService,
    MemberSelector,
)
from wigeonscale.limits import OrganisationLimits
from wigeonscale.membership import Change, ControlClient
from wigeonscale.platform.reachability import check_reachable
from wigeonscale.ports import Clock, SystemClock
from wigeonscale.reports import BurnRecorder, burn_routes
from wigeonscale.routing import Chooser, LoadTable, PrefixView, RetryBudget

KEEPALIVE_CHECKS_PER_HEARTBEAT = 2


async def run_entry(cfg: EntrySettings) -> int:
    """Run an entry until SIGTERM.

    Args:
        cfg: Settings of the entry.

    Returns:
        The exit code.

    Raises:
        OSError: If an address cannot be bound.
    """
    setup_logging(cfg.log_level, cfg.name)
    clock = SystemClock()
    instances = BackendInstances(members=lambda: control.members)
    crashes = new_crash_tracker(instances, clock=clock)
    control = ControlClient(
        node_id=cfg.name,
        role="entry",
        addresses=cfg.control,
        clock=clock,
        http_address=cfg.http,
        lease_s=cfg.lease_s,
        heartbeat_s=cfg.heartbeat_s,
        tls=cfg.tls,
        on_crashes=crash_update_handler(crashes),
    )
    entry = build_entry(cfg, control=control, clock=clock, crashes=crashes)
    control.changes.subscribe(
        lambda change: (
            entry.reroute_removed_chains() if change is Change.MEMBERS else None
        )
    )
    server = CallerServer(entry=entry, address=cfg.listen)
    http_runner = await start_http(
        cfg.http, burn_routes(entry.recorder), entry.is_ready
    )
    try:
        return await run_until_stopped(
            tasks={
                "control": control.run(),
                "callers": _serve_when_ready(control, server),
                "crashes": report_crashes_to_control(
                    crashes, control=control, clock=clock
                ),
            },
            stop_steps=[
                StopStep("stop accepting", server.stop_accepting),
                StopStep("finish", server.finish, on_timeout=server.abort),
                StopStep("close", server.close),
            ],
            stop_timeout_s=cfg.stop_timeout_s,
        )
    finally:
        await http_runner.cleanup()


def build_entry(
    cfg: EntrySettings,
    *,
    control: ControlClient,
    clock: Clock,
    keepalive: KeepaliveLimits | None = None,
    crashes: CrashTracker | None = None,
) -> EntryService:
    """Build the service of an entry from its components.

    Args:
        cfg: Settings of the entry.
        control: Client of control.
        clock: Clock port.
        keepalive: When a connection to an agent counts as lost; None derives it from
            the heartbeat interval.
        crashes: Tracker of the requests that crash backend servers; None for one that
            gets no updates from control.
    """
    default_keepalive = KeepaliveLimits(
        interval_s=cfg.heartbeat_s / KEEPALIVE_CHECKS_PER_HEARTBEAT
    )
    table = LoadTable(clock=clock)
    view = PrefixView()
    chooser = Chooser(table=table, rng=random.Random(), subset=cfg.subset, view=view)
    selector = MemberSelector(
        members=lambda: control.members, chooser=chooser, clock=clock
    )

    def on_gone(target: Target) -> None:
        selector.avoid_temporarily(target)
        control.suspect(target.agent_id, target.incarnation)

    links = AgentLinks(
        entry_id=cfg.name,
        clock=clock,
        on_load=table.update_load,
        on_prefixes=view.apply_events,
        on_gone=on_gone,
        limits=keepalive or default_keepalive,
        dial=functools.partial(open_channel, tls=cfg.tls),
        check_reachable=check_reachable,
    )
    transport = DispatchTransport(links=links, table=table)
    claims = Claims(
        control=control, transport=transport, selector=selector, clock=clock
    )
    instances = BackendInstances(members=lambda: control.members)
    dispatcher = Dispatcher(
        transport=transport,
        selector=selector,
        claims=claims,
        budget=RetryBudget(clock=clock, ratio=cfg.retry_ratio),
        crashes=CrashGuard(
            tracker=crashes or new_crash_tracker(instances, clock=clock),
            servers=instances.ids_of,
        ),
        clock=clock,
        open_timeout_s=cfg.open_timeout_s,
    )
    return EntryService(
        control=control,
        dispatcher=dispatcher,
        links=links,
        claims=claims,
        selector=selector,
        organisation_limits=OrganisationLimits(
            clock=clock, entry_count=lambda: control.entries
        ),
        clock=clock,
        recorder=BurnRecorder(clock=clock),
        limits=EntryLimits(
            default_deadline_s=cfg.default_deadline_s,
            body_limit_bytes=cfg.body_limit_bytes,
            max_streams=cfg.max_streams,
        ),
    )


def new_crash_tracker(instances: BackendInstances, *, clock: Clock) -> CrashTracker:
    """Return a crash tracker for the backend servers of agents.

    Args:
        instances: Maps agents to the names of their backend server instances.
        clock: Clock port.
    """
    return CrashTracker(
        clock=clock,
        is_serving=instances.is_serving,
        has_ended=instances.has_ended,
        rng=random.Random(),
    )


async def _serve_when_ready(control: ControlClient, server: CallerServer) -> None:
    # Callers are not served before a majority has confirmed the configuration.
    await control.ready()
    await server.start()
