"""HTTP headers of the platform.

Reads the headers of callers' requests and of backend servers' responses, and builds the
headers of requests to backend servers and of the router's own responses.
"""

__all__ = [
    "EXPECTED_BACKEND_HEADER",
    "REQUEST_ID_HEADER",
    "RequestHeaders",
    "backend_headers",
    "format_path",
    "is_not_run",
    "is_other_incarnation",
    "is_unstamped_success",
    "is_valid_value",
    "matches_request",
    "parse_event_id",
    "read_failed_address",
    "read_notice",
    "read_request_headers",
    "read_response_head",
    "response_headers",
]

import logging
import math
import re
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

REQUEST_ID_HEADER = "Attempt-Id"
# Another backend server responds with 421 and does nothing.
EXPECTED_BACKEND_HEADER = "Expect-Instance"
MS_PER_S = 1000.0
BEARER_PREFIX = "bearer "
LOWEST_PRIORITY = 9
MISDIRECTED = 421
OVERLOADED = 503
MAX_LOGGED_CHARS = 40
# Longer numbers exceed any count, id or time.
MAX_DIGITS = 18

# Headers for a single connection (RFC 9110, section 7.6.1); the last two are written
# anew for each connection.
_HOP_BY_HOP_HEADERS = frozenset(
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
# Only the router sets these; values sent by a caller are dropped.
_ROUTER_HEADERS = frozenset(
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
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_DROPPED_RESPONSE_HEADERS = frozenset({"date", "server"}) | _HOP_BY_HOP_HEADERS

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestHeaders:
    """Parsed headers of a caller's request.

    Attributes:
        request_id: The caller's id of this attempt; empty if missing.
        host: Value of the Host header.
        key: API key of the organisation; empty for none.
        deadline_s: Time that the caller waits, in seconds; None if not given.
        generation: Token counts, if the request is a generation.
        last_event_id: Last event that the caller received; None for none.
        prompt_parts: Ids of the parts of the prompt, in order.
        forwarded: Headers to forward unchanged.
    """

    request_id: str
    host: str
    key: str
    deadline_s: float | None
    generation: GenerationSize
    last_event_id: int | None
    prompt_parts: tuple[str, ...]
    forwarded: tuple[tuple[str, str], ...]


def read_request_headers(headers: Mapping[str, str]) -> RequestHeaders:
    """Parse the headers of a caller's request.

    Args:
        headers: Case-insensitive multi-mapping.

    Returns:
        The parsed headers; a header that cannot be parsed counts as missing.
    """
    skipped = (
        _HOP_BY_HOP_HEADERS
        | _ROUTER_HEADERS
        | _connection_options(headers.get("Connection", ""))
    )
    deadline_ms = _parse_digits(headers.get("Request-Deadline", ""))
    return RequestHeaders(
        request_id=headers.get(REQUEST_ID_HEADER, ""),
        host=headers.get("Host", ""),
        key=_bearer_token(headers.get("Authorization", "")),
        deadline_s=None if deadline_ms is None else deadline_ms / MS_PER_S,
        generation=_read_generation_size(headers),
        last_event_id=_parse_digits(headers.get("Last-Event-Id", "")),
        prompt_parts=_read_prompt_parts(headers.get("Prompt-Prefix", "")),
        forwarded=tuple(
            (name, value)
            for name, value in headers.items()
            if name.lower() not in skipped
        ),
    )


def backend_headers(call: BackendCall) -> list[tuple[str, str]]:
    """Return the headers of one request to a backend server."""
    headers = list(call.req.headers)
    headers.append((EXPECTED_BACKEND_HEADER, call.backend_id))
    headers.append(("Request-Deadline", str(max(1, int(call.left_s * MS_PER_S)))))
    if call.organisation:
        headers.append(("Tenant", call.organisation))
    if call.priority is not None:
        rank = min(max(call.priority, 0), LOWEST_PRIORITY)
        headers.append(("Request-Priority", str(rank)))
    if call.after_event is not None:
        headers.append(("Last-Event-Id", str(call.after_event)))
    if call.path:
        # Despite its name, the header lists the engines of the path and their layers.
        headers.append(("Hop-Count", format_path(call.path, call.addresses)))
    return headers


def format_path(path: Sequence[Part], addresses: Sequence[str]) -> str:
    """Return a path in the format of the engines: ``ip:port=first-end,...``.

    Args:
        path: Parts in order of layers.
        addresses: Address of each engine on the path.
    """
    parts = zip(addresses, path, strict=True)
    return ",".join(f"{at}={part.layers.first}-{part.layers.end}" for at, part in parts)


def read_response_head(
    status: int,
    raw: Sequence[tuple[bytes, bytes]],
    notice: ServerNotice,
) -> ResponseHead:
    """Return the head of a backend server's response to forward to the caller.

    Args:
        status: HTTP status.
        raw: Headers as received.
        notice: Status of the backend server, read from the headers.
    """
    pairs = [(name.decode("latin-1"), _decode(value)) for name, value in raw]
    kept = [pair for pair in pairs if pair[0].lower() not in _DROPPED_RESPONSE_HEADERS]
    return ResponseHead(status, tuple(kept), notice)


def read_notice(status: int, headers: Mapping[str, str]) -> ServerNotice:
    """Return what a response reports about its backend server.

    Args:
        status: HTTP status.
        headers: Case-insensitive mapping. The response must come from the expected
            incarnation (see :func:`is_other_incarnation`).
    """
    retry_after_s = (
        _parse_amount(headers, "Retry-After") if status == OVERLOADED else None
    )
    return ServerNotice(
        limit_per_s=_parse_amount(headers, "Server-Limit"),
        is_leaving=headers.get("Server-Leaving", "").strip() == "1",
        retry_after_s=retry_after_s or 0.0,
    )


def matches_request(
    headers: Mapping[str, str], request_id: str, *, is_reused: bool = False
) -> bool:
    """Return whether a response belongs to a request.

    Args:
        headers: Headers of the response.
        request_id: Id of the request.
        is_reused: Whether the connection has carried other requests. A response
            without an id may then be a second one to an earlier request; the first
            response on a connection is taken to belong to its request.
    """
    missing_id = "" if is_reused else request_id
    return headers.get(REQUEST_ID_HEADER, missing_id) == request_id


def read_request_id(headers: Mapping[str, str]) -> str:
    """Return the id of the request that a response names; empty for none."""
    return headers.get(REQUEST_ID_HEADER, "")


def is_not_run(status: int, headers: Mapping[str, str]) -> bool:
    """Return whether a response states that the work did not run and never will."""
    return status == MISDIRECTED or "Not-Run" in headers


def is_unstamped_success(status: int, headers: Mapping[str, str]) -> bool:
    """Return whether a success lacks the stamp that proves that a server ran the work.

    Args:
        status: HTTP status.
        headers: Case-insensitive mapping.
    """
    return 200 <= status < 300 and not headers.get("Response-Stamp")


def is_valid_value(value: str) -> bool:
    """Return whether a header value can be sent (RFC 9110, section 5.5)."""
    return _CONTROL_CHARACTER.search(value) is None


def is_other_incarnation(status: int, headers: Mapping[str, str]) -> bool:
    """Return whether an incarnation other than the expected one responded."""
    return status == MISDIRECTED and "At-Server" not in headers


def read_failed_address(headers: Mapping[str, str]) -> str:
    """Return the address of the engine that a rejection names; empty for none."""
    return headers.get("At-Server", "")


def response_headers(request_id: str, retry_after_s: float | None) -> dict[str, str]:
    """Return the headers of a response that the router itself generates.

    Args:
        request_id: The caller's id of the attempt; empty for none.
        retry_after_s: Value of ``Retry-After``, in seconds; None to omit it.
    """
    headers = {REQUEST_ID_HEADER: request_id} if request_id else {}
    if retry_after_s is not None:
        headers["Retry-After"] = f"{retry_after_s:.2f}"
    return headers


def parse_event_id(data: bytes) -> int | None:
    """Return the id of a server-sent event; None if it has none."""
    for line in data.splitlines():
        if line.startswith(b"id:"):
            return _parse_digits(line[3:].decode("latin-1"))
    return None


def _read_generation_size(headers: Mapping[str, str]) -> GenerationSize:
    # "Token-Count" holds two numbers: prompt tokens and maximum response tokens.
    prompt, _, most = headers.get("Token-Count", "").partition(",")
    limit = _parse_digits(most) or 0
    return GenerationSize(
        prompt_tokens=_parse_digits(prompt) or 0,
        max_tokens=limit,
        expected_tokens=_parse_digits(headers.get("Length-Hint", "")) or limit,
    )


def _read_prompt_parts(text: str) -> tuple[str, ...]:
    """Return the ids of ``id:tokens`` entries; entries without an id are skipped."""
    ids = (entry.partition(":")[0].strip().lower() for entry in text.split(","))
    return tuple(part_id for part_id in ids if part_id)


def _parse_amount(headers: Mapping[str, str], name: str) -> float | None:
    """Return a header as a non-negative number; None if it is missing or invalid."""
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
        "cannot parse header %s", name, extra=log_fields(text=text[:MAX_LOGGED_CHARS])
    )
    return None


def _decode(value: bytes) -> str:
    """Return a header value as text; headers are sent in UTF-8."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")


def _connection_options(connection: str) -> frozenset[str]:
    return frozenset(name.strip().lower() for name in connection.split(","))


def _bearer_token(authorization: str) -> str:
    if not authorization.lower().startswith(BEARER_PREFIX):
        return ""
    return authorization[len(BEARER_PREFIX) :].strip()


def _parse_digits(text: str) -> int | None:
    text = text.strip()
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_number else None
