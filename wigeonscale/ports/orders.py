"""Port to model engines that accept orders directly, without an agent."""

__all__ = ["STATUS_TIMEOUT_S", "EngineOrders", "EngineStatus", "OrderOutcome"]

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from wigeonscale.layers import Part

# Engines respond immediately; a link takes a few milliseconds, and one lost packet
# costs about 200 ms.
STATUS_TIMEOUT_S = 0.7


class OrderOutcome(StrEnum):
    """Response of an engine to an order."""

    STARTED = "begun"
    UNCHANGED = "holds-already"
    CONFLICT = "misfit"  # its state or its order count is not the expected one
    FENCED = "fenced"  # it has seen a higher fencing token
    REFUSED = "refused"
    UNKNOWN = "unknown"  # no response: the order may still run, even seconds later


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """Status that an engine reports.

    Attributes:
        orders: Number of orders started since the engine started.
        busy: Whether an order is in progress.
        first_layer: First layer held.
        end_layer: One more than the last layer held; equal to the first for none.
        running: Number of requests in progress.
        pace: Its current step times relative to the usual ones; above 1 it is slow.
        held_up_by: Addresses of the engines that its stalled requests wait for.
        started_ms: Start time of the engine, in Unix milliseconds; 0 if not reported.
    """

    orders: int
    busy: bool
    first_layer: int
    end_layer: int
    running: int = 0
    pace: float = 1.0
    held_up_by: tuple[str, ...] = ()
    started_ms: int = 0


class EngineOrders(Protocol):
    """Sends orders to engines and queries their status."""

    async def place(
        self,
        address: str,
        *,
        backend_id: str,
        first: int,
        end: int,
        fence: int,
        expected_orders: int,
        waits: bool,
    ) -> OrderOutcome:
        """Order an engine to hold the layers from ``first`` to before ``end``.

        Args:
            address: ``ip:port`` of the engine.
            backend_id: Id of the engine. Another one at the address refuses the order.
            first: First layer to hold.
            end: One more than the last layer to hold.
            fence: Fencing token.
            expected_orders: Number of orders that the engine must have started so far.
            waits: Whether to let requests finish that use layers it unloads; otherwise
                they are aborted and it loads immediately.
        """

    async def change_path(
        self,
        address: str,
        *,
        backend_id: str,
        request_id: str,
        path: Sequence[Part],
        addresses: Sequence[str],
    ) -> OrderOutcome:
        """Order the first engine of a running request to continue on another path.

        Args:
            address: ``ip:port`` of the first engine.
            backend_id: Id of the first engine. Another one at the address refuses the
                order.
            request_id: Id of the running request.
            path: New path: parts in order of layers.
            addresses: Address of each engine on the path.
        """

    async def status(
        self, address: str, *, timeout_s: float = STATUS_TIMEOUT_S
    ) -> EngineStatus | None:
        """Return the status of an engine; None if it does not respond in time."""
