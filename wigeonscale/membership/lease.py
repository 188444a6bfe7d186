"""Freshness lease of a watcher, computed from echoed send times and ages."""

__all__ = ["Lease"]

from dataclasses import dataclass

from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

US_PER_S = 1_000_000
MAX_PENDING_GRANTS = 16


@dataclass(frozen=True, slots=True)
class _Confirmation:
    """A majority confirmed ``revision`` at local time ``at`` or later."""

    at: float
    revision: int


class Lease:
    """Freshness lease: whether the state was confirmed recently enough to act on it.

    A grant echoes the time at which this process sent a heartbeat, and gives the age of
    the replica's state when that heartbeat arrived. Each value is measured with a
    single clock, so clocks of different VMs are never compared, and a grant that was
    delayed or buffered counts from the time its heartbeat was sent.

    Args:
        clock: Clock of this process.
        lease_s: Duration of the lease from a confirmation, in seconds.
    """

    def __init__(self, *, clock: Clock, lease_s: float):
        self._clock = clock
        self._lease_s = lease_s
        self._confirmed_at: float | None = None
        self._pending: list[_Confirmation] = []

    @property
    def confirmed_at(self) -> float | None:
        """Latest local time at which the state was confirmed current, or None."""
        return self._confirmed_at

    def is_valid(self) -> bool:
        """Return whether this process may still act on its state."""
        if self._confirmed_at is None:
            return False
        return self._clock.now() < self._confirmed_at + self._lease_s

    def add_grant(
        self, grant: wire.LeaseGrant, *, last_sent_us: int, applied_revision: int
    ) -> bool:
        """Extend the lease by a grant.

        Args:
            grant: Grant received from a replica.
            last_sent_us: Send time of the latest heartbeat on the same stream, in
                microseconds; a later echo is rejected.
            applied_revision: Configuration revision applied in this process.

        Returns:
            Whether the lease was extended and is valid. A grant for a revision that is
            not applied yet is kept until :meth:`note_applied`.
        """
        if grant.echo_us > last_sent_us or grant.age_us < 0:
            return False
        at = (grant.echo_us - grant.age_us) / US_PER_S
        if grant.revision > applied_revision:
            self._pending.append(_Confirmation(at, grant.revision))
            del self._pending[:-MAX_PENDING_GRANTS]
            return False
        return self._confirm(at)

    def note_applied(self, revision: int) -> bool:
        """Extend the lease by the pending grants for an applied revision.

        Args:
            revision: Revision that is now applied in this process.

        Returns:
            Whether the lease was extended and is valid.
        """
        covered = [each.at for each in self._pending if each.revision <= revision]
        self._pending = [each for each in self._pending if each.revision > revision]
        return self._confirm(max(covered)) if covered else False

    def _confirm(self, at: float) -> bool:
        if self._confirmed_at is not None and at <= self._confirmed_at:
            return False
        self._confirmed_at = at
        return self.is_valid()
