"""The freshness lease of a watcher, by echo and age."""

__all__ = ["Lease"]

from dataclasses import dataclass

from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

MICROSECONDS = 1_000_000
MAX_PENDING_GRANTS = 16


@dataclass(frozen=True, slots=True)
class _Confirmation:
    """A majority confirmed ``revision`` no earlier than ``at`` (own clock)."""

    at: float
    revision: int


class Lease:
    """Tells whether what this process knows was confirmed recently enough.

    A grant echoes the time at which this process sent a heartbeat and says how
    old the replica's knowledge was when that heartbeat came. Both are readings of
    one clock each, so clocks of different VMs are never compared, and a grant
    that was delayed or buffered counts from the sending of its heartbeat.

    Args:
        clock: Clock of this process.
        lease_s: Time from a confirmation to the end of the lease, in seconds.
    """

    def __init__(self, *, clock: Clock, lease_s: float):
        self._clock = clock
        self._lease_s = lease_s
        self._confirmed_at: float | None = None
        self._pending: list[_Confirmation] = []

    @property
    def confirmed_at(self) -> float | None:
        """Own time at which the known revision was surely in force, or None."""
        return self._confirmed_at

    def is_valid(self) -> bool:
        """Return whether this process may still act on what it knows."""
        if self._confirmed_at is None:
            return False
        return self._clock.now() < self._confirmed_at + self._lease_s

    def add_grant(
        self, grant: wire.LeaseGrant, *, last_sent_us: int, applied_revision: int
    ) -> bool:
        """Take a grant into account.

        Args:
            grant: Grant received from a replica.
            last_sent_us: Latest heartbeat sent on the same stream, microseconds.
            applied_revision: Configuration revision in force in this process.

        Returns:
            Whether the lease now lasts longer and is valid. A grant for a
            revision that is not applied yet counts from :meth:`applied`.
        """
        if grant.echo_us > last_sent_us or grant.age_us < 0:
            return False
        at = (grant.echo_us - grant.age_us) / MICROSECONDS
        if grant.revision > applied_revision:
            self._pending.append(_Confirmation(at, grant.revision))
            del self._pending[:-MAX_PENDING_GRANTS]
            return False
        return self._confirm(at)

    def note_applied(self, revision: int) -> bool:
        """Count the grants that waited for a revision.

        Args:
            revision: Revision now in force in this process.

        Returns:
            Whether the lease now lasts longer and is valid.
        """
        covered = [each.at for each in self._pending if each.revision <= revision]
        self._pending = [each for each in self._pending if each.revision > revision]
        return self._confirm(max(covered)) if covered else False

    def _confirm(self, at: float) -> bool:
        if self._confirmed_at is not None and at <= self._confirmed_at:
            return False
        self._confirmed_at = at
        return self.is_valid()
