"""Entry point for callers' requests: routes each to the plain or stream handler."""

__all__ = ["DirectService"]

import asyncio
import logging
import random
from collections.abc import Callable

from wigeonscale.adapters.logs import log_fields
from wigeonscale.direct.job import EntryContext, Job
from wigeonscale.direct.plain import call_plain
from wigeonscale.direct.progress import Progress
from wigeonscale.direct.stream import relay_stream
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.ports.exchange import CallerRequest, ResponseSink
from wigeonscale.routes import (
    Repeat,
    RouteTable,
    choose_service,
    find_organisation,
    find_route,
)

# The final response is sent this long before the caller's deadline.
RESPONSE_MARGIN_S = 0.02
NOT_READY_RETRY_AFTER_S = 0.5
# A new entry gets the configuration within a second, or after an election if control
# starts too. Requests wait for it this long, and at most this fraction of their time,
# because many callers do not retry a rejected request.
MAX_STARTUP_WAIT_S = 1.5
STARTUP_WAIT_FRACTION = 0.3

logger = logging.getLogger(__name__)


class DirectService:
    """Handles the requests of one entry.

    Args:
        ctx: Context of the entry.
        table: Returns the current route table; its number is 0 before the first.
        config_received: Set once the route table and the backend servers are received.
        may_serve: Returns whether the configuration is valid without a newer one.
        rng: Source of randomness for weighted shares.
    """

    def __init__(
        self,
        *,
        ctx: EntryContext,
        table: Callable[[], RouteTable],
        config_received: asyncio.Event,
        may_serve: Callable[[], bool],
        rng: random.Random,
    ):
        self._ctx = ctx
        self._table = table
        self._config_received = config_received
        self._may_serve = may_serve
        self._rng = rng

    async def serve(self, req: CallerRequest, sink: ResponseSink) -> None:
        """Handle one request.

        Args:
            req: The request.
            sink: Receives the response.

        Raises:
            WigeonscaleError: Its kind and run state determine the error response. If
                the response has begun, the connection must be cut instead.
        """
        if not self._config_received.is_set():
            await self._wait_for_config(req)
        if not self._may_serve():
            raise WigeonscaleError(
                ErrorKind.LEASE_EXPIRED,
                "no quorum of control confirms the configuration",
                retry_after=NOT_READY_RETRY_AFTER_S,
            )
        job = self._job(req)
        ctx = self._ctx
        table_number = self._table().number
        left_s = job.deadline_at - ctx.clock.now()
        ctx.budget.record(job.service.name)
        limit = asyncio.timeout(left_s)
        try:
            async with limit:
                pause_fields = await self._run(job, sink)
        except WigeonscaleError as exc:
            if exc.run_state is RunState.UNKNOWN:
                self._log_failure(job, table_number, exc.kind)
            raise
        except TimeoutError:
            if not limit.expired():
                raise
            self._log_failure(job, table_number, ErrorKind.DEADLINE_EXCEEDED)
            raise WigeonscaleError(
                ErrorKind.DEADLINE_EXCEEDED,
                f"no response within {left_s:.3f} s",
                run_state=RunState.UNKNOWN,
            ) from None
        logger.info(
            "request answered",
            extra=log_fields(
                request_id=req.request_id,
                outcome="answered",
                route=job.route.name,
                service=job.service.name,
                table=self._table().number,
                took_s=round(ctx.clock.now() - req.arrived_at, 4),
                **pause_fields,
            ),
        )

    def _log_failure(self, job: Job, table_number: int, kind: ErrorKind) -> None:
        """Log a failure after which the work may have run, and changes meanwhile."""
        logger.info(
            "request failed",
            extra=log_fields(
                request_id=job.req.request_id,
                kind=kind,
                route=job.route.name,
                service=job.service.name,
                table=table_number,
                newest_table=self._table().number,
                took_s=round(self._ctx.clock.now() - job.req.arrived_at, 4),
            ),
        )

    async def _run(self, job: Job, sink: ResponseSink) -> dict[str, object]:
        """Handle a request; return log fields about its response."""
        if job.route.repeat is Repeat.STREAM:
            if self._ctx.has_classes(job.service.name):
                self._ctx.class_demand.note_arrived(job)
            return _pause_fields(job, await relay_stream(self._ctx, job, sink))
        await sink.send(await call_plain(self._ctx, job))
        return {}

    async def _wait_for_config(self, req: CallerRequest) -> None:
        wait_s = MAX_STARTUP_WAIT_S
        if req.deadline_s is not None:
            wait_s = min(wait_s, req.deadline_s * STARTUP_WAIT_FRACTION)
        try:
            async with asyncio.timeout(wait_s):
                await self._config_received.wait()
        except TimeoutError:
            raise WigeonscaleError(
                ErrorKind.LEASE_EXPIRED,
                f"no configuration received within {wait_s:.3f} s",
                retry_after=NOT_READY_RETRY_AFTER_S,
            ) from None

    def _job(self, req: CallerRequest) -> Job:
        table = self._table()
        if not req.request_id:
            raise WigeonscaleError(ErrorKind.BAD_REQUEST, "the request has no id")
        route = find_route(table, req.host, req.path)
        organisation = find_organisation(table, route, req.key)
        limit_s = route.timeout_s
        if req.deadline_s is not None:
            limit_s = min(limit_s, req.deadline_s)
        return Job(
            req=req,
            route=route,
            service=table.services[choose_service(route, self._rng)],
            organisation=organisation,
            deadline_at=req.arrived_at + max(0.0, limit_s - RESPONSE_MARGIN_S),
        )


def _pause_fields(job: Job, progress: Progress) -> dict[str, object]:
    """Return log fields about the delays of a stream: its start and longest pause."""
    if progress.first_event_at is None:
        return {}
    return {
        "first_event_s": round(progress.first_event_at - job.req.arrived_at, 4),
        "longest_pause_s": round(progress.longest_pause_s, 4),
        "paused_after": progress.paused_after,
        "sends": progress.sends,
        "moves": progress.reroutes,
    }
