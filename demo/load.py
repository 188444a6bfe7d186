"""Load of the demonstration: callers that send mixed requests to both entries."""

__all__ = ["Caller", "Kind", "Outcome", "Task", "make_tasks", "run_tasks"]

import asyncio
import itertools
import json
from dataclasses import dataclass, field
from enum import StrEnum

import aiohttp

from demo.deployment import KEYS, MODEL

MAX_CONCURRENT_TASKS = 8
REQUEST_TIMEOUT_S = 60.0
RESUME_AFTER_TOKENS = 3  # tokens read before the caller disconnects


class Kind(StrEnum):
    """Requests that a task makes.

    Attributes:
        STREAM: A streamed completion.
        PLAIN: A chat completion without streaming.
        RESUME: A streamed completion that is cut off by the caller and resumed at the
            other entry.
        LOOKUP: A read from the plain service.
        NOTE_TWICE: The same write to the plain service through both entries at once,
            with one idempotency key.
        REFUSED_KEY: A completion with an unknown API key.
        REFUSED_MODEL: A completion of an unknown model.
        REFUSED_RULE: A request that a rule refuses.
        MALFORMED: A request with an invalid JSON body.
    """

    STREAM = "stream"
    PLAIN = "plain"
    RESUME = "take-up"
    LOOKUP = "lookup"
    NOTE_TWICE = "note-twice"
    REFUSED_KEY = "refused-key"
    REFUSED_MODEL = "refused-model"
    REFUSED_RULE = "refused-rule"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class Task:
    """One task of the load; ``number`` makes its content unique."""

    number: int
    kind: Kind
    prompt: str = ""
    max_tokens: int = 0


@dataclass(slots=True)
class Outcome:
    """Responses that the caller of one task received.

    Attributes:
        task: The task.
        requests: Number of requests made.
        statuses: HTTP statuses of the responses.
        runs: ``Wigeonscale-Run`` headers of the responses; empty where absent.
        tokens: Texts of the streamed tokens, or the complete text as one item.
        declared: Number of completion tokens in the reported usage; None if no usage
            was reported.
        bodies: Raw bodies of refusals and of responses of plain services.
        error: Error of the connection or the stream; empty if there was none.
    """

    task: Task
    requests: int = 0
    statuses: list[int] = field(default_factory=list)
    runs: list[str] = field(default_factory=list)
    tokens: list[str] = field(default_factory=list)
    declared: int | None = None
    bodies: list[bytes] = field(default_factory=list)
    error: str = ""


PATTERN = (
    Kind.STREAM,
    Kind.PLAIN,
    Kind.LOOKUP,
    Kind.NOTE_TWICE,
    Kind.STREAM,
    Kind.RESUME,
    Kind.REFUSED_RULE,
    Kind.PLAIN,
    Kind.STREAM,
    Kind.REFUSED_KEY,
    Kind.NOTE_TWICE,
    Kind.REFUSED_MODEL,
    Kind.STREAM,
    Kind.MALFORMED,
)


def make_tasks(count: int, first: int = 0) -> list[Task]:
    """Return ``count`` tasks that cycle through all kinds.

    Args:
        count: Number of tasks.
        first: Number of the first task.

    Returns:
        The tasks; equal arguments give equal tasks.
    """
    kinds = itertools.cycle(PATTERN)
    return [
        Task(
            number=number,
            kind=next(kinds),
            prompt=f"please check manuscript page {number} of the chapter",
            max_tokens=8 + number % 17,
        )
        for number in range(first, first + count)
    ]


async def run_tasks(tasks: list[Task], entries: list[str]) -> list[Outcome]:
    """Run tasks, ``MAX_CONCURRENT_TASKS`` at a time; return outcomes in task order.

    Args:
        tasks: The tasks.
        entries: Base URLs of the entries; tasks use them round-robin.

    Returns:
        One outcome per task.
    """
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_TASKS)
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as http:

        async def run(task: Task) -> Outcome:
            async with semaphore:
                return await Caller(http=http, entries=entries, task=task).run()

        return list(await asyncio.gather(*(run(task) for task in tasks)))


class Caller:
    """Sends the requests of one task and records the responses.

    Args:
        http: HTTP session.
        entries: Base URLs of the entries.
        task: Task to run.
    """

    def __init__(self, *, http: aiohttp.ClientSession, entries: list[str], task: Task):
        self._http = http
        self._entry_url = entries[task.number % len(entries)]
        self._other_entry_url = entries[(task.number + 1) % len(entries)]
        self._task = task
        self._outcome = Outcome(task=task)
        names = sorted(KEYS)
        key = KEYS[names[task.number % len(names)]]
        self._headers = {"Authorization": f"Bearer {key}"}

    async def run(self) -> Outcome:
        """Run the task.

        Returns:
            The outcome; connection errors are recorded in its ``error``, not raised.
        """
        steps = {
            Kind.STREAM: self._stream,
            Kind.PLAIN: self._plain,
            Kind.RESUME: self._resume,
            Kind.LOOKUP: self._lookup,
            Kind.NOTE_TWICE: self._note_twice,
            Kind.REFUSED_KEY: self._refused_key,
            Kind.REFUSED_MODEL: self._refused_model,
            Kind.REFUSED_RULE: self._refused_rule,
            Kind.MALFORMED: self._malformed,
        }
        try:
            await steps[self._task.kind]()
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError) as exc:
            self._outcome.error = f"{type(exc).__name__}: {exc}"
        return self._outcome

    def _record_response(self, resp: aiohttp.ClientResponse) -> None:
        self._outcome.requests += 1
        self._outcome.statuses.append(resp.status)
        self._outcome.runs.append(resp.headers.get("Wigeonscale-Run", ""))

    def _body(self, *, stream: bool, model: str = MODEL) -> dict:
        return {
            "model": model,
            "prompt": self._task.prompt,
            "max_tokens": self._task.max_tokens,
            "stream": stream,
        }

    def _post(self, path: str, json_body: dict, **headers: str):
        url = self._entry_url + path
        return self._http.post(url, json=json_body, headers=self._headers | headers)

    async def _stream(self) -> None:
        async with self._post("/v1/completions", self._body(stream=True)) as resp:
            self._record_response(resp)
            await self._read_events(resp)

    async def _read_events(self, resp, token_limit: int | None = None) -> None:
        async for line in resp.content:
            if not line.startswith(b"data: ") or line.startswith(b"data: [DONE]"):
                continue
            event = json.loads(line[len(b"data: ") :])
            if "error" in event:
                self._outcome.error = str(event["error"])
                return
            text = event["choices"][0].get("text", "") if event["choices"] else ""
            if text:
                self._outcome.tokens.append(text)
            if event.get("usage"):
                self._outcome.declared = event["usage"]["completion_tokens"]
            if token_limit is not None and len(self._outcome.tokens) >= token_limit:
                return

    async def _plain(self) -> None:
        messages = [{"role": "user", "content": self._task.prompt}]
        body = {
            "model": MODEL,
            "messages": messages,
            "max_tokens": self._task.max_tokens,
        }
        async with self._post("/v1/chat/completions", body) as resp:
            self._record_response(resp)
            completion = await resp.json()
        self._outcome.tokens.append(completion["choices"][0]["message"]["content"])
        self._outcome.declared = completion["usage"]["completion_tokens"]

    async def _resume(self) -> None:
        async with self._post("/v1/completions", self._body(stream=True)) as resp:
            self._record_response(resp)
            request_id = resp.headers["Wigeonscale-Request"]
            await self._read_events(resp, token_limit=RESUME_AFTER_TOKENS)
        received = len(self._outcome.tokens)
        url = f"{self._other_entry_url}/v1/requests/{request_id}?from={received}"
        async with self._http.get(url, headers=self._headers) as resp:
            self._record_response(resp)
            await self._read_events(resp)

    async def _lookup(self) -> None:
        url = f"{self._entry_url}/directory/entries/{self._task.number}"
        async with self._http.get(url, headers=self._headers) as resp:
            self._record_response(resp)
            self._outcome.bodies.append(await resp.read())

    async def _note_twice(self) -> None:
        headers = self._headers | {"Idempotency-Key": f"note-{self._task.number}"}
        body = {"to": f"department {self._task.number}"}

        async def send(entry: str) -> None:
            url = f"{entry}/directory/notes"
            async with self._http.post(url, json=body, headers=headers) as resp:
                self._record_response(resp)
                self._outcome.bodies.append(await resp.read())

        await asyncio.gather(send(self._entry_url), send(self._other_entry_url))

    async def _post_refused(self, path: str, body: dict, **headers: str) -> None:
        async with self._post(path, body, **headers) as resp:
            self._record_response(resp)
            self._outcome.bodies.append(await resp.read())

    async def _refused_key(self) -> None:
        headers = {"Authorization": "Bearer nobody"}
        await self._post_refused("/v1/completions", self._body(stream=False), **headers)

    async def _refused_model(self) -> None:
        body = self._body(stream=False, model="absent")
        await self._post_refused("/v1/completions", body)

    async def _refused_rule(self) -> None:
        await self._post_refused("/directory/closed", {"number": self._task.number})

    async def _malformed(self) -> None:
        url = f"{self._entry_url}/v1/completions"
        headers = self._headers | {"Content-Type": "application/json"}
        async with self._http.post(url, data=b'{"model": ', headers=headers) as resp:
            self._record_response(resp)
            self._outcome.bodies.append(await resp.read())
