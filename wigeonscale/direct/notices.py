"""Notices in responses of backend servers, and when this entry may send to them."""

__all__ = ["Notices"]

import logging
import math
from collections.abc import Iterable

from wigeonscale.adapters.logs import log_fields
from wigeonscale.direct.rate_limits import BackendRateLimits
from wigeonscale.ports import Clock
from wigeonscale.ports.exchange import ServerNotice

logger = logging.getLogger(__name__)


class Notices:
    """Newest notice of each backend server.

    A server that rejects requests appears idle and therefore cheap, and would get the
    next request at once. So no request is sent to it during its Retry-After, whatever
    its cost. Requests without another server are rejected with a Retry-After.

    Args:
        clock: Clock port.
        limits: This entry's share of the rate limits of backend servers.
    """

    def __init__(self, *, clock: Clock, limits: BackendRateLimits):
        self._clock = clock
        self._limits = limits
        self._newest: dict[str, ServerNotice] = {}
        self._retry_at: dict[str, float] = {}
        self._leaving: set[str] = set()

    def latest(self, backend_id: str) -> ServerNotice:
        """Return the newest notice of a backend server."""
        return self._newest.get(backend_id, ServerNotice())

    def note(
        self,
        backend_id: str,
        notice: ServerNotice | None,
        *,
        request_id: str,
        sent_at: float,
    ) -> None:
        """Record the notice of a response, and log it if it has changed.

        Args:
            backend_id: Name of the incarnation that responded.
            notice: Its notice; None if the response is not its own.
            request_id: Id of the request.
            sent_at: Time at which the request was sent.
        """
        if notice is None:
            return
        self._limits.note(backend_id, notice.limit_per_s, sent_at=sent_at)
        self._note_retry_after(backend_id, notice.retry_after_s)
        if notice.is_leaving:
            # Permanent: a later response without this notice was begun before it.
            self._leaving.add(backend_id)
        if notice == self.latest(backend_id):
            return
        self._newest[backend_id] = notice
        logger.info(
            "backend server notice changed",
            extra=log_fields(
                request_id=request_id,
                backend=backend_id,
                limit_per_s=notice.limit_per_s,
                leaving=notice.is_leaving,
                rest_s=notice.retry_after_s,
            ),
        )

    def is_leaving(self, backend_id: str) -> bool:
        """Return whether a backend server has announced its shutdown."""
        return backend_id in self._leaving

    def may_send(self, backend_id: str) -> bool:
        """Return whether a request may be sent to a backend server now."""
        return self.send_delay_s(backend_id) <= 0.0

    def send_delay_s(self, backend_id: str) -> float:
        """Return the time until a request may be sent, in seconds.

        It is infinite if the server has announced its shutdown, or if other entries use
        its whole rate limit.
        """
        if self.is_leaving(backend_id):
            return math.inf
        retry_at = self._retry_at.get(backend_id, -math.inf)
        remaining_s = max(0.0, retry_at - self._clock.now())
        return max(remaining_s, self._limits.send_delay_s(backend_id))

    def _note_retry_after(self, backend_id: str, retry_after_s: float) -> None:
        if retry_after_s > 0.0:
            until = self._clock.now() + retry_after_s
            known = self._retry_at.get(backend_id, until)
            self._retry_at[backend_id] = max(until, known)

    def keep_only(self, backend_ids: Iterable[str]) -> None:
        """Drop the notices of backend servers that are gone.

        Args:
            backend_ids: Existing backend servers.
        """
        existing = set(backend_ids)
        self._newest = {
            name: notice for name, notice in self._newest.items() if name in existing
        }
        self._leaving &= existing
        self._retry_at = {
            name: until for name, until in self._retry_at.items() if name in existing
        }
