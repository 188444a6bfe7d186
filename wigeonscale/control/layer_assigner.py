"""Assigns layers to engines without an agent and sends them orders to load."""

__all__ = ["LayerAssigner"]

import asyncio
import functools
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from wigeonscale.adapters.logs import log_fields
from wigeonscale.control.commands import Commands
from wigeonscale.control.model_sizes import (
    model_size,
    planning_obstacle,
    usable_accelerator,
)
from wigeonscale.control.step_guard import StepGuard
from wigeonscale.errors import WigeonscaleError
from wigeonscale.layers import Holder, LayerRange, plan_layers
from wigeonscale.ports import Clock
from wigeonscale.ports.orders import EngineOrders, EngineStatus, OrderOutcome
from wigeonscale.replication import Replica, Role
from wigeonscale.routes import EngineProfile, RouteTable, Service
from wigeonscale.state import ControlState, Member
from wigeonscale.wire import wire_pb2 as wire

PLAN_INTERVAL_S = 0.2
# Time without a new engine before the first plan. Engines announce themselves with
# each heartbeat, so all do within about 1.2 s.
SETTLE_S = 0.7
# An engine whose order has had no visible effect for this long is queried again.
# Loading all layers of an engine takes 14 s x 20 / 80 if no other engine loads, and
# longer if many load at once.
ORDER_TIMEOUT_S = 12.0
UNKNOWN_RETRY_S = 1.5
# Interval at which an engine is polled while it loads layers that requests wait for.
# Its heartbeat would report them up to 1.2 s later. A typical load takes one second.
LOAD_POLL_S = 0.35
MAX_LOAD_POLLS = 12
# Load pattern: thousands of engines announce themselves within one heartbeat interval
# and all get their first order. Each exchange takes the leader a few milliseconds of
# CPU time. If all were sent at once, most replies would miss their timeout, count as
# unknown and cause another query and order.
MAX_CONCURRENT_ORDERS = 100
# Packs (term, index) into one fencing token that JSON represents exactly.
TERM_SHIFT = 32

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _Order:
    """An issued order whose effect has not been announced yet.

    Attributes:
        layers: Layers that the engine is to hold.
        retry_at: Time from which the engine is queried and may get an order again.
        previous_layers: Layers that the plan assumed the engine holds.
        is_accepted: Whether the engine confirmed that it carries out the order.
    """

    layers: LayerRange
    retry_at: float
    previous_layers: LayerRange
    is_accepted: bool = False


class LayerAssigner:
    """Keeps all layers of each model covered while this replica is the leader.

    Args:
        state: Replicated state.
        replica: Local replica of the log.
        clock: Time source.
        orders: Client for orders to engines.
        commands: Submits commands to the replicated log.
        table: Returns the current route table.
        is_fresh: Returns whether a majority confirmed the state recently.
    """

    def __init__(
        self,
        *,
        state: ControlState,
        replica: Replica,
        clock: Clock,
        orders: EngineOrders,
        commands: Commands,
        table: Callable[[], RouteTable],
        is_fresh: Callable[[], bool],
    ):
        self._state = state
        self._replica = replica
        self._clock = clock
        self._orders = orders
        self._commands = commands
        self._table = table
        self._is_fresh = is_fresh
        self._issued_orders: dict[str, _Order] = {}
        self._order_counts: dict[str, int] = {}
        self._order_tasks: dict[str, asyncio.Task] = {}
        # Planned layers of engines whose orders have not been sent yet.
        self._queued_layers: dict[str, LayerRange] = {}
        self._order_slots = asyncio.Semaphore(MAX_CONCURRENT_ORDERS)
        self._guard = StepGuard(task="layer assignment", clock=clock)
        self._known_engines: frozenset[str] = frozenset()
        self._settled_at = clock.now()
        self._incarnations: dict[str, int] = {}
        self._seen_table: RouteTable | None = None
        self._services: list[Service] = []

    async def run(self) -> None:
        """Plan and send orders until cancelled."""
        try:
            while True:
                await self._clock.sleep(PLAN_INTERVAL_S)
                if self._replica.role is Role.LEADER and self._is_fresh():
                    with self._guard.step():
                        self._reconcile()
                else:
                    self._issued_orders.clear()
                    self._order_counts.clear()
        finally:
            tasks = list(self._order_tasks.values())
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _reconcile(self) -> None:
        members = {m.backend.agent_id: m.backend for m in self._state.members}
        if self._known_engines != members.keys():
            self._known_engines = frozenset(members)
            self._settled_at = self._clock.now() + SETTLE_S
        self._drop_restarted(members)
        self._drop_finished(members)
        for service in self._plannable_services():
            with self._guard.step(service=service):
                self._reconcile_service(service.name, service.engine, members)

    def _plannable_services(self) -> list[Service]:
        """Return the services whose engines hold layers that can be planned."""
        table = self._table()
        if table is not self._seen_table:
            self._seen_table = table
            self._services = []
            for service in table.services.values():
                if service.engine is None or not service.engine.layers:
                    continue
                obstacle = planning_obstacle(service.engine)
                if not obstacle:
                    self._services.append(service)
                    continue
                logger.warning(
                    "cannot plan layers of service %s: %s", service.name, obstacle
                )
        return self._services

    def _drop_restarted(self, members: dict[str, wire.Backend]) -> None:
        """Drop the orders of engines that have restarted since the last call."""
        incarnations = {name: backend.incarnation for name, backend in members.items()}
        for name, incarnation in incarnations.items():
            if self._incarnations.get(name, incarnation) != incarnation:
                self._issued_orders.pop(name, None)
                self._order_counts.pop(name, None)
        self._incarnations = incarnations

    def _drop_finished(self, members: dict[str, wire.Backend]) -> None:
        for name, order in list(self._issued_orders.items()):
            backend = members.get(name)
            if (
                backend is None
                or backend.silent
                or _is_finished(order, _announced_layers(backend))
                or not self._is_allowed(order.layers, backend)
            ):
                del self._issued_orders[name]

    def _is_allowed(self, layers: LayerRange, backend: wire.Backend) -> bool:
        """Return whether an engine may hold layers under the current configuration.

        The model, its sizes and the kinds of accelerators may have changed since an
        order was planned.
        """
        service = self._table().services.get(backend.service)
        engine = service.engine if service is not None else None
        if engine is None or layers.end > engine.layers:
            return False
        accelerator = usable_accelerator(engine, backend.accelerator)
        return (
            accelerator is not None
            and layers.count * engine.layer_mb <= accelerator.size_mb
        )

    def _reconcile_service(
        self, service: str, engine: EngineProfile, members: dict[str, wire.Backend]
    ) -> None:
        backends = [b for b in members.values() if b.service == service]
        serves = any(_announced_layers(b).count for b in backends)
        is_first = not serves and not self._issued_orders
        if is_first and self._clock.now() < self._settled_at:
            return
        holders = [self._holder(b, engine) for b in backends]
        known = [holder for holder in holders if holder is not None]
        wanted: dict[str, LayerRange] = {}
        # Orders in progress are sent again in any case.
        with self._guard.step(service=service, engines=known):
            wanted = plan_layers(known, model_size(engine))
        now = self._clock.now()
        for name, order in self._issued_orders.items():
            if now >= order.retry_at and members[name].service == service:
                wanted.setdefault(name, order.layers)
        # Computed once per domain, since the first plan covers thousands of engines.
        has_all_layers = functools.cache(
            lambda domain: _has_all_layers(backends, domain, engine.layers)
        )
        for name, layers in wanted.items():
            if name not in self._order_tasks:
                backend = members[name]
                waits = has_all_layers(backend.domain)
                coro = self._place_layers(backend, layers, polls=serves, waits=waits)
                task = asyncio.create_task(coro)
                self._order_tasks[name] = task
                self._queued_layers[name] = layers
                task.add_done_callback(functools.partial(self._forget_task, name))

    def _forget_task(self, name: str, task: asyncio.Task) -> None:
        del self._order_tasks[name]
        layers = self._queued_layers.pop(name, None)
        exc = None if task.cancelled() else task.exception()
        if exc is not None:
            self._guard.report(exc, engine=name, layers=layers)

    def _holder(self, backend: wire.Backend, engine: EngineProfile) -> Holder | None:
        accelerator = usable_accelerator(engine, backend.accelerator)
        if accelerator is None:
            return None
        issued = self._issued_orders.get(backend.agent_id)
        queued = self._queued_layers.get(backend.agent_id)
        return Holder(
            backend_id=backend.agent_id,
            domain=backend.domain,
            size_mb=accelerator.size_mb,
            pace=accelerator.pace,
            held=queued or (issued.layers if issued else _announced_layers(backend)),
            is_available=not (backend.silent or backend.draining),
            is_settled=queued is None and issued is None,
        )

    async def _place_layers(
        self, backend: wire.Backend, layers: LayerRange, *, polls: bool, waits: bool
    ) -> None:
        async with self._order_slots:
            outcome = await self._send_order(backend, layers, waits=waits)
        # An order that was sent is in _issued_orders by now.
        self._queued_layers.pop(backend.agent_id, None)
        if polls and outcome is OrderOutcome.STARTED:
            await self._poll_until_loaded(backend, layers)

    async def _send_order(
        self, backend: wire.Backend, layers: LayerRange, *, waits: bool
    ) -> OrderOutcome | None:
        """Send one order; return its outcome, or None if no order is due."""
        if self._replica.role is not Role.LEADER or not self._is_fresh():
            # Leadership was lost while the order was queued; the next leader replans.
            return None
        name = backend.agent_id
        expected = await self._expected_orders(backend, layers)
        if expected is None:
            return None
        if not self._is_allowed(layers, backend):
            # The configuration changed while the order waited.
            return None
        fencing_token = (
            self._replica.applied_term << TERM_SHIFT
        ) + self._replica.applied_index
        outcome = await self._orders.place(
            backend.address,
            backend_id=name,
            first=layers.first,
            end=layers.end,
            fence=fencing_token,
            expected_orders=expected,
            waits=waits,
        )
        now = self._clock.now()
        if outcome in (OrderOutcome.STARTED, OrderOutcome.UNCHANGED):
            self._order_counts[name] = expected + (outcome is OrderOutcome.STARTED)
            self._issued_orders[name] = _Order(
                layers,
                now + ORDER_TIMEOUT_S,
                _announced_layers(backend),
                is_accepted=True,
            )
        else:
            self._order_counts.pop(name, None)
            self._issued_orders[name] = _Order(
                layers, now + UNKNOWN_RETRY_S, _announced_layers(backend)
            )
        logger.info(
            "order to engine %s to hold layers %d-%d",
            name,
            layers.first,
            layers.end,
            extra=log_fields(
                outcome=outcome,
                fence=fencing_token,
                expected_orders=expected,
                waits=waits,
            ),
        )
        return outcome

    async def _poll_until_loaded(
        self, backend: wire.Backend, layers: LayerRange
    ) -> None:
        """Poll an engine and announce its new layers as soon as it holds them."""
        for _ in range(MAX_LOAD_POLLS):
            await self._clock.sleep(LOAD_POLL_S)
            member = self._state.members.get(backend.agent_id)
            if member is None or member.backend.silent:
                return
            if _announced_layers(member.backend) == layers:
                return
            status = await self._orders.status(backend.address)
            if status is None or status.busy:
                continue
            if _is_other_incarnation(status, member.backend):
                return
            if LayerRange(status.first_layer, status.end_layer) == layers:
                await self._announce(member, layers)
                return

    async def _announce(self, member: Member, layers: LayerRange) -> None:
        backend = wire.Backend()
        backend.CopyFrom(member.backend)
        backend.first_layer = layers.first
        backend.last_layer = layers.end - 1
        announce = wire.Announce(
            backend=backend, replica=member.replica, sequence=member.sequence
        )
        try:
            await self._commands.submit(wire.Command(announce=announce))
        except WigeonscaleError as exc:
            # The next heartbeat of the engine reports the layers.
            logger.info(
                "could not announce layers of engine %s: %s",
                backend.agent_id,
                exc.message,
            )

    async def _expected_orders(
        self, backend: wire.Backend, layers: LayerRange
    ) -> int | None:
        """Return the order count to expect, or None if no order is due."""
        name = backend.agent_id
        is_new = (
            not _announced_layers(backend).count and name not in self._issued_orders
        )
        if name in self._order_counts and name not in self._issued_orders:
            return self._order_counts[name]
        if is_new and name not in self._order_counts:
            return 0
        status = await self._orders.status(backend.address)
        retry = _Order(
            layers, self._clock.now() + UNKNOWN_RETRY_S, _announced_layers(backend)
        )
        if status is None:
            self._issued_orders[name] = retry
            return None
        if _is_other_incarnation(status, backend):
            # Wait for a heartbeat of the new incarnation; the plan used the old one.
            logger.info(
                "engine %s has restarted",
                name,
                extra=log_fields(
                    outcome="not ordered",
                    old_born=backend.started_ms,
                    born=status.started_ms,
                ),
            )
            self._issued_orders[name] = retry
            return None
        self._order_counts[name] = status.orders
        held = LayerRange(status.first_layer, status.end_layer)
        if status.busy or held == layers:
            self._issued_orders[name] = retry
            return None
        if held != _announced_layers(backend):
            # Another leader has sent an order, and the layers that the engine holds now
            # may complete a set. A plan made after its heartbeat considers them.
            logger.info(
                "engine %s holds other layers than the plan assumed",
                name,
                extra=log_fields(
                    outcome="not ordered", holds=f"{held.first}-{held.end}"
                ),
            )
            self._issued_orders[name] = retry
            return None
        return status.orders


def _is_finished(order: _Order, held: LayerRange) -> bool:
    """Return whether an order is done or another one was carried out instead.

    Load pattern: all control replicas are killed, and the new leader plans before
    heartbeats report what engines loaded for the previous leader. The engines refuse
    its orders because of the order count. Sending these again with the right count
    would break up a set of layers that is complete by now.
    """
    return held == order.layers or (
        not order.is_accepted and held != order.previous_layers
    )


def _is_other_incarnation(status: EngineStatus, backend: wire.Backend) -> bool:
    status_ms, announced_ms = status.started_ms, backend.started_ms
    return bool(status_ms and announced_ms) and status_ms != announced_ms


def _has_all_layers(backends: Iterable[wire.Backend], domain: str, layers: int) -> bool:
    """Return whether requests can still pass through all layers in a failure domain.

    Load pattern: an engine that leaves keeps serving its layers until it ends, and so
    do all paths of its domain. Orders that replace it wait until requests on these
    paths have ended. After the loss of an engine no path is complete, and waiting would
    gain nothing.
    """
    reached = 0
    held = [
        _announced_layers(b) for b in backends if b.domain == domain and not b.silent
    ]
    for first, end in sorted(held):
        if first <= reached:
            reached = max(reached, end)
    return reached >= layers


def _announced_layers(backend: wire.Backend) -> LayerRange:
    """Return the layers that a backend announced, as a half-open range."""
    if backend.last_layer < backend.first_layer:
        return LayerRange(0, 0)
    return LayerRange(backend.first_layer, backend.last_layer + 1)
