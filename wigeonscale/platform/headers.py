"""Headers of the platform: read from callers and answers, written to backends."""

__all__ = [
    "RequestHeaders",
    "answer_headers",
    "at_fault_of",
    "backend_headers",
    "event_id_of",
    "head_of",
    "is_refused_unrun",
    "is_other_incarnation",
    "names_request",
    "notice_of",
    "path_text",
    "read_request_headers",
]

import logging
import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from wigeonscale.adapters.logs import log_fields
from wigeonscale.layers import Part
from wigeonscale.ports.exchange import (
    BackendCall,
    GenerationSize,
    ResponseHead,
    ServerNotice,
)

MILLISECONDS = 1000.0
BEARER = "bearer "
LEAST_PRIORITY = 9
MISDIRECTED = 421
OVERLOADED = 503
TEXT_IN_LOG = 40  # characters

# They concern one connection only, RFC 9110, 7.6.1; the last two are written anew.
_CONNECTION_ONLY = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)
# Set by this system alone, whatever a caller sends.
_OWN = frozenset(
    {
        "authorization",
        "tenant",
        "request-deadline",
        "expect-instance",
        "expect-version",
        "request-priority",
        "hop-count",
        "last-event-id",
    }
)
_NOT_TO_CALLERS = frozenset({"date", "server"}) | _CONNECTION_ONLY

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestHeaders:
    """What the headers of a caller's request say.

    Attributes:
        request_id: The caller's id of this attempt; empty if missing.
        host: Host that it names.
        key: Key of its organisation; empty for none.
        deadline_s: Time that the caller waits, in seconds; None if not told.
        generation: Sizes, where it asks for a generation.
        last_event_id: Event that the caller has already; None for none.
        others: Headers that go on unchanged.
    """

    request_id: str
    host: str
    key: str
    deadline_s: float | None
    generation: GenerationSize
    last_event_id: int | None
    others: tuple[tuple[str, str], ...]


def read_request_headers(headers: Mapping[str, str]) -> RequestHeaders:
    """Return what a caller's headers say.

    Args:
        headers: Headers by name, in any case; a multi-mapping.
    """
    skipped = _CONNECTION_ONLY | _OWN | _listed(headers.get("Connection", ""))
    deadline_ms = _number(headers.get("Request-Deadline", ""))
    last_event_id = _number(headers.get("Last-Event-Id", ""))
    return RequestHeaders(
        request_id=headers.get("Attempt-Id", ""),
        host=headers.get("Host", ""),
        key=_bearer(headers.get("Authorization", "")),
        deadline_s=None if deadline_ms is None else deadline_ms / MILLISECONDS,
        generation=_generation(headers),
        last_event_id=None if last_event_id is None else int(last_event_id),
        others=tuple(
            (name, value)
            for name, value in headers.items()
            if name.lower() not in skipped
        ),
    )


def backend_headers(call: BackendCall) -> list[tuple[str, str]]:
    """Return the headers of one send to a backend server."""
    headers = list(call.req.headers)
    headers.append(("Expect-Instance", call.backend_id))
    headers.append(("Request-Deadline", str(max(1, int(call.left_s * MILLISECONDS)))))
    if call.organisation:
        headers.append(("Tenant", call.organisation))
    if call.priority is not None:
        rank = min(max(call.priority, 0), LEAST_PRIORITY)
        headers.append(("Request-Priority", str(rank)))
    if call.after_event is not None:
        headers.append(("Last-Event-Id", str(call.after_event)))
    if call.path:
        # Not a count: the engines of the path with the layers that each runs.
        headers.append(("Hop-Count", path_text(call.path, call.addresses)))
    return headers


def path_text(path: Sequence[Part], addresses: Sequence[str]) -> str:
    """Return a path as the engines read it.

    Args:
        path: Parts in order of layers.
        addresses: Address of each engine on the path.
    """
    parts = zip(addresses, path, strict=True)
    return ",".join(f"{at}={part.layers.first}-{part.layers.end}" for at, part in parts)


def head_of(
    status: int,
    raw: Sequence[tuple[bytes, bytes]],
    notice: ServerNotice,
) -> ResponseHead:
    """Return the head of an answer as the caller shall get it.

    Args:
        status: HTTP status.
        raw: Headers as they came.
        notice: What the backend server says of itself in them.
    """
    pairs = [(name.decode("latin-1"), value.decode("latin-1")) for name, value in raw]
    kept = [pair for pair in pairs if pair[0].lower() not in _NOT_TO_CALLERS]
    return ResponseHead(status, tuple(kept), notice)


def notice_of(status: int, headers: Mapping[str, str]) -> ServerNotice:
    """Return what a backend server says of itself in an answer.

    Args:
        status: HTTP status.
        headers: Headers by name, in any case; of its own answer, not of a stranger's.
    """
    rest_s = _amount(headers, "Retry-After") if status == OVERLOADED else None
    return ServerNotice(
        limit_per_s=_amount(headers, "Server-Limit"),
        is_leaving=headers.get("Server-Leaving", "").strip() == "1",
        retry_after_s=rest_s or 0.0,
    )


def names_request(headers: Mapping[str, str], request_id: str) -> bool:
    """Return whether an answer belongs to a request; one without an id may."""
    return headers.get("Attempt-Id", request_id) == request_id


def is_refused_unrun(status: int, headers: Mapping[str, str]) -> bool:
    """Return whether an answer says that the work was not begun and never will be."""
    return status == MISDIRECTED or "Not-Run" in headers


def is_other_incarnation(status: int, headers: Mapping[str, str]) -> bool:
    """Return whether another incarnation than the one expected answered."""
    return status == MISDIRECTED and "At-Server" not in headers


def at_fault_of(headers: Mapping[str, str]) -> str:
    """Return the address of the engine that a refusal names; empty for none."""
    return headers.get("At-Server", "")


def answer_headers(request_id: str, retry_after_s: float | None) -> dict[str, str]:
    """Return the headers of an answer of this system's own.

    Args:
        request_id: The caller's id of the attempt; empty for none.
        retry_after_s: When to come back, in seconds; None for no word.
    """
    headers = {"Attempt-Id": request_id} if request_id else {}
    if retry_after_s is not None:
        headers["Retry-After"] = f"{retry_after_s:.2f}"
    return headers


def event_id_of(data: bytes) -> int | None:
    """Return the id of an event of a stream; None where it has none."""
    for line in data.split(b"\n"):
        if line.startswith(b"id:"):
            number = _number(line[3:].decode("latin-1"))
            return None if number is None else int(number)
    return None


def _generation(headers: Mapping[str, str]) -> GenerationSize:
    # "Token-Count" holds two numbers: tokens of the prompt and most of the answer.
    prompt, _, most = headers.get("Token-Count", "").partition(",")
    limit = int(_number(most) or 0)
    return GenerationSize(
        prompt_tokens=int(_number(prompt) or 0),
        max_tokens=limit,
        expected_tokens=int(_number(headers.get("Length-Hint", "")) or limit),
    )


def _amount(headers: Mapping[str, str], name: str) -> float | None:
    """Return a decimal number of 0 or more; None where there is none."""
    text = headers.get(name)
    if text is None:
        return None
    try:
        amount = float(text)
    except ValueError:
        amount = math.nan
    if math.isfinite(amount) and amount >= 0.0:
        return amount
    logger.warning(
        "header %s cannot be read", name, extra=log_fields(text=text[:TEXT_IN_LOG])
    )
    return None


def _listed(connection: str) -> frozenset[str]:
    return frozenset(name.strip().lower() for name in connection.split(","))


def _bearer(authorization: str) -> str:
    if not authorization.lower().startswith(BEARER):
        return ""
    return authorization[len(BEARER) :].strip()


def _number(text: str) -> float | None:
    text = text.strip()
    return float(text) if text.isascii() and text.isdigit() else None
