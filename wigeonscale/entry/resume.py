"""Resumption of answers: ``GET /v1/requests/{id}``."""

__all__ = ["resume_answer"]

from aiohttp import web

from wigeonscale.entry.calls import service_response
from wigeonscale.entry.flow import identify
from wigeonscale.entry.records import RequestLog
from wigeonscale.entry.requests import token_index
from wigeonscale.entry.service import EntryService
from wigeonscale.entry.sse import Shape
from wigeonscale.entry.streams import ResponseOptions, send_answer
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError

LAST_EVENT_HEADER = "Last-Event-ID"


async def resume_answer(
    entry: EntryService, req: web.Request, log: RequestLog
) -> web.StreamResponse:
    """Send the rest of an answer from a token index on; any entry can serve it."""
    caller = identify(entry, req, log)
    request_id = req.match_info["id"]
    from_token = _from_token(req)
    options = ResponseOptions(stream=True, shape=_shape(req))
    target = entry.selector.target(request_id.rpartition("@")[2])
    if target is None:
        raise WigeonscaleError(
            ErrorKind.ANSWER_EXPIRED,
            f"no backend server has the answer {request_id[:80]!r}",
            run_state=RunState.UNKNOWN,
        )
    answer = await entry.dispatcher.attach(
        target, request_id, caller.organisation.name, from_token
    )
    log.dispatch_ids.append(request_id)
    entry.cancel_abandon(request_id)
    if answer.stream.response is None:
        return await send_answer(entry, req, log, answer, options)
    try:
        return await service_response(answer)
    finally:
        answer.close()


def _from_token(req: web.Request) -> int:
    if "from" in req.query:
        return token_index("from", req.query["from"])
    last = req.headers.get(LAST_EVENT_HEADER)
    return 0 if last is None else token_index(LAST_EVENT_HEADER, last) + 1


def _shape(req: web.Request) -> Shape:
    value = req.query.get("shape", Shape.COMPLETION)
    if value not in set(Shape):
        raise WigeonscaleError(
            ErrorKind.BAD_REQUEST,
            f"shape: invalid value {value[:80]!r}; expected one of {', '.join(Shape)}",
        )
    return Shape(value)
