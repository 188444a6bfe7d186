"""Generations: ``POST /v1/completions`` and ``POST /v1/chat/completions``."""

__all__ = ["completions_handler"]

from aiohttp import web

from wigeonscale.crashes import prompt_part_key
from wigeonscale.dispatch import Work
from wigeonscale.entry.calls import forward
from wigeonscale.entry.flow import (
    Admission,
    Caller,
    Handler,
    admit,
    identify,
    request_facts,
)
from wigeonscale.entry.records import RequestLog
from wigeonscale.entry.requests import (
    ChatBody,
    CompletionBody,
    parse_body,
    read_body,
)
from wigeonscale.entry.service import EntryService
from wigeonscale.entry.sse import Shape
from wigeonscale.entry.streams import ResponseOptions, send_answer
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.rules import RequestFacts
from wigeonscale.wire import wire_pb2 as wire

_BODY_TYPES = {Shape.COMPLETION: CompletionBody, Shape.CHAT: ChatBody}


def completions_handler(shape: Shape) -> Handler:
    """Return the handler of generations for one JSON shape.

    Args:
        shape: JSON shape of request and response.
    """
    body_type = _BODY_TYPES[shape]

    async def complete(
        entry: EntryService, req: web.Request, log: RequestLog
    ) -> web.StreamResponse:
        caller = identify(entry, req, log)
        raw = await read_body(req)
        body = parse_body(req, raw, body_type)
        prompt = body.prompt_text().encode("utf-8", "replace")
        facts = request_facts(
            req, caller, size=len(prompt), model=body.model, stream=body.stream
        )
        admission = _admit(entry, log, caller, facts)
        if admission.decision.service:
            return await forward(entry, req, log, admission, raw)
        work = _work(entry, req, admission, raw, prompt, body)
        answer = await entry.dispatcher.start(work)
        options = ResponseOptions(stream=body.stream, shape=shape, model=body.model)
        return await send_answer(entry, req, log, answer, options)

    return complete


def _admit(
    entry: EntryService, log: RequestLog, caller: Caller, facts: RequestFacts
) -> Admission:
    try:
        return admit(entry, log, caller, facts)
    except WigeonscaleError as exc:
        pipelines = entry.control.document.pipelines.values()
        unmatched = exc.kind is ErrorKind.NO_MATCHING_RULE
        if unmatched and all(each.model != facts.model for each in pipelines):
            raise WigeonscaleError(
                ErrorKind.UNKNOWN_MODEL, f"no pipeline serves the model {facts.model!r}"
            ) from exc
        raise


def _work(
    entry: EntryService,
    req: web.Request,
    admission: Admission,
    raw: bytes,
    prompt: bytes,
    body: CompletionBody | ChatBody,
) -> Work:
    pipeline = entry.control.document.pipelines[admission.decision.pipeline]
    generate = wire.Generate(
        prompt=prompt, max_tokens=body.max_tokens, adapter=pipeline.adapter
    )
    return admission.work(
        pipeline=pipeline.name,
        generate=generate,
        part_keys=tuple(
            prompt_part_key(pipeline.name, part) for part in body.shared_parts()
        ),
        req=req,
        raw=raw,
    )
