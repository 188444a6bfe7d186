"""Announces the backend of this process to the attached control replica."""

__all__ = ["Announcer"]

from collections.abc import Callable

from wigeonscale.membership.members import MembersView
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire


class Announcer:
    """Announces a backend, and repeats announcements that were lost.

    Args:
        announce: Returns the backend to announce.
        send: Sends a message on the attached stream.
        clock: Clock of this process.
        min_interval_s: Shortest time between an announcement and its repetition, in
            seconds.
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
        """Announce the current backend."""
        self._announced_at = self._clock.now()
        self._send(wire.WatchRequest(announce=self._get_backend()))

    def announce_if_missing(self, members: MembersView) -> None:
        """Announce the backend again if control does not list it.

        Args:
            members: Backends that the attached replica lists.
        """
        if self._clock.now() - self._announced_at < self._min_interval_s:
            return
        own = self._get_backend()
        shown = members.backends.get(own.agent_id)
        if shown is None or shown.incarnation != own.incarnation:
            self.announce()
