"""The watch hub: all watch streams of one control replica."""

__all__ = ["Hub"]

import asyncio
import logging
from collections.abc import Iterator

from wigeonscale.control.change_feed import ChangeFeed
from wigeonscale.control.load_aggregator import LoadAggregator
from wigeonscale.control.orders import load_orders
from wigeonscale.control.watcher import Watcher
from wigeonscale.errors import ErrorKind
from wigeonscale.ports import Clock
from wigeonscale.replication import Replica
from wigeonscale.state import Change, ControlState
from wigeonscale.wire import wire_pb2 as wire

US_PER_S = 1_000_000
# Time after which an order that neither failed nor led to an announcement is resent.
ORDER_RESEND_S = 10.0
FAILED_ORDER_RETRY_S = 1.0
LOAD_ORDER_PREFIX = "load"  # prefix of the order ids of weight loads

logger = logging.getLogger(__name__)


class Hub:
    """Tracks the watch streams of this replica and the events pending for each.

    Args:
        node_id: Node id of this replica.
        state: Replicated state.
        replica: Local replica of the log.
        clock: Time source.
        lease_s: Age from which this replica's state is no longer fresh, in seconds.
        loads: Maximum number of weight loads in progress.

    Attributes:
        watchers: Open watch streams.
        feed: Recent changes of the state.
        load_aggregator: Loads that entries report.
    """

    def __init__(
        self,
        *,
        node_id: str,
        state: ControlState,
        replica: Replica,
        clock: Clock,
        lease_s: float,
        loads: int,
    ):
        self.watchers: set[Watcher] = set()
        self.feed = ChangeFeed(state=state)
        self.load_aggregator = LoadAggregator(watchers=self.watchers, clock=clock)
        self._node_id = node_id
        self._state = state
        self._replica = replica
        self._clock = clock
        self._lease_s = lease_s
        self._max_loads = loads
        self._agents: dict[str, Watcher] = {}
        self._released_loads: dict[str, wire.LoadLayers] | None = None
        self._unpublished_changes: list[Change] = []
        self._subscription = state.changes.subscribe(self._on_change)

    def close(self) -> None:
        """Unsubscribe from changes of the state."""
        self._subscription.dispose()

    def is_fresh(self) -> bool:
        """Return whether a majority confirmed the state less than a lease ago."""
        fresh_at = self._replica.fresh_at()
        return fresh_at is not None and self._clock.now() - fresh_at < self._lease_s

    def agent(self, agent_id: str, incarnation: int) -> Watcher | None:
        """Return the stream on which an incarnation is attached, or None.

        Args:
            agent_id: Name of the backend server.
            incarnation: Number that the agent generated at its start.

        Returns:
            The stream that last announced it and is still open.
        """
        watcher = self._agents.get(agent_id)
        if watcher is None or watcher.incarnation != incarnation:
            return None
        return watcher

    def add(self, watcher: Watcher) -> None:
        """Register a new stream.

        Args:
            watcher: State of the stream.
        """
        self.watchers.add(watcher)

    def remove(self, watcher: Watcher) -> None:
        """Unregister a stream that ended.

        Args:
            watcher: State of the stream.
        """
        self.watchers.discard(watcher)
        if self._agents.get(watcher.node_id) is watcher:
            del self._agents[watcher.node_id]

    def announce(self, watcher: Watcher, backend: wire.Backend) -> None:
        """Store an agent's announcement, which its stream then commits.

        Args:
            watcher: Stream on which it arrived.
            backend: Announced backend.
        """
        watcher.incarnation = backend.incarnation
        watcher.announced = backend
        watcher.pending_announcement = backend
        self._agents[watcher.node_id] = watcher
        watcher.announce_wake.set()

    def is_committed(self, backend: wire.Backend) -> bool:
        """Return whether an announcement equals the one committed by this replica.

        Args:
            backend: Announced backend.

        Returns:
            True if committing it would change nothing.
        """
        member = self._state.members.get(backend.agent_id)
        if member is None or member.replica != self._node_id:
            return False
        return member.backend == backend

    def is_attached_elsewhere(self, watcher: Watcher) -> bool:
        """Return whether the state lists an agent as attached to another replica.

        Args:
            watcher: The agent's stream to this replica.

        Returns:
            True if the state lists its incarnation under another replica.
        """
        member = self._state.members.get(watcher.node_id)
        return (
            member is not None
            and member.backend.incarnation == watcher.incarnation
            and member.replica != self._node_id
        )

    def handle_order_result(self, watcher: Watcher, result: wire.OrderResult) -> None:
        """Handle the result of an order; a failed order is sent again.

        Args:
            watcher: Stream on which it arrived.
            result: Success or reason of the failure.
        """
        if result.done:
            watcher.failed_orders = 0
            return
        # The agent is right to refuse an order from a replica that lags behind.
        is_behind = result.kind == ErrorKind.STALE_TERM
        watcher.failed_orders += not is_behind
        logger.warning(
            "order %s failed on %s: %s: %s",
            result.order_id,
            watcher.node_id,
            result.kind,
            result.message,
        )
        pause_s = 0.0 if is_behind else FAILED_ORDER_RETRY_S
        if result.order_id.startswith(LOAD_ORDER_PREFIX):
            watcher.load_resend_at = self._clock.now() + pause_s
        else:
            watcher.sent_drain = None

    def pending_events(self, watcher: Watcher) -> Iterator[wire.WatchEvent]:
        """Yield the events that a watcher has not been sent yet.

        The lease comes last, since it confirms the events before it.

        Args:
            watcher: Stream that can take the next message.

        Yields:
            Events; each counts as sent once it is yielded.
        """
        if watcher.ended_incarnation:
            ended = wire.IncarnationEnded(incarnation=watcher.ended_incarnation)
            watcher.ended_incarnation = 0
            yield wire.WatchEvent(ended=ended)
        if not self.is_fresh():
            # The state of this replica may be outdated.
            return
        # Computed before the events that it confirms, since each write may take long.
        grant = self._lease_grant(watcher)
        for update in self.feed.configs_after(watcher.revision):
            watcher.revision = update.revision
            yield wire.WatchEvent(config=update)
        document = self._state.document
        if document.number > watcher.document_number:
            watcher.document_number = document.number
            yield wire.WatchEvent(document=document.message())
        yield from self._pending_crashes(watcher)
        yield from self._pending_members(watcher)
        yield from self._pending_orders(watcher)
        if grant is not None:
            yield wire.WatchEvent(lease=grant)

    def _pending_crashes(self, watcher):
        crashes = self._state.crashes
        if not watcher.is_entry or crashes.index <= watcher.crashes_index:
            return
        update = wire.CrashUpdate(
            index=crashes.index,
            now_ms=self._state.now_ms,
            records=crashes.after(watcher.crashes_index),
        )
        watcher.crashes_index = crashes.index
        yield wire.WatchEvent(crashes=update)

    def _pending_members(self, watcher):
        update = self.feed.members_after(watcher.members_index)
        watcher.members_index = self.feed.index
        if update is None and not watcher.has_sent_members:
            # Confirms the members that the watcher learned from another replica.
            update = wire.MembersUpdate(index=self.feed.index)
        watcher.has_sent_members = True
        if update is not None:
            yield wire.WatchEvent(members=update)

    def _lease_grant(self, watcher):
        if watcher.pending_heartbeat is None:
            return None
        heartbeat, received_at = watcher.pending_heartbeat
        watcher.pending_heartbeat = None
        age_s = max(0.0, received_at - self._replica.fresh_at())
        grant = wire.LeaseGrant(
            echo_us=heartbeat.sent_us,
            age_us=int(age_s * US_PER_S),
            revision=self._state.configuration.revision,
        )
        if watcher.is_entry:
            grant.entries = len(self._state.entries)
            grant.share_holders = self._state.share_holders()
        if watcher.loads is not None:
            grant.loads.CopyFrom(self.load_aggregator.total())
        grant.control.extend(member.address for member in self._replica.members())
        return grant

    def _pending_orders(self, watcher):
        agent_id = watcher.node_id
        if self.agent(agent_id, watcher.incarnation) is not watcher:
            return
        if not self._state.members.is_announced(agent_id, watcher.incarnation):
            return
        load = self._load_orders().get(agent_id)
        is_changed = load != watcher.sent_load
        if load is not None and is_changed:
            watcher.load_sent_at = self._clock.now()
            watcher.failed_orders = 0
        if load is not None and (
            is_changed or self._clock.now() >= watcher.load_resend_at
        ):
            watcher.load_resend_at = self._clock.now() + ORDER_RESEND_S
            yield self._order(
                f"{LOAD_ORDER_PREFIX}-{load.chain_id}-{load.epoch}", load=load
            )
        watcher.sent_load = load
        yield from self._pending_drain(watcher)

    def _pending_drain(self, watcher):
        # Sent on each new stream, since the agent may still apply a drain that was
        # undone while it moved to this replica.
        wanted = self._state.members.is_drained(watcher.node_id)
        if wanted != watcher.sent_drain:
            watcher.sent_drain = wanted
            yield self._order("drain" if wanted else "undrain", drain=wanted)

    def _order(self, name, **body):
        term, sequence = self._replica.applied_term, self._replica.applied_index
        order = wire.Order(
            order_id=f"{name}-{sequence}", term=term, sequence=sequence, **body
        )
        return wire.WatchEvent(order=order)

    def _load_orders(self):
        if self._released_loads is None:
            self._released_loads = load_orders(self._state, max_loads=self._max_loads)
        return self._released_loads

    def _on_change(self, change):
        if not self._unpublished_changes:
            # One publication for all log entries that are applied together.
            asyncio.get_running_loop().call_soon(self._publish)
        self._unpublished_changes.append(change)

    def _publish(self):
        changes, self._unpublished_changes = self._unpublished_changes, []
        for change in changes:
            self.feed.add(change)
        if any(change.affects_members for change in changes):
            self._released_loads = None
        for change in changes:
            self._check_attachments(change)
        for watcher in self.watchers:
            watcher.wake.set()

    def _check_attachments(self, change):
        ids = list(self._agents) if change.is_restore else change.backends
        for agent_id in ids:
            watcher = self._agents.get(agent_id)
            if watcher is not None:
                self._check_attachment(watcher)

    def _check_attachment(self, watcher):
        """Detect whether an attached agent has ended or moved to another replica."""
        if self._state.members.is_ended(watcher.node_id, watcher.incarnation):
            watcher.ended_incarnation = watcher.incarnation
            return
        if watcher.pending_announcement is None and self.is_attached_elsewhere(watcher):
            watcher.announce_wake.set()
