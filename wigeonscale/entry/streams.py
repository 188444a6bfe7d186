"""Answers written to callers: streams token by token, plain ones at their end."""

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

# Bytes not yet sent to a caller, above which its stream waits.
WRITE_BUFFER_BYTES = 16 * 1024
# A caller that takes nothing for so long counts as vanished.
CALLER_STALL_TIMEOUT_S = 60.0

STREAM_HEADERS = {
    hdrs.CONTENT_TYPE: "text/event-stream",
    hdrs.CACHE_CONTROL: "no-cache",
    "X-Accel-Buffering": "no",
}


@dataclass(frozen=True, slots=True)
class ResponseOptions:
    """How a caller wants its answer.

    Attributes:
        stream: As events; otherwise one document.
        shape: JSON shape.
        model: Model named by the caller.
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
    """Send an answer that has begun, and leave it.

    Args:
        entry: The entry.
        req: The caller's request.
        log: Takes what is recorded.
        answer: The answer.
        options: How the caller wants it.

    Raises:
        WigeonscaleError: Before anything was written.
        ConnectionError: When the caller has vanished.
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
        # It knows the request id and may come back for the rest.
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
            log.note_tokens(len(texts), entry.clock.now())
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
        raise ConnectionResetError("the caller has vanished")
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
            # Until the caller is slow, tokens go on without this task.
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
        """Write tokens and wait while the caller is slow."""
        if self.write_now(texts):
            return
        try:
            async with asyncio.timeout(CALLER_STALL_TIMEOUT_S):
                await self._payload.drain()
        except TimeoutError as exc:
            raise ConnectionResetError("the caller takes nothing") from exc

    def write_now(self, texts: list[str]) -> bool:
        """Write tokens and return whether the caller keeps up."""
        if self._transport.is_closing():
            return False
        events = self._encoder.tokens(texts)
        if self._has_written and self._payload.chunked:
            # One chunk as the library frames it, for half of its price.
            self._transport.write(b"%x\r\n%b\r\n" % (len(events), events))
        elif not self._write_via_aiohttp(events):
            return False
        self._has_written = True
        self._log.note_tokens(len(texts), self._entry.clock.now())
        return self._transport.get_write_buffer_size() <= WRITE_BUFFER_BYTES

    def _write_via_aiohttp(self, events: bytes) -> bool:
        """Write events after the headers, which the first write sends."""
        write = self._payload.write(events, drain=False)
        try:
            # Without draining it ends at once: no task need be woken for it.
            write.send(None)
        except StopIteration:
            return True
        except ConnectionError:
            return False
        return True
