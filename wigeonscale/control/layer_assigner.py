"""The leader's orders to engines without an agent: which layers each shall hold."""

__all__ = ["LayerAssigner", "model_size"]

import asyncio
import functools
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from wigeonscale.adapters.logs import log_fields
from wigeonscale.control.commands import Commands
from wigeonscale.errors import WigeonscaleError
from wigeonscale.layers import Holder, LayerRange, ModelSize, plan_layers
from wigeonscale.ports import Clock
from wigeonscale.ports.orders import EngineOrders, EngineStatus, OrderOutcome
from wigeonscale.replication import Replica, Role
from wigeonscale.routes import EngineProfile, RouteTable
from wigeonscale.state import ControlState, Member
from wigeonscale.wire import wire_pb2 as wire

INTERVAL_S = 0.2
# Before the first plan: time without a new engine. Engines announce themselves once
# a heartbeat, all within one of about 1.2 s.
SETTLE_S = 0.7
# An engine whose order had no visible effect for this long is asked again. A whole
# engine's layers take 14 s x 20 / 80 alone, and longer where many load at once.
ORDER_TIMEOUT_S = 12.0
UNKNOWN_AGAIN_S = 1.5
# An engine that loads while callers wait for its layers is asked this often whether it
# has them: its heartbeat would tell up to 1.2 s later. The usual load takes a second.
FOLLOW_S = 0.35
MOST_FOLLOWS = 12
# Orders under way at once. Load pattern: thousands of engines announce themselves
# within a heartbeat, and all get their first order. An exchange takes the leader some
# milliseconds of its processor share, so that of all at once most miss the time that an
# answer has, count as unknown and are asked and ordered again.
MOST_ORDERS_AT_ONCE = 100
# A fencing number is (term, index) in one number that JSON carries exactly.
TERM_SHIFT = 32
MEGABYTE = 1e6

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _Order:
    """An order that was given, until its effect shows.

    Attributes:
        layers: What the engine shall hold.
        again_at: Instant from which it is asked how it is.
        before: What the plan took it to hold.
        is_begun: Whether it said that it carries the order out.
    """

    layers: LayerRange
    again_at: float
    before: LayerRange
    is_begun: bool = False


class LayerAssigner:
    """Keeps the layers of every model covered, while this replica leads.

    Args:
        state: The replicated state.
        replica: This replica.
        clock: Clock port.
        orders: Port to the engines.
        commands: Way of commands to the log.
        table: Returns the route table in force.
        is_fresh: Returns whether a majority confirmed the state lately.
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
        self._given: dict[str, _Order] = {}
        self._order_counts: dict[str, int] = {}
        self._giving: dict[str, asyncio.Task] = {}
        # What the engines shall hold whose orders are not given yet.
        self._planned: dict[str, LayerRange] = {}
        self._turns = asyncio.Semaphore(MOST_ORDERS_AT_ONCE)
        self._known: frozenset[str] = frozenset()
        self._settled_at = clock.now()
        self._starts: dict[str, int] = {}

    async def run(self) -> None:
        """Plan and give orders until cancelled."""
        try:
            while True:
                await self._clock.sleep(INTERVAL_S)
                if self._replica.role is Role.LEADER and self._is_fresh():
                    self._review()
                else:
                    self._given.clear()
                    self._order_counts.clear()
        finally:
            tasks = list(self._giving.values())
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _review(self) -> None:
        members = {m.backend.agent_id: m.backend for m in self._state.members}
        if self._known != members.keys():
            self._known = frozenset(members)
            self._settled_at = self._clock.now() + SETTLE_S
        self._drop_restarted(members)
        self._drop_done(members)
        for service in self._table().services.values():
            if service.engine is not None and service.engine.layers:
                self._review_service(service.name, service.engine, members)

    def _drop_restarted(self, members: dict[str, wire.Backend]) -> None:
        """Forget what engines were ordered that have started again since then."""
        starts = {name: backend.incarnation for name, backend in members.items()}
        for name, start in starts.items():
            if self._starts.get(name, start) != start:
                self._given.pop(name, None)
                self._order_counts.pop(name, None)
        self._starts = starts

    def _drop_done(self, members: dict[str, wire.Backend]) -> None:
        for name, order in list(self._given.items()):
            backend = members.get(name)
            if backend is None or backend.silent or _is_over(order, _held(backend)):
                del self._given[name]

    def _review_service(
        self, service: str, engine: EngineProfile, members: dict[str, wire.Backend]
    ) -> None:
        backends = [b for b in members.values() if b.service == service]
        serves = any(_held(b).count for b in backends)
        is_first = not serves and not self._given
        if is_first and self._clock.now() < self._settled_at:
            return
        holders = [self._holder(b, engine) for b in backends]
        wanted = plan_layers(
            [holder for holder in holders if holder is not None],
            model_size(engine),
        )
        now = self._clock.now()
        for name, order in self._given.items():
            if now >= order.again_at and members[name].service == service:
                wanted.setdefault(name, order.layers)
        # Once for each domain: the first plan names thousands of engines.
        is_whole = functools.cache(
            lambda domain: _is_whole(backends, domain, engine.layers)
        )
        for name, layers in wanted.items():
            if name not in self._giving:
                backend = members[name]
                waits = is_whole(backend.domain)
                giving = self._give(backend, layers, follows=serves, waits=waits)
                task = asyncio.create_task(giving)
                self._giving[name] = task
                self._planned[name] = layers
                task.add_done_callback(functools.partial(self._forget_giving, name))

    def _forget_giving(self, name: str, _: asyncio.Task) -> None:
        del self._giving[name]
        self._planned.pop(name, None)

    def _holder(self, backend: wire.Backend, engine: EngineProfile) -> Holder | None:
        kind = engine.accelerators.get(backend.accelerator)
        if kind is None:
            return None
        given = self._given.get(backend.agent_id)
        planned = self._planned.get(backend.agent_id)
        return Holder(
            backend_id=backend.agent_id,
            domain=backend.domain,
            size_mb=kind.size_mb,
            pace=kind.pace,
            held=planned or (given.layers if given else _held(backend)),
            lasting=not (backend.silent or backend.draining),
        )

    async def _give(
        self, backend: wire.Backend, layers: LayerRange, *, follows: bool, waits: bool
    ) -> None:
        async with self._turns:
            outcome = await self._order(backend, layers, waits=waits)
        # From here on it counts as given.
        self._planned.pop(backend.agent_id, None)
        if follows and outcome is OrderOutcome.BEGUN:
            await self._follow(backend, layers)

    async def _order(
        self, backend: wire.Backend, layers: LayerRange, *, waits: bool
    ) -> OrderOutcome | None:
        """Give one order; return what became of it, or None where none is due."""
        if self._replica.role is not Role.LEADER or not self._is_fresh():
            # Lost while it waited for its turn; the next leader plans anew.
            return None
        name = backend.agent_id
        expected = await self._expected_orders(backend, layers)
        if expected is None:
            return None
        fence = (self._replica.applied_term << TERM_SHIFT) + self._replica.applied_index
        outcome = await self._orders.place(
            backend.address,
            first=layers.first,
            end=layers.end,
            fence=fence,
            expected_orders=expected,
            waits=waits,
        )
        now = self._clock.now()
        if outcome in (OrderOutcome.BEGUN, OrderOutcome.HOLDS_ALREADY):
            self._order_counts[name] = expected + (outcome is OrderOutcome.BEGUN)
            self._given[name] = _Order(
                layers, now + ORDER_TIMEOUT_S, _held(backend), is_begun=True
            )
        else:
            self._order_counts.pop(name, None)
            self._given[name] = _Order(layers, now + UNKNOWN_AGAIN_S, _held(backend))
        logger.info(
            "engine %s shall hold layers %d-%d",
            name,
            layers.first,
            layers.end,
            extra=log_fields(
                outcome=outcome, fence=fence, expected_orders=expected, waits=waits
            ),
        )
        return outcome

    async def _follow(self, backend: wire.Backend, layers: LayerRange) -> None:
        """Announce an engine's new layers as soon as it has them."""
        for _ in range(MOST_FOLLOWS):
            await self._clock.sleep(FOLLOW_S)
            member = self._state.members.get(backend.agent_id)
            if member is None or member.backend.silent:
                return
            if _held(member.backend) == layers:
                return
            status = await self._orders.status(backend.address)
            if status is None or status.busy:
                continue
            if _is_other_start(status, member.backend):
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
            # Its next heartbeat tells.
            logger.info("%s not announced: %s", backend.agent_id, exc.message)

    async def _expected_orders(
        self, backend: wire.Backend, layers: LayerRange
    ) -> int | None:
        """Return the order count to expect, or None while no order is due."""
        name = backend.agent_id
        is_new = not _held(backend).count and name not in self._given
        if name in self._order_counts and name not in self._given:
            return self._order_counts[name]
        if is_new and name not in self._order_counts:
            return 0
        status = await self._orders.status(backend.address)
        again = _Order(layers, self._clock.now() + UNKNOWN_AGAIN_S, _held(backend))
        if status is None:
            self._given[name] = again
            return None
        if _is_other_start(status, backend):
            # Its own heartbeat tells of it; no order may rest on what came before.
            logger.info(
                "engine %s has started again",
                name,
                extra=log_fields(
                    outcome="not ordered",
                    old_born=backend.started_ms,
                    born=status.started_ms,
                ),
            )
            self._given[name] = again
            return None
        self._order_counts[name] = status.orders
        held = LayerRange(status.first_layer, status.end_layer)
        if status.busy or held == layers:
            self._given[name] = again
            return None
        if held != _held(backend):
            # Another leader has ordered it, and what it holds now may be part of a
            # whole set: its heartbeat tells, and the next plan knows.
            logger.info(
                "engine %s holds other layers than planned with",
                name,
                extra=log_fields(
                    outcome="not ordered", holds=f"{held.first}-{held.end}"
                ),
            )
            self._given[name] = again
            return None
        return status.orders


def _is_over(order: _Order, held: LayerRange) -> bool:
    """Return whether an order is done, or another one was carried out in its place.

    Load pattern: all of control is killed, and the new leader plans before it has heard
    what engines loaded for the former one. They refuse its orders, which do not fit;
    given again once they fit, these would break up a set that has become whole.
    """
    return held == order.layers or (not order.is_begun and held != order.before)


def _is_other_start(status: EngineStatus, backend: wire.Backend) -> bool:
    told_ms, held_ms = status.started_ms, backend.started_ms
    return bool(told_ms and held_ms) and told_ms != held_ms


def model_size(engine: EngineProfile) -> ModelSize:
    """Return the sizes by which layers are planned.

    Args:
        engine: What the engines of the model need.
    """
    tokens = engine.usual_prompt + engine.usual_answer
    longer_ms = engine.sequence_ms + engine.context_ms * tokens / 1000.0
    return ModelSize(
        layers=engine.layers,
        layer_mb=engine.layer_mb,
        token_mb=engine.token_bytes / engine.layers / MEGABYTE,
        room_tokens=engine.room_tokens,
        request_tokens=tokens,
        slots=engine.slots,
        slowdown=longer_ms / engine.step_ms if engine.step_ms else 0.0,
    )


def _is_whole(backends: Iterable[wire.Backend], domain: str, layers: int) -> bool:
    """Return whether requests still pass through all layers in a failure domain.

    Load pattern: an engine that leaves serves what it has until the end, and all paths
    of its domain with it: what is moved for it lets these end first. Where one was
    lost nothing passes any more, and nobody gains from a wait.
    """
    reached = 0
    held = [_held(b) for b in backends if b.domain == domain and not b.silent]
    for first, end in sorted(held):
        if first <= reached:
            reached = max(reached, end)
    return reached >= layers


def _held(backend: wire.Backend) -> LayerRange:
    """Return the layers that a backend announced, as first and end."""
    if backend.last_layer < backend.first_layer:
        return LayerRange(0, 0)
    return LayerRange(backend.first_layer, backend.last_layer + 1)
