"""Executes the orders of control concurrently with the watch stream."""

__all__ = ["OrderRunner"]

import asyncio
import logging
from collections.abc import Awaitable, Callable

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.wire import wire_pb2 as wire

MAX_CONCURRENT_ORDERS = 16

logger = logging.getLogger(__name__)


class OrderRunner:
    """Runs each order in its own task, because loading weights takes long.

    Orders are declarative and fenced, so this class does not handle reordered and
    repeated orders: ``on_order`` compares their fencing tokens.

    Args:
        on_order: Executes an order.
        send: Sends a message on the attached stream.
    """

    def __init__(
        self,
        *,
        on_order: Callable[[wire.Order], Awaitable[wire.OrderResult]],
        send: Callable[[wire.WatchRequest], None],
    ):
        self._on_order = on_order
        self._send = send
        self._tasks: set[asyncio.Task] = set()

    def start(self, order: wire.Order) -> None:
        """Start an order; its result is sent when it finishes.

        Args:
            order: The order; refused as ``OVERLOADED`` if too many are in progress, so
                that control sends it again.
        """
        if len(self._tasks) >= MAX_CONCURRENT_ORDERS:
            message = f"{len(self._tasks)} orders in progress"
            self._report(_failure(order, ErrorKind.OVERLOADED, message))
            return
        task = asyncio.create_task(self._run(order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel the orders in progress."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, order: wire.Order) -> None:
        try:
            result = await self._on_order(order)
        except WigeonscaleError as exc:
            result = _failure(order, exc.kind, exc.message)
        except Exception as exc:
            logger.exception("order %s failed", order.order_id)
            result = _failure(order, ErrorKind.INTERNAL, str(exc))
        self._report(result)

    def _report(self, result: wire.OrderResult) -> None:
        self._send(wire.WatchRequest(order_result=result))


def _failure(order: wire.Order, kind: ErrorKind, message: str) -> wire.OrderResult:
    return wire.OrderResult(
        order_id=order.order_id, done=False, kind=kind, message=message
    )
