"""Announces the backend of this process to the attached replica."""

__all__ = ["Announcer"]

from collections.abc import Callable

from wigeonscale.membership.members import MembersView
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire


class Announcer:
    """Announces, and announces again when the announcement got lost.

    Args:
        announce: Returns what to announce.
        send: Sends a message on the attached stream.
        clock: Clock of this process.
        min_interval_s: Seconds after which a backend that is not shown is announced
            again.
    """

    def __init__(
        self,
        *,
        announce: Callable[[], wire.Backend],
        send: Callable[[wire.WatchRequest], None],
        clock: Clock,
        min_interval_s: float,
    ):
        self._get_backend = announce
        self._send = send
        self._clock = clock
        self._min_interval_s = min_interval_s
        self._announced_at = float("-inf")

    def announce(self) -> None:
        """Announce the backend as it is now."""
        self._announced_at = self._clock.now()
        self._send(wire.WatchRequest(announce=self._get_backend()))

    def announce_if_missing(self, members: MembersView) -> None:
        """Announce the backend if control does not show it.

        Args:
            members: Backends as control tells them.
        """
        if self._clock.now() - self._announced_at < self._min_interval_s:
            return
        own = self._get_backend()
        shown = members.backends.get(own.agent_id)
        if shown is None or shown.incarnation != own.incarnation:
            self.announce()
