"""Calls to plain services: any path that a rule routes to one."""

__all__ = ["call_service", "forward", "service_response"]

from collections.abc import Iterable

from aiohttp import web
from multidict import CIMultiDict

from wigeonscale.adapters.service_http import HOP_HEADERS
from wigeonscale.dispatch import Answer, Work
from wigeonscale.entry.error_responses import REQUEST_HEADER
from wigeonscale.entry.flow import Admission, admit, identify, request_facts
from wigeonscale.entry.records import RequestLog
from wigeonscale.entry.requests import check_path, read_body
from wigeonscale.entry.service import EntryService
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.wire import wire_pb2 as wire

# The key to this system is not the service's business.
_NOT_FORWARDED = HOP_HEADERS | {"authorization", "expect", "accept-encoding"}
_NOT_RETURNED = HOP_HEADERS | {"content-encoding", "date", "server"}


async def call_service(
    entry: EntryService, req: web.Request, log: RequestLog
) -> web.StreamResponse:
    """Serve any path that is not the system's own."""
    check_path(req)
    caller = identify(entry, req, log)
    raw = await read_body(req)
    facts = request_facts(req, caller, size=len(raw))
    admission = admit(entry, log, caller, facts)
    if not admission.decision.service:
        raise WigeonscaleError(
            ErrorKind.NOT_FOUND,
            f"{req.method} {req.path} cannot go to the pipeline"
            f" {admission.decision.pipeline!r}",
        )
    return await forward(entry, req, log, admission, raw)


async def forward(
    entry: EntryService,
    req: web.Request,
    log: RequestLog,
    admission: Admission,
    raw: bytes,
) -> web.Response:
    """Forward an admitted request to its plain service.

    Args:
        entry: The entry.
        req: The request.
        log: Takes what is recorded.
        admission: What the rules decided.
        raw: The request's body.

    Returns:
        The service's answer.

    Raises:
        WigeonscaleError: When there is none.
    """
    answer = await entry.dispatcher.start(_work(req, admission, raw))
    try:
        return await service_response(answer)
    finally:
        answer.close()


async def service_response(answer: Answer) -> web.Response:
    """Return a plain service's answer as HTTP.

    Args:
        answer: The answer to a call.

    Raises:
        WigeonscaleError: When the call failed.
    """
    await answer.read()
    response = answer.stream.response
    headers = CIMultiDict(_kept(response.headers, _NOT_RETURNED))
    headers[REQUEST_HEADER] = answer.request_id
    return web.Response(status=response.status, headers=headers, body=response.body)


def _work(req: web.Request, admission: Admission, raw: bytes) -> Work:
    headers = (
        wire.Header(name=name, value=value) for name, value in req.headers.items()
    )
    call = wire.Call(method=req.method, path=req.path_qs, body=raw)
    for name, value in _kept(headers, _NOT_FORWARDED):
        call.headers.add(name=name, value=value)
    return admission.work(
        service=admission.decision.service, call=call, req=req, raw=raw
    )


def _kept(
    headers: Iterable[wire.Header], dropped: frozenset[str]
) -> list[tuple[str, str]]:
    return [
        (header.name, header.value)
        for header in headers
        if header.name.lower() not in dropped
    ]
