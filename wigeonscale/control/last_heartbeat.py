"""What is kept of the last heartbeat of a backend, and how its changes are logged."""

__all__ = ["LastHeartbeat", "log_backend_change"]

import logging
from dataclasses import dataclass

from wigeonscale.adapters.logs import log_fields
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class LastHeartbeat:
    """Last heartbeat of one backend at this replica.

    Attributes:
        at: Local instant of it.
        started_ms: Start of the backend that sent it; 0 where it does not say.
        sequence: Its number, which begins anew with each start.
    """

    received_at: float
    started_ms: int
    sequence: int

    @property
    def sort_key(self) -> tuple[int, int]:
        """Later heartbeats of one name are larger, also over starts."""
        return self.started_ms, self.sequence


def log_backend_change(backend: wire.Backend, sequence: int) -> None:
    """Log what is believed of a backend server from here on."""
    logger.info(
        "backend server %s at %s",
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
