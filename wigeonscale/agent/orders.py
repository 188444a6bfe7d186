"""Executes orders from control and refuses those of a superseded leader."""

__all__ = ["OrderExecutor"]

import asyncio
import logging
from collections.abc import Awaitable, Callable

from wigeonscale.adapters.metrics import METRICS, OK, Metrics
from wigeonscale.agent.backend import BackendState
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.ports import Engine
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)


class OrderExecutor:
    """Executes orders one at a time after checking their fencing tokens.

    The agent checks the fencing token (term, sequence) because some engines ignore
    it. A restarted agent has no previous token, so it first queries a majority of
    control replicas for the lowest token that is still valid.

    Args:
        state: State of the backend server.
        engine: The engine; None for a plain service.
        floor: Queries a majority of control replicas for the newest (term, index),
            which is that lowest token.
        metrics: Counts orders.
    """

    def __init__(
        self,
        *,
        state: BackendState,
        engine: Engine | None,
        floor: Callable[[], Awaitable[tuple[int, int]]],
        metrics: Metrics = METRICS,
    ):
        self._state = state
        self._engine = engine
        self._query_floor = floor
        self._metrics = metrics
        self._floor: tuple[int, int] | None = None
        self._lock = asyncio.Lock()

    async def execute(self, order: wire.Order) -> wire.OrderResult:
        """Execute an order; the result contains the error if it is refused."""
        async with self._lock:
            try:
                await self._check_fence(order)
                await self._apply(order)
            except WigeonscaleError as exc:
                logger.warning("order %s refused: %s", order.order_id, exc.message)
                self._metrics.orders.add(kind=exc.kind)
                return wire.OrderResult(
                    order_id=order.order_id, kind=exc.kind, message=exc.message
                )
        self._metrics.orders.add(kind=OK)
        return wire.OrderResult(order_id=order.order_id, done=True)

    async def _check_fence(self, order: wire.Order) -> None:
        if self._floor is None:
            self._floor = tuple(await self._query_floor())
        token = (order.term, order.sequence)
        if token < self._floor:
            raise WigeonscaleError(
                ErrorKind.STALE_TERM,
                f"fencing token {token} of order {order.order_id} is older than"
                f" {self._floor}",
            )
        self._floor = token

    async def _apply(self, order: wire.Order) -> None:
        body = order.WhichOneof("body")
        if body == "drain":
            self._state.set_draining(order.drain)
        elif body == "load" and self._engine is not None:
            await self._load(order)
        else:
            raise WigeonscaleError(
                ErrorKind.BAD_REQUEST,
                f"this agent does not support order {order.order_id} of type {body}",
            )

    async def _load(self, order: wire.Order) -> None:
        load = order.load
        if self._is_loaded(load):
            return
        # No step may run until the engine has reported which layers it has loaded.
        self._state.set_loading(True)
        try:
            await self._order_engine(order)
        finally:
            await self._state.probe()
            self._state.set_loading(False)

    async def _order_engine(self, order: wire.Order) -> None:
        load = order.load
        await self._engine.order(
            term=order.term,
            sequence=order.sequence,
            action="load",
            args={
                "model": load.model,
                "version": load.version,
                "adapter": load.adapter,
                "first_layer": load.first_layer,
                "last_layer": load.last_layer,
            },
        )

    def _is_loaded(self, load: wire.LoadLayers) -> bool:
        info = self._state.info
        if info is None:
            return False
        wanted = (load.model, load.first_layer, load.last_layer)
        if wanted != (info.model, info.first_layer, info.last_layer):
            return False
        version_fits = load.version in ("", info.version)
        return version_fits and (not load.adapter or load.adapter in info.adapters)
