"""Callers and operators of the matrix, who keep what they were told."""

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
# Between the tokens of the fake engines pass milliseconds.
_counter = itertools.count(1)


class Outcome(StrEnum):
    """What a caller was told in the end."""

    WHOLE = "whole"
    REFUSED = "refused"
    CUT = "cut"


@dataclass(slots=True)
class Answer:
    """One request and what its caller was told.

    Attributes:
        tag: Unique first piece of the prompt, or idempotency key.
        told: In the end.
        max_tokens: Tokens asked for; 0 for calls to plain services.
        status: HTTP status; 0 when none came.
        run: ``Wigeonscale-Run`` of a refusal, from header or error event.
        kind: Error kind.
        retry_after: Whether the refusal said when to come back.
        retryable: Whether the status is one at which it must.
        request_id: Id by which the answer can be taken up.
        texts: Tokens.
        arrived: Monotonic time at which each token came, in seconds.
        body: Raw answer of a plain service.
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
        """The prompt that was sent."""
        return f"{self.tag} of the manuscript"


def new_tag(kind: str) -> str:
    """Return a tag that no other request has."""
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
    """Ask for a streamed completion and read it to its end.

    Args:
        cluster: The deployment.
        entry: Name of the entry asked.
        max_tokens: Tokens wanted.
        once: Whether the rule for billed work is to match.
        tag: First piece of the prompt, and the idempotency key; empty: a new one.
        answer: Filled in while the answer comes; None makes one.
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
    """Take up an answer that was cut, at another entry, from the next token."""
    url = f"{cluster.entry_url(entry)}/v1/requests/{answer.request_id}"
    params = {"from": str(len(answer.texts))}
    headers = {"Authorization": f"Bearer {KEY}"}
    await _read_stream(cluster.http.get(url, params=params, headers=headers), answer)
    return answer


async def send_note(
    cluster: Cluster, entry: str, *, tag: str = "", body: str = "note"
) -> Answer:
    """Send a transfer note, which must not run twice.

    Args:
        cluster: The deployment.
        entry: Name of the entry asked.
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
    """What an operator was told.

    Attributes:
        status: HTTP status.
        body: JSON body.
    """

    status: int
    body: dict


async def post_to(cluster: Cluster, name: str, page: str, body: dict) -> Reply | None:
    """Post to one control replica; None when it does not answer."""
    url = f"http://{cluster.controls[name].cfg.http}/admin/{page}"
    timeout = aiohttp.ClientTimeout(total=ADMIN_TIMEOUT_S)
    try:
        async with cluster.http.post(url, json=body, timeout=timeout) as resp:
            return Reply(status=resp.status, body=await resp.json())
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
        return None


async def post_to_leader(cluster: Cluster, page: str, body: dict) -> Reply:
    """Post to one replica after the other until one accepts or refuses for good."""
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
    """Apply a rules document made from a revision.

    Args:
        cluster: The deployment.
        base: The revision.
        operation: Operation id; empty for a new one.
        note: Tells this document from others.
    """
    operation = operation or new_tag("op")
    body = rules_body(base, operation, note or operation)
    reply = await post_to_leader(cluster, "rules/apply", body)
    if reply.status == 200:
        cluster.record_accepted(reply.body["revision"])
    return reply


def rules_body(base: int, operation: str, note: str) -> dict:
    """Return the JSON body that applies a rules document."""
    return {
        "base_revision": base,
        "operation_id": operation,
        "document": rules_text(note),
        "operator": "matrix",
    }


async def drain(cluster: Cluster, agent: str, *, draining: bool) -> Reply:
    """Order a backend server to drain, or to take work again."""
    body = {"agent_id": agent, "draining": draining, "operation_id": new_tag("drain")}
    return await post_to_leader(cluster, "drain", body)
