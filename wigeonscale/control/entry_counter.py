"""Maintains the replicated record of attached entries and of their retry shares."""

__all__ = ["EntryCounter"]

import logging
import weakref
from collections.abc import Iterator

from wigeonscale.adapters.logs import log_fields
from wigeonscale.control.commands import Commands
from wigeonscale.control.hub import Hub
from wigeonscale.control.step_guard import StepGuard
from wigeonscale.control.watcher import Watcher
from wigeonscale.errors import WigeonscaleError
from wigeonscale.ports import Clock
from wigeonscale.replication import Replica, Role
from wigeonscale.state import ControlState
from wigeonscale.wire import wire_pb2 as wire

MS_PER_S = 1000
# All entries that attach or detach within one interval share one command.
UPDATE_INTERVAL_S = 0.5

logger = logging.getLogger(__name__)


class EntryCounter:
    """Records the entries of this replica and, as leader, drops those of lost ones.

    As leader, it also drops the retry shares of entries that nobody hears any more.

    Args:
        node_id: Node id of this replica.
        state: Replicated state.
        replica: Local replica of the log.
        hub: Watch hub of this replica.
        commands: Submits commands to the replicated log.
        clock: Time source.
        entry_timeout_s: Time without a message after which an entry is no longer
            counted, in seconds.
        replica_timeout_s: Time without a message after which a replica counts as lost,
            in seconds.

    Notes:
        Submits one command per interval in which something changed, else none.
    """

    def __init__(
        self,
        *,
        node_id: str,
        state: ControlState,
        replica: Replica,
        hub: Hub,
        commands: Commands,
        clock: Clock,
        entry_timeout_s: float,
        replica_timeout_s: float,
    ):
        self._node_id = node_id
        self._state = state
        self._replica = replica
        self._hub = hub
        self._commands = commands
        self._clock = clock
        self._entry_timeout_s = entry_timeout_s
        self._replica_timeout_s = replica_timeout_s
        self._guard = StepGuard(task="entry count", clock=clock)
        self._recorded: weakref.WeakSet[Watcher] = weakref.WeakSet()
        self._absent_since: dict[str, float] = {}
        # Since when the entries of shares are attached to no replica, as this replica
        # has seen it as the leader of one term.
        self._unattached_since: dict[str, float] = {}
        self._term = 0

    async def run(self) -> None:
        """Update the record periodically until cancelled."""
        while True:
            await self._clock.sleep(UPDATE_INTERVAL_S)
            with self._guard.step():
                if self._hub.is_fresh():
                    await self._update()

    async def _update(self):
        streams = self._live_streams()
        counts = [*self._local_changes(streams), *self._lost_replica_changes()]
        commands = [wire.Command(count_entries=count) for count in counts]
        for command in [*commands, *self._released_shares()]:
            try:
                await self._commands.submit(command)
            except WigeonscaleError as exc:
                logger.warning("could not record attached entries: %s", exc.message)
                return
        self._recorded.update(streams.values())

    def _live_streams(self) -> dict[str, Watcher]:
        """Return the newest stream of each entry that sent a message recently."""
        now = self._clock.now()
        streams = [
            watcher
            for watcher in self._hub.watchers
            if watcher.is_entry
            and now - watcher.last_message_at < self._entry_timeout_s
        ]
        streams.sort(key=lambda watcher: watcher.last_message_at)
        return {watcher.node_id: watcher for watcher in streams}

    def _local_changes(self, streams) -> Iterator[wire.CountEntries]:
        entries = self._state.entries
        # An entry that another replica recorded later has moved to that replica. Its
        # stream to this one was recorded before and is outdated, so it is not recorded
        # again.
        attached = [
            name
            for name, watcher in streams.items()
            if entries.replica_of(name) is None
            or (
                entries.replica_of(name) != self._node_id
                and watcher not in self._recorded
            )
        ]
        gone = self._timed_out(entries.attached_to(self._node_id) - streams.keys())
        if attached or gone:
            yield wire.CountEntries(
                replica=self._node_id, attached=sorted(attached), gone=sorted(gone)
            )

    def _timed_out(self, names):
        now = self._clock.now()
        self._absent_since = {name: self._absent_since.get(name, now) for name in names}
        return [
            name
            for name, since in self._absent_since.items()
            if now - since >= self._entry_timeout_s
        ]

    def _lost_replica_changes(self) -> Iterator[wire.CountEntries]:
        if self._replica.role is not Role.LEADER:
            return
        for replica in self._state.entries.replicas():
            is_lost = (
                self._replica.seconds_since_peer_contact(replica)
                >= self._replica_timeout_s
            )
            if replica != self._node_id and is_lost:
                gone = sorted(self._state.entries.attached_to(replica))
                yield wire.CountEntries(replica=replica, gone=gone)

    def _released_shares(self) -> Iterator[wire.Command]:
        """Yield a command that drops the shares of entries that are gone.

        The times are this replica's own, so a new leader counts them from its election.
        """
        if self._replica.term != self._term:
            self._term = self._replica.term
            self._unattached_since.clear()
        if self._replica.role is not Role.LEADER:
            return
        now = self._clock.now()
        unattached = {
            share.entry: share
            for share in self._state.retry_shares
            if self._state.entries.replica_of(share.entry) is None
        }
        self._unattached_since = {
            name: self._unattached_since.get(name, now) for name in unattached
        }
        released = [
            wire.RetryShare(entry=name, process=share.process, sequence=share.sequence)
            for name, share in unattached.items()
            if now - self._unattached_since[name] >= share.release_ms / MS_PER_S
        ]
        if released:
            logger.info(
                "retry shares released",
                extra=log_fields(entries=[share.entry for share in released]),
            )
            dropped = wire.DropRetryShares(shares=released)
            yield wire.Command(drop_retry_shares=dropped)
