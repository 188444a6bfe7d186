"""What backend servers say of themselves in their answers, as this entry heard it."""

__all__ = ["Notices"]

import logging
from collections.abc import Iterable

from wigeonscale.adapters.logs import log_fields
from wigeonscale.direct.send_limits import SendLimits
from wigeonscale.ports.exchange import ServerNotice

logger = logging.getLogger(__name__)


class Notices:
    """Newest notice of each backend server that said anything.

    Args:
        limits: Told of the limits that they name.
    """

    def __init__(self, *, limits: SendLimits):
        self._limits = limits
        self._newest: dict[str, ServerNotice] = {}

    def of(self, backend_id: str) -> ServerNotice:
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
        """Take in what an answer says, and log what is new of it.

        Args:
            backend_id: Name of the incarnation that answered.
            notice: What it said; None where it did not answer itself.
            request_id: The request that it answered.
            sent_at: Instant at which that went out.
        """
        if notice is None:
            return
        self._limits.note(backend_id, notice.limit_per_s, sent_at=sent_at)
        if notice == self.of(backend_id):
            return
        self._newest[backend_id] = notice
        logger.info(
            "a backend server says how it is",
            extra=log_fields(
                request_id=request_id,
                backend=backend_id,
                limit_per_s=notice.limit_per_s,
                leaving=notice.is_leaving,
                rest_s=notice.rest_s,
            ),
        )

    def keep_only(self, backend_ids: Iterable[str]) -> None:
        """Forget backend servers that are gone.

        Args:
            backend_ids: Those that exist.
        """
        existing = set(backend_ids)
        self._newest = {
            name: notice for name, notice in self._newest.items() if name in existing
        }
