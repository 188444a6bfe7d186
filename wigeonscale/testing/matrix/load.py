"""Callers and operators of the matrix, which record the responses they get."""

__all__ = [
    "Answer",
    "Outcome",
    "request_completion",
    "send_note",
    "apply_rules",
    "drain",
    "new_tag",
    "post_to",
    "post_to_leader",
    "rules_body",
    "resume_completion",
]

import asyncio
import itertools
import json
import time
from dataclasses import dataclass, field
from enum import StrEnum

import aiohttp

from wigeonscale.testing.matrix.cluster import KEY, MODEL, Cluster, rules_text

OPERATOR_TIMEOUT_S = 45.0
OPERATOR_RETRY_INTERVAL_S = 0.05
ADMIN_TIMEOUT_S = 5.0
_counter = itertools.count(1)


class Outcome(StrEnum):
    """How a request ended for its caller.

    ``CUT`` means that the connection broke without a final response.
    """

    WHOLE = "whole"
    REFUSED = "refused"
    CUT = "cut"


@dataclass(slots=True)
class Answer:
    """One request and the response that its caller received.

    Attributes:
        tag: Unique first piece of the prompt, or idempotency key.
        outcome: How the request ended.
        max_tokens: Tokens asked for; 0 for calls to plain services.
        status: HTTP status; 0 without a response.
        run: Run state of a refusal, from the ``Wigeonscale-Run`` header or an error
            event.
        kind: Error kind.
        message: Error message.
        retry_after: Whether the refusal included a retry delay.
        request_id: Id by which the stream can be resumed.
        texts: Token texts received so far.
        token_times: Monotonic arrival time of each token, in seconds. Fake engines
            emit tokens milliseconds apart.
        declared: Number of tokens in the usage report, or None without a report.
        body: Raw response body of a plain service.
    """

    tag: str
    max_tokens: int = 0
    outcome: Outcome = Outcome.CUT
    status: int = 0
    run: str = ""
    kind: str = ""
    message: str = ""
    retry_after: bool = False
    request_id: str = ""
    texts: list[str] = field(default_factory=list)
    token_times: list[float] = field(default_factory=list)
    declared: int | None = None
    body: bytes = b""

    @property
    def prompt(self) -> str:
        """The prompt of the request."""
        return f"{self.tag} of the manuscript"


def new_tag(kind: str) -> str:
    """Return a tag that is unique in this process."""
    return f"{kind}-{next(_counter)}"


async def request_completion(
    cluster: Cluster,
    entry: str,
    *,
    max_tokens: int = 24,
    once: bool = False,
    tag: str = "",
    answer: Answer | None = None,
) -> Answer:
    """Request a streamed completion and read it to the end.

    Args:
        cluster: The deployment.
        entry: Name of the entry.
        max_tokens: Maximum number of tokens.
        once: Whether to match the rule for billed work, which must not be repeated.
        tag: First piece of the prompt and idempotency key; empty for a new one.
        answer: Updated while the stream is read; None creates one.
    """
    if answer is None:
        answer = Answer(tag=tag or new_tag("page"), max_tokens=max_tokens)
    headers = {"Authorization": f"Bearer {KEY}"}
    if once:
        headers |= {"X-Billed": "yes", "Idempotency-Key": answer.tag}
    body = {
        "model": MODEL,
        "prompt": answer.prompt,
        "max_tokens": answer.max_tokens,
        "stream": True,
    }
    url = f"{cluster.entry_url(entry)}/v1/completions"
    await _read_stream(cluster.http.post(url, json=body, headers=headers), answer)
    return answer


async def resume_completion(cluster: Cluster, entry: str, answer: Answer) -> Answer:
    """Resume an interrupted stream at another entry, from the next token."""
    url = f"{cluster.entry_url(entry)}/v1/requests/{answer.request_id}"
    params = {"from": str(len(answer.texts))}
    headers = {"Authorization": f"Bearer {KEY}"}
    await _read_stream(cluster.http.get(url, params=params, headers=headers), answer)
    return answer


async def send_note(
    cluster: Cluster, entry: str, *, tag: str = "", body: str = "note"
) -> Answer:
    """Send a note to the plain service, which must not run twice.

    Args:
        cluster: The deployment.
        entry: Name of the entry.
        tag: Idempotency key; empty for a new one.
        body: Content of the note.
    """
    answer = Answer(tag=tag or new_tag("note"))
    headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": answer.tag}
    url = f"{cluster.entry_url(entry)}/notes"
    try:
        async with cluster.http.post(url, data=body, headers=headers) as resp:
            _record_headers(resp, answer)
            answer.body = await resp.read()
            answer.outcome = Outcome.WHOLE if resp.status == 200 else Outcome.REFUSED
            _record_error(answer, answer.body)
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        answer.message = f"{type(exc).__name__}: {exc}"
    return answer


async def _read_stream(request, answer: Answer) -> None:
    answer.outcome = Outcome.CUT
    try:
        async with request as resp:
            _record_headers(resp, answer)
            if resp.status != 200:
                _record_error(answer, await resp.read())
                answer.outcome = Outcome.REFUSED
                return
            async for line in resp.content:
                if line.startswith(b"data: "):
                    _record_event(answer, line[len(b"data: ") :].strip())
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        answer.message = f"{type(exc).__name__}: {exc}"


def _record_headers(resp: aiohttp.ClientResponse, answer: Answer) -> None:
    answer.status = resp.status
    answer.run = resp.headers.get("Wigeonscale-Run", "")
    answer.retry_after = "Retry-After" in resp.headers
    answer.request_id = resp.headers.get("Wigeonscale-Request", answer.request_id)


def _record_event(answer: Answer, data: bytes) -> None:
    if data == b"[DONE]":
        answer.outcome = Outcome.WHOLE
        return
    event = json.loads(data)
    if "error" in event:
        _record_error(answer, data)
        answer.outcome = Outcome.REFUSED
        return
    answer.request_id = event["id"]
    if event.get("usage"):
        answer.declared = event["usage"]["completion_tokens"]
    else:
        answer.texts.append(event["choices"][0]["text"])
        answer.token_times.append(time.monotonic())


def _record_error(answer: Answer, data: bytes) -> None:
    try:
        error = json.loads(data).get("error")
    except ValueError:
        return
    if error:
        answer.kind, answer.message = error["kind"], error["message"]
        answer.run = error.get("run") or answer.run
        answer.retry_after = answer.retry_after or error["retry_after"] is not None


@dataclass(frozen=True, slots=True)
class Reply:
    """The response to a request of an operator.

    Attributes:
        status: HTTP status.
        body: JSON body.
    """

    status: int
    body: dict


async def post_to(cluster: Cluster, name: str, page: str, body: dict) -> Reply | None:
    """Post to one control replica; None without a valid response."""
    url = f"http://{cluster.controls[name].cfg.http}/admin/{page}"
    timeout = aiohttp.ClientTimeout(total=ADMIN_TIMEOUT_S)
    try:
        async with cluster.http.post(url, json=body, timeout=timeout) as resp:
            return Reply(status=resp.status, body=await resp.json())
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
        return None


async def post_to_leader(cluster: Cluster, page: str, body: dict) -> Reply:
    """Post to the replicas in turn until one responds with a final status.

    Statuses 421, 500 and 503 are retried, for up to ``OPERATOR_TIMEOUT_S``.
    """
    async with asyncio.timeout(OPERATOR_TIMEOUT_S):
        while True:
            for name in cluster.controls:
                reply = await post_to(cluster, name, page, body)
                if reply is not None and reply.status not in (421, 500, 503):
                    return reply
            await asyncio.sleep(OPERATOR_RETRY_INTERVAL_S)


async def apply_rules(
    cluster: Cluster, base: int, *, operation: str = "", note: str = ""
) -> Reply:
    """Apply a new rules document on top of a revision.

    Args:
        cluster: The deployment.
        base: The base revision.
        operation: Operation id; empty for a new one.
        note: Makes the document unique; empty for the operation id.
    """
    operation = operation or new_tag("op")
    body = rules_body(base, operation, note or operation)
    reply = await post_to_leader(cluster, "rules/apply", body)
    if reply.status == 200:
        cluster.record_accepted(reply.body["revision"])
    return reply


def rules_body(base: int, operation: str, note: str) -> dict:
    """Return the JSON body of a request to apply a rules document."""
    return {
        "base_revision": base,
        "operation_id": operation,
        "document": rules_text(note),
        "operator": "matrix",
    }


async def drain(cluster: Cluster, agent: str, *, draining: bool) -> Reply:
    """Start or cancel draining of a backend server."""
    body = {"agent_id": agent, "draining": draining, "operation_id": new_tag("drain")}
    return await post_to_leader(cluster, "drain", body)
