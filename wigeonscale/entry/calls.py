"""Calls to plain services, for any path that a rule routes to a service."""

__all__ = ["call_service", "forward", "service_response"]

from collections.abc import Iterable

from aiohttp import web
from multidict import CIMultiDict

from wigeonscale.adapters.service_http import HOP_BY_HOP_HEADERS
from wigeonscale.dispatch import Answer, Work
from wigeonscale.entry.error_responses import REQUEST_HEADER
from wigeonscale.entry.flow import Admission, admit, identify, request_facts
from wigeonscale.entry.records import RequestLog
from wigeonscale.entry.requests import check_path, read_body
from wigeonscale.entry.service import EntryService
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.wire import wire_pb2 as wire

# "authorization" contains the caller's API key, which services must not see.
_NOT_FORWARDED = HOP_BY_HOP_HEADERS | {"authorization", "expect", "accept-encoding"}
_NOT_RETURNED = HOP_BY_HOP_HEADERS | {"content-encoding", "date", "server"}


async def call_service(
    entry: EntryService, req: web.Request, log: RequestLog
) -> web.StreamResponse:
    """Serve any path that has no handler of its own."""
    check_path(req)
    caller = identify(entry, req, log)
    raw = await read_body(req)
    facts = request_facts(req, caller, size=len(raw))
    admission = admit(entry, log, caller, facts)
    if not admission.decision.service:
        raise WigeonscaleError(
            ErrorKind.NOT_FOUND,
            f"{req.method} {req.path} is not a completion request and cannot be served"
            f" by pipeline {admission.decision.pipeline!r}",
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
        log: Record of the request.
        admission: The admission of the request.
        raw: Body of the request.

    Returns:
        The response of the service.

    Raises:
        WigeonscaleError: If the call failed.
    """
    answer = await entry.dispatcher.start(_work(req, admission, raw))
    try:
        return await service_response(answer)
    finally:
        answer.close()


async def service_response(answer: Answer) -> web.Response:
    """Return the HTTP response of a plain service.

    Args:
        answer: The answer to a call.

    Raises:
        WigeonscaleError: If the call failed.
    """
    await answer.read()
    response = answer.stream.response
    headers = CIMultiDict(_filter_headers(response.headers, _NOT_RETURNED))
    headers[REQUEST_HEADER] = answer.request_id
    return web.Response(status=response.status, headers=headers, body=response.body)


def _work(req: web.Request, admission: Admission, raw: bytes) -> Work:
    headers = (
        wire.Header(name=name, value=value) for name, value in req.headers.items()
    )
    call = wire.Call(method=req.method, path=req.path_qs, body=raw)
    for name, value in _filter_headers(headers, _NOT_FORWARDED):
        call.headers.add(name=name, value=value)
    return admission.work(
        service=admission.decision.service, call=call, req=req, raw=raw
    )


def _filter_headers(
    headers: Iterable[wire.Header], dropped: frozenset[str]
) -> list[tuple[str, str]]:
    return [
        (header.name, header.value)
        for header in headers
        if header.name.lower() not in dropped
    ]
