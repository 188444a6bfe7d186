"""The port to model engines that take orders without an agent."""

__all__ = ["STATUS_TIMEOUT_S", "EngineOrders", "EngineStatus", "OrderOutcome"]

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from wigeonscale.layers import Part

# Engines answer at once; the links take a few milliseconds, and one lost packet some
# 200 ms.
STATUS_TIMEOUT_S = 0.7


class OrderOutcome(StrEnum):
    """What an engine made of an order."""

    STARTED = "begun"
    UNCHANGED = "holds-already"
    CONFLICT = "misfit"  # its state or its order count is another
    FENCED = "fenced"  # it has seen a higher fencing number
    REFUSED = "refused"
    UNKNOWN = "unknown"  # no answer: it may be carried out, even seconds later


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """What an engine says of itself now.

    Attributes:
        orders: Orders that it has begun since its start.
        busy: Whether one is in progress.
        first_layer: First layer held.
        end_layer: One more than the last layer held; equal to the first for none.
        running: Requests that it runs.
        pace: Factor on its usual times; over 1 it is slow.
        held_up_by: Addresses of engines that requests it received wait for.
        started_ms: Its start, Unix milliseconds; 0 where it does not say.
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
    """Gives orders to engines and asks how they are."""

    async def place(
        self,
        address: str,
        *,
        first: int,
        end: int,
        fence: int,
        expected_orders: int,
        waits: bool,
    ) -> OrderOutcome:
        """Order an engine to hold layers ``first`` up to, without, ``end``.

        Args:
            address: Where it listens.
            first: First layer that it shall hold.
            end: One more than the last one.
            fence: Fencing number.
            expected_orders: How many orders it must have begun so far.
            waits: Whether requests that pass through layers it gives up shall end
                first; else they are broken off, and it loads at once.
        """

    async def change_path(
        self,
        address: str,
        *,
        request_id: str,
        path: Sequence[Part],
        addresses: Sequence[str],
    ) -> OrderOutcome:
        """Order the first engine of a running request to go on along another path."""

    async def status(
        self, address: str, *, timeout_s: float = STATUS_TIMEOUT_S
    ) -> EngineStatus | None:
        """Return what an engine says of itself; None without an answer in time."""
