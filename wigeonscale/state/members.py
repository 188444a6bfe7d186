"""Announced backend servers, and incarnations that have ended."""

__all__ = ["Member", "Members"]

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from wigeonscale.errors import ErrorKind
from wigeonscale.state.results import done, refused
from wigeonscale.wire import wire_pb2 as wire

# Enough for more than a month at 900 restarts a day.
ENDED_INCARNATIONS_LIMIT = 32_768


@dataclass(frozen=True, slots=True)
class Member:
    """One backend server as announced.

    Attributes:
        backend: Announcement of its agent; must not be modified.
        replica: Control replica the agent is attached to.
        sequence: Sequence number of the announcement; 0 if announcements are not
            numbered.
    """

    backend: wire.Backend
    replica: str
    sequence: int = 0


class Members:
    """Announced backend servers by agent id.

    Also records ended incarnations and the drains set by operators.
    """

    def __init__(self):
        self._members: dict[str, Member] = {}
        self._by_replica: dict[str, dict[str, None]] = {}
        self._by_address: dict[str, dict[str, None]] = {}
        self._ended: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._ended_by_agent: dict[str, set[int]] = {}
        self._drained: set[str] = set()

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def __len__(self) -> int:
        return len(self._members)

    def get(self, agent_id: str) -> Member | None:
        """Return an announced member, or None.

        Args:
            agent_id: Name of the backend server.

        Returns:
            The member as announced; :meth:`effective` adds drains by operators.
        """
        return self._members.get(agent_id)

    def replicas(self) -> list[str]:
        """Return the control replicas that agents are attached to, sorted."""
        return sorted(self._by_replica)

    def attached_to(self, replica: str) -> list[Member]:
        """Return the members whose agents are attached to a replica.

        Args:
            replica: Node id of the control replica.

        Returns:
            Its members. Takes time linear in their number.
        """
        return [self._members[i] for i in self._by_replica.get(replica, ())]

    def is_announced(self, agent_id: str, incarnation: int) -> bool:
        """Return whether an incarnation is the one announced.

        Args:
            agent_id: Name of the backend server.
            incarnation: Number that the agent chose at its start.

        Returns:
            True if it is announced and has not ended.
        """
        member = self._members.get(agent_id)
        return member is not None and member.backend.incarnation == incarnation

    def is_ended(self, agent_id: str, incarnation: int) -> bool:
        """Return whether an incarnation was declared ended.

        Args:
            agent_id: Name of the backend server.
            incarnation: Number that the agent chose at its start.

        Returns:
            True if it must not be announced again.
        """
        return (agent_id, incarnation) in self._ended

    def is_drained(self, agent_id: str) -> bool:
        """Return whether an operator drained a backend server.

        Args:
            agent_id: Name of the backend server.

        Returns:
            True until an operator undoes it; restarts of the agent do not clear it.
        """
        return agent_id in self._drained

    def effective(self, agent_id: str) -> wire.Backend | None:
        """Return a backend as shown to watchers, or None.

        Args:
            agent_id: Name of the backend server.

        Returns:
            The announcement, marked as draining if its agent or an operator drains it.
        """
        member = self._members.get(agent_id)
        if member is None:
            return None
        if member.backend.draining or not self.is_drained(agent_id):
            return member.backend
        backend = wire.Backend()
        backend.CopyFrom(member.backend)
        backend.draining = True
        return backend

    def announcement_error(
        self, backend: wire.Backend, sequence: int = 0
    ) -> wire.CommandResult | None:
        """Return the error for an invalid or outdated announcement, or None.

        Args:
            backend: The announcement.
            sequence: Its sequence number; 0 if announcements are not numbered.

        Returns:
            ``BAD_REQUEST``, ``STALE_INCARNATION``, ``REVISION_CONFLICT`` if a later
            announcement of the incarnation was applied before, or None.
        """
        if not backend.agent_id or not backend.incarnation:
            return refused(
                ErrorKind.BAD_REQUEST,
                f"agent {backend.agent_id!r} announced without name or incarnation",
            )
        rates = (backend.layer_rate, backend.link_rate, float(backend.layer_capacity))
        if not all(math.isfinite(rate) and rate >= 0 for rate in rates):
            return refused(
                ErrorKind.BAD_REQUEST,
                f"agent {backend.agent_id!r} announced rates or capacity {rates}",
            )
        if self.is_ended(backend.agent_id, backend.incarnation):
            return refused(
                ErrorKind.STALE_INCARNATION,
                f"incarnation {backend.incarnation} of {backend.agent_id} has ended",
            )
        stale = self._stale_start_reason(backend)
        if stale is not None:
            return refused(ErrorKind.STALE_INCARNATION, stale)
        member = self._members.get(backend.agent_id)
        if (
            member is not None
            and member.backend.incarnation == backend.incarnation
            and sequence < member.sequence
        ):
            return refused(
                ErrorKind.REVISION_CONFLICT,
                f"announcement {sequence} of {backend.agent_id} comes after"
                f" {member.sequence}",
            )
        return None

    def _stale_start_reason(self, backend: wire.Backend) -> str | None:
        """Return why a backend's start is outdated, or None if it is not.

        A heartbeat may be delayed until after the backend has restarted, or until
        another backend listens at its address.
        """
        name, started_ms = backend.agent_id, backend.started_ms
        if 0 < started_ms <= max(self._ended_by_agent.get(name, ()), default=0):
            return f"a start of {name} no earlier than {started_ms} has ended"
        member = self._members.get(name)
        if member is not None and started_ms < member.backend.started_ms:
            known_ms = member.backend.started_ms
            return f"{name} started at {known_ms}, which is later than {started_ms}"
        for other, _ in self.others_at_address(backend):
            other_backend = self._members[other].backend
            # A backend without a start time may replace one that is silent.
            may_follow = other_backend.silent and not started_ms
            if started_ms < other_backend.started_ms and not may_follow:
                return f"{other} at {backend.address} started later than {name}"
        return None

    def others_at_address(self, backend: wire.Backend) -> list[tuple[str, int]]:
        """Return the members at a backend's address that have another name.

        Args:
            backend: The announcement; without an address the result is empty.

        Returns:
            Name and incarnation of each. Only one process can listen at an address,
            so these have ended. Does not iterate over members at other addresses.
        """
        if not backend.address:
            return []
        return [
            (name, self._members[name].backend.incarnation)
            for name in self._by_address.get(backend.address, ())
            if name != backend.agent_id
        ]

    def put(self, backend: wire.Backend, replica: str, sequence: int = 0) -> None:
        """Store an announcement for which :meth:`announcement_error` is None.

        Args:
            backend: The announcement.
            replica: Control replica the agent is attached to.
            sequence: Its sequence number; 0 if announcements are not numbered.
        """
        self._remove(backend.agent_id)
        self._insert(Member(backend, replica, sequence))

    def end(self, agent_id: str, incarnation: int) -> None:
        """Record that an incarnation has ended; it cannot be announced again.

        Args:
            agent_id: Name of the backend server.
            incarnation: Number that the agent chose at its start.
        """
        if self.is_announced(agent_id, incarnation):
            self._remove(agent_id)
        self._ended[agent_id, incarnation] = None
        self._ended_by_agent.setdefault(agent_id, set()).add(incarnation)
        if len(self._ended) > ENDED_INCARNATIONS_LIMIT:
            (name, oldest), _ = self._ended.popitem(last=False)
            self._ended_by_agent[name].discard(oldest)
            if not self._ended_by_agent[name]:
                del self._ended_by_agent[name]

    def drain(self, command: wire.DrainBackend) -> wire.CommandResult:
        """Set or clear an operator's drain.

        Args:
            command: Name of the backend server, and whether to drain it.

        Returns:
            Done, or ``NOT_FOUND`` for a drain of an unknown backend server.
        """
        agent_id = command.agent_id
        if command.draining and agent_id not in self._members:
            return refused(ErrorKind.NOT_FOUND, f"no backend server named {agent_id!r}")
        if command.draining:
            self._drained.add(agent_id)
        else:
            self._drained.discard(agent_id)
        return done()

    def save(self, snapshot: wire.StateSnapshot) -> None:
        """Write the contents to a snapshot.

        Args:
            snapshot: Message to fill in.
        """
        for _, member in sorted(self._members.items()):
            snapshot.members.add(
                backend=member.backend,
                replica=member.replica,
                sequence=member.sequence,
            )
        for agent_id, incarnation in self._ended:
            snapshot.ended.add(agent_id=agent_id, incarnation=incarnation)
        snapshot.drained.extend(sorted(self._drained))

    def load(self, snapshot: wire.StateSnapshot) -> None:
        """Replace the contents by those of a snapshot.

        Args:
            snapshot: Message filled by :meth:`save`.
        """
        self._members.clear()
        self._by_replica.clear()
        self._by_address.clear()
        for record in snapshot.members:
            self._insert(Member(record.backend, record.replica, record.sequence))
        self._ended = OrderedDict(
            ((record.agent_id, record.incarnation), None) for record in snapshot.ended
        )
        self._ended_by_agent = {}
        for name, incarnation in self._ended:
            self._ended_by_agent.setdefault(name, set()).add(incarnation)
        self._drained = set(snapshot.drained)

    def _insert(self, member):
        agent_id = member.backend.agent_id
        self._members[agent_id] = member
        self._by_replica.setdefault(member.replica, {})[agent_id] = None
        self._by_address.setdefault(member.backend.address, {})[agent_id] = None

    def _remove(self, agent_id):
        member = self._members.pop(agent_id, None)
        if member is None:
            return
        _discard(self._by_replica, member.replica, agent_id)
        _discard(self._by_address, member.backend.address, agent_id)


def _discard(index: dict[str, dict[str, None]], key: str, name: str) -> None:
    """Remove a name from an index, and the key if no name is left."""
    names = index[key]
    del names[name]
    if not names:
        del index[key]
