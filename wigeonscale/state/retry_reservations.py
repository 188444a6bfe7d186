"""Replicated reservations of retries beyond the guaranteed parts of the entries."""

__all__ = ["RetryReservations"]

from collections import deque
from collections.abc import Iterable

from wigeonscale.wire import wire_pb2 as wire

# Older reservations of a service are merged beyond this number.
MAX_RESERVATIONS_PER_SERVICE = 4096


class RetryReservations:
    """Retries that entries reserved, by service.

    Which reservations have expired is part of each command: the clock of the state
    machine follows wall clocks, which may jump.

    Example:
        >>> reservations = RetryReservations()
        >>> req = wire.ReserveRetries(service="s", count=4, limit=6)
        >>> reservations.reserve(req, index=1, expired_index=0)
        4
        >>> reservations.reserve(req, index=2, expired_index=0)
        2
        >>> reservations.reserve(req, index=3, expired_index=1)
        4
    """

    def __init__(self):
        self._by_service: dict[str, deque[wire.RetryReservation]] = {}

    def reserve(
        self, req: wire.ReserveRetries, *, index: int, expired_index: int
    ) -> int:
        """Reserve as many of the requested retries as the limit allows.

        Args:
            req: Request of an entry.
            index: Log index of the command.
            expired_index: Log index up to which reservations of the service expired.

        Returns:
            Number of reserved retries.
        """
        reservations = self._by_service.setdefault(req.service, deque())
        while reservations and reservations[0].index <= expired_index:
            reservations.popleft()
        count = min(req.count, self.left(req, expired_index=expired_index))
        if count > 0:
            reservations.append(
                wire.RetryReservation(index=index, service=req.service, count=count)
            )
        if len(reservations) > MAX_RESERVATIONS_PER_SERVICE:
            # The merged reservation expires with the newer one.
            reservations[1].count += reservations[0].count
            reservations.popleft()
        if not reservations:
            del self._by_service[req.service]
        return max(0, count)

    def left(self, req: wire.ReserveRetries, *, expired_index: int) -> int:
        """Return how many retries may be reserved; takes time linear in reservations.

        Args:
            req: Request of an entry.
            expired_index: Log index up to which reservations of the service expired.
        """
        used = sum(
            each.count
            for each in self._by_service.get(req.service, ())
            if each.index > expired_index
        )
        return max(0, req.limit - used)

    def save(self, snapshot: wire.StateSnapshot) -> None:
        """Write the contents to a snapshot.

        Args:
            snapshot: Message to fill in.
        """
        for service in sorted(self._by_service):
            snapshot.retry_reservations.extend(self._by_service[service])

    def load(self, reservations: Iterable[wire.RetryReservation]) -> None:
        """Replace the contents by the reservations of a snapshot.

        Args:
            reservations: Oldest first.
        """
        self._by_service.clear()
        for reservation in reservations:
            kept = wire.RetryReservation()
            kept.CopyFrom(reservation)
            self._by_service.setdefault(kept.service, deque()).append(kept)
