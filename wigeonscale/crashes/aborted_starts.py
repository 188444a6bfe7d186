"""Runs that backend servers aborted at their start, as seen by one entry."""

__all__ = ["AbortedStarts"]

import logging
from collections.abc import Callable, Iterator

from wigeonscale.adapters.logs import log_fields
from wigeonscale.crashes.policy import MAX_TRACKED_REQUESTS
from wigeonscale.crashes.records import AbortedStart, key_fields
from wigeonscale.ports import Clock

# A backend server that aborted a run counts as crashed if control detects within this
# time that it has ended: by a refused probe in 0.02 to 0.3 s, by two unanswered probes
# later.
CONFIRMATION_TIMEOUT_S = 3.0
# How long a reported crash is kept here, until control's update that includes it has
# arrived.
REPORTED_RETENTION_S = 5.0

logger = logging.getLogger(__name__)


class AbortedStarts:
    """Aborted starts by the key of a request or part, and by backend server.

    Args:
        clock: Clock port.
        has_ended: Returns whether an incarnation is known to have ended.
        is_connected: Returns whether control can be reached. While it cannot, nothing
            confirms that a server has ended, so no aborted start is dropped for that.

    Notes:
        Holds at most :data:`~wigeonscale.crashes.MAX_TRACKED_REQUESTS` keys.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        has_ended: Callable[[str], bool],
        is_connected: Callable[[], bool],
    ):
        self._clock = clock
        self._has_ended = has_ended
        self._is_connected = is_connected
        self._connected_at = clock.now()
        self._aborts: dict[bytes, dict[str, AbortedStart]] = {}

    def __contains__(self, key: bytes) -> bool:
        return key in self._aborts

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._aborts)

    def of(self, key: bytes) -> dict[str, AbortedStart]:
        """Return the aborted starts of a request or part by backend server."""
        return self._aborts.get(key, {})

    def add(self, key: bytes, backend_id: str, *, is_broken: bool = True) -> None:
        """Record an aborted start; the oldest key is dropped if there are too many."""
        while len(self._aborts) >= MAX_TRACKED_REQUESTS:
            del self._aborts[next(iter(self._aborts))]
        aborts = self._aborts.setdefault(key, {})
        aborts.setdefault(
            backend_id, AbortedStart(self._clock.now(), is_broken=is_broken)
        )

    def pop(self, key: bytes) -> dict[str, AbortedStart]:
        """Remove and return the aborted starts of a request or part."""
        return self._aborts.pop(key, {})

    def discard_reported(self, key: bytes) -> None:
        """Remove the reported starts of a request or part, which ran well since."""
        aborts = self._aborts.get(key, {})
        kept = {name: abort for name, abort in aborts.items() if not abort.reported_at}
        if kept:
            self._aborts[key] = kept
        else:
            self._aborts.pop(key, None)

    def confirm(self) -> bool:
        """Check which servers have ended, and drop old aborted starts.

        Returns:
            Whether a server is newly known to have ended.
        """
        now = self._clock.now()
        if not self._is_connected():
            self._connected_at = now
        has_confirmed = False
        for key, aborts in list(self._aborts.items()):
            for backend_id, abort in list(aborts.items()):
                has_ended = self._has_ended(backend_id)
                if not abort.has_ended and has_ended:
                    abort.has_ended = has_confirmed = True
                    _log_outcome(key, backend_id, "ended")
                elif abort.has_ended and not has_ended:
                    # It was silent, and answers again.
                    abort.has_ended = False
                    _log_outcome(key, backend_id, "back")
                elif self._is_unconfirmed(abort, now):
                    del aborts[backend_id]
                    _log_outcome(key, backend_id, "not ended")
                elif _is_known_to_control(abort, now):
                    del aborts[backend_id]
            if not aborts:
                del self._aborts[key]
        return has_confirmed

    def _is_unconfirmed(self, abort: AbortedStart, now: float) -> bool:
        waits_since = max(abort.at, self._connected_at)
        return not abort.has_ended and now - waits_since > CONFIRMATION_TIMEOUT_S

    def unreported(self) -> list[tuple[bytes, str, AbortedStart]]:
        """Return the starts aborted by servers that have ended, before their report."""
        return [
            (key, backend_id, abort)
            for key, aborts in self._aborts.items()
            for backend_id, abort in aborts.items()
            if abort.has_ended and abort.reported_at is None
        ]


def _is_known_to_control(abort: AbortedStart, now: float) -> bool:
    return (
        abort.reported_at is not None and now - abort.reported_at > REPORTED_RETENTION_S
    )


def _log_outcome(key: bytes, backend_id: str, outcome: str) -> None:
    logger.info(
        "backend server %s aborted a request that had just started",
        backend_id,
        extra=log_fields(**key_fields(key), outcome=outcome),
    )
