"""Ports between callers and the backend servers that the entry calls directly."""

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
    """What is known about the work of a call that failed."""

    NOT_SENT = "not-sent"  # no byte of the request was sent
    NOT_RUN = "not-run"  # the backend server states that the work did not run
    UNKNOWN = "unknown"  # the work may have run


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerNotice:
    """Status of a backend server, as the headers of any of its responses report it.

    Attributes:
        limit_per_s: Requests per second that it accepts from all entries together; None
            if it names no limit.
        is_leaving: Whether it is about to shut down.
        retry_after_s: Time during which this entry must not send to it, in seconds; 0
            for none.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    retry_after_s: float = 0.0


class ExchangeError(Exception):
    """A call failed without a usable response.

    Args:
        outcome: What is known about the work of the call.
        message: Description of the failure.
        status: HTTP status of the rejection; 0 without one.
        failed_address: Address of the backend server that the response names as the
            cause; empty for none.
        is_other_incarnation: Whether another incarnation responds at the address.
        notice: Status that the backend server reported; None if it did not respond or
            another incarnation did.
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
    """Size of a generation, as its request states it.

    Attributes:
        prompt_tokens: Number of tokens in the prompt.
        max_tokens: Maximum number of tokens in the response.
        expected_tokens: The caller's estimate of the tokens in the response; often far
            off.
    """

    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """A complete request of a caller.

    Attributes:
        request_id: The caller's id of this attempt.
        host: Value of the Host header.
        method: HTTP method.
        path: Path with query, as it was sent.
        headers: Headers to forward to a backend server unchanged.
        body: Request body.
        key: API key of the organisation; empty for none.
        arrived_at: Monotonic time at which the head was read, in seconds.
        deadline_s: Time that the caller waits, in seconds; None if not given.
        generation: Token counts, if the request is a generation.
        last_event_id: Last event that the caller received; None for none.
        prompt_parts: Ids of the parts of the prompt, in order. Requests share parts;
            the last one belongs to this request or to its session.
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
    prompt_parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendCall:
    """One attempt to send a request to a backend server.

    Attributes:
        req: The caller's request.
        address: ``ip:port`` of the backend server.
        backend_id: Id of the incarnation expected at the address.
        organisation: Name of the caller's organisation; empty for none.
        priority: Priority at the backend server, 0 being the highest; None for the
            default of the backend server.
        left_s: Time that the caller still waits, in seconds.
        path: Engines that run the layers; empty if a single engine holds all.
        addresses: Address of each engine on the path.
        after_event: Event after which the response resumes; None to start at the
            beginning.
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
    """Status and headers of a response, as they are sent to the caller.

    Attributes:
        status: HTTP status.
        headers: Names and values.
        notice: Status of the backend server, which the caller does not see.
    """

    status: int
    headers: Headers
    notice: ServerNotice = ServerNotice()


@dataclass(frozen=True, slots=True)
class FullResponse:
    """A complete response with its body."""

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete server-sent event.

    Attributes:
        event_id: Numeric id; None if the event has none.
        data: Bytes of the event, including the empty line that ends it.
    """

    event_id: int | None
    data: bytes


class BackendStream(Protocol):
    """A response that arrives as a stream of events."""

    head: ResponseHead

    def events(self) -> AsyncIterator[StreamEvent]:
        """Yield the events of the stream.

        Raises:
            ExchangeError: If the stream ends before it is complete.
        """

    async def read_body(self) -> bytes:
        """Return the complete body of a response that is not an event stream."""


class Exchange(Protocol):
    """Sends requests to backend servers."""

    async def call(self, call: BackendCall) -> FullResponse:
        """Send a request and return the complete response.

        Raises:
            ExchangeError: If the call fails; its outcome tells whether the work may
                have run.
        """

    def open(self, call: BackendCall) -> AbstractAsyncContextManager[BackendStream]:
        """Send a request and return its response as a stream.

        Leaving the context before the end of the response cancels the work.

        Raises:
            ExchangeError: As :meth:`call`.
        """


class ResponseSink(Protocol):
    """Destination of the response to one caller."""

    async def send(self, response: FullResponse) -> None:
        """Send a complete response."""

    async def begin(self, head: ResponseHead) -> None:
        """Send the head of a streamed response."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body of a streamed response."""

    async def end(self) -> None:
        """Finish a streamed response normally."""

    def abort(self) -> None:
        """Close the connection without the end of the body.

        The caller can thus tell that the response is incomplete.
        """
