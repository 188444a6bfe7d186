"""Sends answers to callers, either as event streams or as one JSON document."""

__all__ = ["ResponseOptions", "send_answer"]

import asyncio
from dataclasses import dataclass

from aiohttp import hdrs, web
from aiohttp.http_writer import StreamWriter

from wigeonscale.dispatch import Answer
from wigeonscale.entry.error_responses import REQUEST_HEADER
from wigeonscale.entry.records import RequestLog
from wigeonscale.entry.service import EntryService
from wigeonscale.entry.sse import EventEncoder, Shape, json_document
from wigeonscale.errors import WigeonscaleError

# Unsent bytes in the transport above which a stream waits for its caller.
WRITE_BUFFER_BYTES = 16 * 1024
# Time without progress after which a slow caller counts as disconnected.
CALLER_STALL_TIMEOUT_S = 60.0

STREAM_HEADERS = {
    hdrs.CONTENT_TYPE: "text/event-stream",
    hdrs.CACHE_CONTROL: "no-cache",
    "X-Accel-Buffering": "no",
}


@dataclass(frozen=True, slots=True)
class ResponseOptions:
    """Format of a response, as requested by the caller.

    Attributes:
        stream: Whether to send events; otherwise one JSON document.
        shape: JSON shape.
        model: Model requested by the caller.
    """

    stream: bool
    shape: Shape
    model: str = ""


async def send_answer(
    entry: EntryService,
    req: web.Request,
    log: RequestLog,
    answer: Answer,
    options: ResponseOptions,
) -> web.StreamResponse:
    """Send an answer to its caller, then close or abandon the answer.

    Args:
        entry: The entry.
        req: The request of the caller.
        log: Record of the request.
        answer: The answer.
        options: Format of the response.

    Raises:
        WigeonscaleError: If the answer failed before anything was written.
        ConnectionError: If the caller has disconnected.
    """
    send = _send_stream if options.stream else _send_json
    try:
        resp = await send(entry, req, log, answer, options)
    except (asyncio.CancelledError, ConnectionError):
        _abandon_disconnected(entry, log, answer, options)
        raise
    answer.close()
    return resp


def _abandon_disconnected(
    entry: EntryService, log: RequestLog, answer: Answer, options: ResponseOptions
) -> None:
    if options.stream and not answer.once:
        # The caller knows the request id from a header and may resume the answer.
        entry.abandon_after_grace(answer)
    else:
        answer.abandon()


async def _send_json(
    entry: EntryService,
    req: web.Request,
    log: RequestLog,
    answer: Answer,
    options: ResponseOptions,
) -> web.Response:
    try:
        while texts := await answer.read():
            log.record_write(len(texts), entry.clock.now())
    except WigeonscaleError:
        answer.close()
        raise
    document = json_document(
        request_id=answer.request_id,
        shape=options.shape,
        model=options.model,
        created=int(entry.clock.wall()),
        texts=answer.record.texts,
        finish_reason=answer.stream.done.finish_reason,
    )
    return web.json_response(document, headers={REQUEST_HEADER: answer.request_id})


async def _send_stream(
    entry: EntryService,
    req: web.Request,
    log: RequestLog,
    answer: Answer,
    options: ResponseOptions,
) -> web.StreamResponse:
    resp = web.StreamResponse(
        headers={**STREAM_HEADERS, REQUEST_HEADER: answer.request_id}
    )
    payload = await resp.prepare(req)
    if req.transport is None:
        raise ConnectionResetError("the caller has disconnected")
    encoder = EventEncoder(
        request_id=answer.request_id,
        shape=options.shape,
        model=options.model,
        created=int(entry.clock.wall()),
        next_index=answer.record.base,
    )
    events = _EventWriter(
        entry=entry,
        log=log,
        encoder=encoder,
        payload=payload,
        transport=req.transport,
    )
    try:
        while texts := await answer.read():
            encoder.set_request_id(answer.request_id)
            await events.write(texts)
            # While the caller keeps up, tokens are written directly on arrival and
            # this task does not run.
            answer.stream.forward_to(events.write_now)
        last = encoder.final_event(answer.stream.done.finish_reason)
    except WigeonscaleError as exc:
        log.kind = exc.kind
        last = encoder.error(exc)
    await resp.write_eof(last)
    return resp


class _EventWriter:
    """Writes the tokens of one answer to its caller."""

    def __init__(
        self,
        *,
        entry: EntryService,
        log: RequestLog,
        encoder: EventEncoder,
        payload: StreamWriter,
        transport: asyncio.Transport,
    ):
        self._entry = entry
        self._log = log
        self._encoder = encoder
        self._payload = payload
        self._transport = transport
        self._has_written = False
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    async def write(self, texts: list[str]) -> None:
        """Write tokens, then wait while the caller is slow.

        Raises:
            ConnectionResetError: If the caller reads nothing for
                ``CALLER_STALL_TIMEOUT_S``.
        """
        if self.write_now(texts):
            return
        try:
            async with asyncio.timeout(CALLER_STALL_TIMEOUT_S):
                await self._payload.drain()
        except TimeoutError as exc:
            raise ConnectionResetError("the caller does not read its stream") from exc

    def write_now(self, texts: list[str]) -> bool:
        """Write tokens without waiting; return whether the caller keeps up."""
        if self._transport.is_closing():
            return False
        events = self._encoder.tokens(texts)
        if self._has_written and self._payload.chunked:
            # Writes the same chunk framing as aiohttp at half of its cost.
            self._transport.write(b"%x\r\n%b\r\n" % (len(events), events))
        elif not self._write_via_aiohttp(events):
            return False
        self._has_written = True
        self._log.record_write(len(texts), self._entry.clock.now())
        return self._transport.get_write_buffer_size() <= WRITE_BUFFER_BYTES

    def _write_via_aiohttp(self, events: bytes) -> bool:
        """Write events with aiohttp, which sends the headers with the first write."""
        write = self._payload.write(events, drain=False)
        try:
            # With drain=False the coroutine finishes in its first step, so that no
            # task is needed.
            write.send(None)
        except StopIteration:
            return True
        except ConnectionError:
            return False
        return True
