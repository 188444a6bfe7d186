"""Runs admitted dispatches: generations on the chain and calls to the service."""

__all__ = ["start_call", "start_generation"]

import asyncio
import logging
from collections.abc import Callable

from wigeonscale.agent.answers import Dispatch
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.pipelines.generation import Generation
from wigeonscale.pipelines.head import ChainHead
from wigeonscale.pipelines.tokens import tokenise
from wigeonscale.ports import Clock, Service
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)


def start_generation(
    dispatch: Dispatch,
    *,
    chain: wire.Chain,
    head: ChainHead,
    on_token: Callable[[Dispatch, wire.Token], None],
    on_end: Callable[[Dispatch, wire.DispatchItem], None],
    on_failed: Callable[[Dispatch, WigeonscaleError], None],
) -> Generation:
    """Start a generation on a chain.

    Args:
        dispatch: The admitted dispatch.
        chain: The chain to use.
        head: Head of the chain, which runs the generation.
        on_token: Called with each token.
        on_end: Called with the last item if the generation succeeds.
        on_failed: Called with the error if it fails.

    Returns:
        The running generation.
    """
    work = dispatch.open.generate
    pieces = tokenise(work.prompt) + [token.text for token in work.prefix]

    def end(reason: str) -> None:
        done = wire.Done(tokens=dispatch.produced, finish_reason=reason)
        on_end(dispatch, wire.DispatchItem(done=done))

    generation = Generation(
        dispatch_id=dispatch.dispatch_id,
        pieces=pieces,
        produced=len(work.prefix),
        max_tokens=work.max_tokens,
        priority=dispatch.open.priority,
        on_token=lambda token: on_token(dispatch, token),
        on_end=end,
        on_failed=lambda exc: on_failed(dispatch, exc),
    )

    def set_paused(paused: bool) -> None:
        if generation.paused != paused:
            generation.paused = paused
            head.reschedule()

    dispatch.stop_work = lambda: head.cancel(generation)
    dispatch.set_paused = set_paused
    head.start(generation, chain)
    return generation


def start_call(
    dispatch: Dispatch,
    *,
    service: Service,
    clock: Clock,
    timeout_s: float,
    on_end: Callable[[Dispatch, wire.DispatchItem], None],
    on_failed: Callable[[Dispatch, WigeonscaleError], None],
) -> asyncio.Task:
    """Start one call to the plain service; callers cannot cancel it.

    Args:
        dispatch: The admitted dispatch.
        service: The plain service.
        clock: Clock port.
        timeout_s: Timeout of the call, in seconds; an earlier deadline shortens it.
        on_end: Called with the response.
        on_failed: Called with the error if the call fails.

    Returns:
        The task that makes the call.
    """

    async def call() -> None:
        try:
            answer = await _call_service(dispatch, service, clock, timeout_s)
        except WigeonscaleError as exc:
            if (
                dispatch.deadline_exceeded(clock.now())
                and exc.run_state is not RunState.NOT_RUN
            ):
                exc = _deadline_exceeded(dispatch)
            on_failed(dispatch, exc)
        except Exception as exc:
            logger.exception("service call of dispatch %s failed", dispatch.dispatch_id)
            on_failed(
                dispatch,
                WigeonscaleError(
                    ErrorKind.INTERNAL, repr(exc), run_state=RunState.UNKNOWN
                ),
            )
        else:
            on_end(dispatch, wire.DispatchItem(response=answer))

    return asyncio.create_task(call())


async def _call_service(
    dispatch: Dispatch, service: Service, clock: Clock, timeout_s: float
) -> wire.Response:
    work = dispatch.open.call
    if dispatch.deadline is not None:
        timeout_s = max(0.001, min(timeout_s, dispatch.deadline - clock.now()))
    answer = await service.call(
        work.method,
        work.path,
        [(header.name, header.value) for header in work.headers],
        work.body,
        timeout_s=timeout_s,
    )
    return wire.Response(
        status=answer.status,
        headers=[wire.Header(name=n, value=v) for n, v in answer.headers],
        body=answer.body,
    )


def _deadline_exceeded(dispatch: Dispatch) -> WigeonscaleError:
    # The call timed out at the deadline; the service may have done the work.
    return WigeonscaleError(
        ErrorKind.DEADLINE_EXCEEDED,
        f"the service did not respond within {dispatch.open.deadline_ms} ms",
        run_state=RunState.UNKNOWN,
    )
