"""The last heartbeat of a backend server, and logging of its changes."""

__all__ = ["LastHeartbeat", "log_backend_change"]

import logging
from dataclasses import dataclass

from wigeonscale.adapters.logs import log_fields
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class LastHeartbeat:
    """Last heartbeat that this replica received from one backend.

    Attributes:
        received_at: Local time of arrival, in seconds.
        started_ms: Start time of the backend, in Unix milliseconds; 0 if not reported.
        sequence: Sequence number, which restarts with the backend.
    """

    received_at: float
    started_ms: int
    sequence: int

    @property
    def sort_key(self) -> tuple[int, int]:
        """Sort key that increases with each heartbeat of a name, across restarts."""
        return self.started_ms, self.sequence


def log_backend_change(backend: wire.Backend, sequence: int) -> None:
    """Log the new state of a backend server."""
    logger.info(
        "committed state of backend server %s at %s",
        backend.agent_id,
        backend.address,
        extra=log_fields(
            outcome="silent" if backend.silent else "announced",
            service=backend.service,
            sequence=sequence,
            draining=backend.draining,
            born=backend.started_ms,
            slowness=backend.slowness,
            layers=f"{backend.first_layer}-{backend.last_layer}",
        ),
    )
