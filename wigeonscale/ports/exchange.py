"""The port to backend servers that are called directly, and what callers send."""

__all__ = [
    "BackendCall",
    "BackendStream",
    "CallOutcome",
    "CallerRequest",
    "Exchange",
    "ExchangeError",
    "FullResponse",
    "GenerationSize",
    "ResponseHead",
    "ResponseSink",
    "ServerNotice",
    "StreamEvent",
]

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from wigeonscale.layers import Part

Headers = tuple[tuple[str, str], ...]


class CallOutcome(StrEnum):
    """What is known of a call that brought no answer of the work itself."""

    NOT_SENT = "not-sent"  # nothing of it left this process
    NOT_RUN = "not-run"  # the backend server says so
    UNKNOWN = "unknown"  # it may have run


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerNotice:
    """What an answer says of its backend server, beside the request.

    Attributes:
        limit_per_s: Requests a second that it takes from all entries together; None
            where it names no limit.
        is_leaving: Whether it is about to end.
        rest_s: Time for which it wants nothing from this entry, in seconds; 0 for none.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    retry_after_s: float = 0.0


class ExchangeError(Exception):
    """A call brought no answer of the work itself.

    Args:
        outcome: What is known of the call.
        message: What happened.
        status: HTTP status of the rejection; 0 without one.
        failed_address: Address of the backend server that the response names as the
            cause; empty for none.
        is_other_incarnation: Whether another incarnation responds at the address.
        notice: What its answer says of itself; None without an answer of its own.
    """

    def __init__(
        self,
        outcome: CallOutcome,
        message: str,
        *,
        status: int = 0,
        failed_address: str = "",
        is_other_incarnation: bool = False,
        notice: ServerNotice | None = None,
    ):
        super().__init__(message)
        self.outcome = outcome
        self.message = message
        self.status = status
        self.failed_address = failed_address
        self.is_other_incarnation = is_other_incarnation
        self.notice = notice


@dataclass(frozen=True, slots=True, kw_only=True)
class GenerationSize:
    """What a request for a generation says of its size.

    Attributes:
        prompt: Tokens of its prompt.
        most: Most tokens of its answer.
        expected: The caller's estimate of the answer's tokens; often far off.
    """

    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A caller's whole request.

    Attributes:
        request_id: The caller's own id of this attempt.
        host: Host that it named.
        method: HTTP method.
        path: Path with query, as it was sent.
        headers: Headers that go on to a backend server unchanged.
        body: Its body.
        key: Key of its organisation; empty for none.
        arrived_at: Local instant at which its head was read, in seconds.
        deadline_s: Time that the caller waits, in seconds; None if not told.
        generation: Sizes, where it asks for a generation.
        last_event_id: Event that the caller has already; None for none.
    """

    request_id: str
    host: str
    method: str
    path: str
    headers: Headers
    body: bytes
    key: str
    arrived_at: float
    deadline_s: float | None = None
    generation: GenerationSize = GenerationSize()
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendCall:
    """One send of a request to a backend server.

    Attributes:
        req: The caller's request.
        address: Where it goes, ``ip:port``.
        backend_id: Incarnation that must be there.
        organisation: Name of the caller's organisation; empty for none.
        priority: Rank at the backend server, 0 first; None for its usual one.
        left_s: Time that the caller still waits, in seconds.
        path: Engines that run the layers; empty where one holds all.
        addresses: Address of each engine on the path.
        after_event: Event after which the answer shall begin; None for the start.
    """

    req: CallerRequest
    address: str
    backend_id: str
    organisation: str
    priority: int | None
    left_s: float
    path: tuple[Part, ...] = ()
    addresses: tuple[str, ...] = ()
    after_event: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an answer, as the caller shall get them.

    Attributes:
        status: HTTP status.
        headers: Names and values.
        notice: What the backend server says of itself in it.
    """

    status: int
    headers: Headers
    notice: ServerNotice = ServerNotice()


@dataclass(frozen=True, slots=True)
class FullResponse:
    """A complete answer of a backend server."""

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event of a stream.

    Attributes:
        event_id: Its number; None where it has none.
        data: Its bytes, the empty line after it included.
    """

    event_id: int | None
    data: bytes


class BackendStream(Protocol):
    """An answer that comes in events."""

    head: ResponseHead

    def events(self) -> AsyncIterator[StreamEvent]:
        """Yield the events; ends after the last one.

        Raises:
            ExchangeError: The stream broke off.
        """

    async def read_body(self) -> bytes:
        """Return the whole body of an answer that is no stream."""


class Exchange(Protocol):
    """Sends requests to backend servers."""

    async def call(self, call: BackendCall) -> FullResponse:
        """Return the whole answer.

        Raises:
            ExchangeError: There is none; its fate tells whether the work may have run.
        """

    def open(self, call: BackendCall) -> AbstractAsyncContextManager[BackendStream]:
        """Open a stream; leaving the context early cancels the work.

        Raises:
            ExchangeError: As :meth:`call`.
        """


class ResponseSink(Protocol):
    """Where the answer to one caller goes."""

    async def send(self, answer: FullResponse) -> None:
        """Send a whole answer."""

    async def begin(self, head: ResponseHead) -> None:
        """Begin a stream."""

    async def write(self, data: bytes) -> None:
        """Send part of a stream."""

    async def end(self) -> None:
        """End a stream as complete."""

    def abort(self) -> None:
        """Close the connection, so that the answer does not look complete."""
