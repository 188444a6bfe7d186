"""Parsing and validation of callers' requests."""

__all__ = [
    "ChatBody",
    "CompletionBody",
    "RequestOptions",
    "check_path",
    "idempotency_key",
    "parse_body",
    "read_body",
    "read_options",
    "request_digest",
    "token_index",
]

import hashlib
import re
import urllib.parse
from dataclasses import dataclass
from typing import Annotated, Literal, TypeVar

import pydantic
from aiohttp import web

from wigeonscale.errors import ErrorKind, WigeonscaleError

MAX_TOKENS = 16_384
DEFAULT_MAX_TOKENS = 256
MAX_MESSAGES = 1000
MAX_DEADLINE_S = 86_400.0
MAX_PRIORITY = 100
MAX_KEY_LENGTH = 200
# Bounds what one request can add to the records of crashes.
MAX_SHARED_PARTS = 32

DEADLINE_HEADER = "Wigeonscale-Deadline"
PRIORITY_HEADER = "Wigeonscale-Priority"
KEY_HEADER = "Idempotency-Key"

_KEY = re.compile(rf"[\x21-\x7e]{{1,{MAX_KEY_LENGTH}}}")

BodyT = TypeVar("BodyT", bound=pydantic.BaseModel)
ModelName = Annotated[str, pydantic.Field(min_length=1, max_length=200)]
TokenLimit = Annotated[int, pydantic.Field(ge=1, le=MAX_TOKENS, strict=True)]


class CompletionBody(pydantic.BaseModel):
    """Body of ``POST /v1/completions``; other fields are not validated."""

    model: ModelName
    prompt: str
    max_tokens: TokenLimit = DEFAULT_MAX_TOKENS
    stream: bool = False

    def prompt_text(self) -> str:
        """Return the prompt for the first stage."""
        return self.prompt

    def shared_parts(self) -> tuple[str, ...]:
        """Return the parts of the prompt that other requests may share."""
        return ()


class ChatMessage(pydantic.BaseModel):
    """One message of a chat."""

    role: Literal["system", "developer", "user", "assistant"]
    content: str


class ChatBody(pydantic.BaseModel):
    """Body of ``POST /v1/chat/completions``."""

    model: ModelName
    messages: Annotated[
        list[ChatMessage], pydantic.Field(min_length=1, max_length=MAX_MESSAGES)
    ]
    max_tokens: TokenLimit = DEFAULT_MAX_TOKENS
    stream: bool = False

    def prompt_text(self) -> str:
        """Return the prompt for the first stage, with one line per message."""
        return "\n".join(_message_line(message) for message in self.messages)

    def shared_parts(self) -> tuple[str, ...]:
        """Return the parts of the prompt that other requests may share.

        These are the messages without the last one, such as system prompts and
        documents; at most ``MAX_SHARED_PARTS``, and none twice.
        """
        shared = dict.fromkeys(_message_line(each) for each in self.messages[:-1])
        return tuple(shared)[:MAX_SHARED_PARTS]


@dataclass(frozen=True, slots=True)
class RequestOptions:
    """Options that callers set in headers.

    Attributes:
        deadline_s: Time until the answer is due, in seconds; None if not given.
        priority: Priority; higher values are served first.
        key: Idempotency key; empty if not given.
    """

    deadline_s: float | None
    priority: int
    key: str


def read_options(req: web.Request) -> RequestOptions:
    """Return the options in a request's headers.

    Args:
        req: The request.

    Raises:
        WigeonscaleError: ``BAD_REQUEST`` with the header and its value.
    """
    return RequestOptions(
        deadline_s=_deadline(req.headers.get(DEADLINE_HEADER)),
        priority=_priority(req.headers.get(PRIORITY_HEADER)),
        key=idempotency_key(req.headers.get(KEY_HEADER)),
    )


def idempotency_key(value: str | None) -> str:
    """Return the validated idempotency key; empty if there is none.

    Raises:
        WigeonscaleError: ``BAD_REQUEST``.
    """
    if value is None:
        return ""
    if not _KEY.fullmatch(value):
        raise _bad_request(
            KEY_HEADER, value, f"1 to {MAX_KEY_LENGTH} visible characters"
        )
    return value


def token_index(name: str, value: str) -> int:
    """Parse a token index given by a caller.

    Args:
        name: Name of the header or parameter, for the error message.
        value: Text of the index.

    Raises:
        WigeonscaleError: ``BAD_REQUEST``.
    """
    # str.isdigit alone also accepts digits of other scripts.
    if not (value.isascii() and value.isdigit() and len(value) <= 6):
        raise _bad_request(name, value, "a token index, 0 or more")
    return int(value)


async def read_body(req: web.Request) -> bytes:
    """Return a request's body.

    Raises:
        WigeonscaleError: ``BODY_TOO_LARGE``, or ``BAD_REQUEST`` if reading failed.
    """
    try:
        return await req.read()
    except web.HTTPRequestEntityTooLarge as exc:
        raise WigeonscaleError(
            ErrorKind.BODY_TOO_LARGE, f"the body is too large: {exc.text}"
        ) from exc
    except (web.HTTPException, web.RequestPayloadError) as exc:
        raise WigeonscaleError(
            ErrorKind.BAD_REQUEST, "the body cannot be read"
        ) from exc


def parse_body(req: web.Request, raw: bytes, body_type: type[BodyT]) -> BodyT:
    """Parse a JSON body into a pydantic model.

    Args:
        req: The request; its content type must be JSON.
        raw: The body.
        body_type: Type of the model.

    Raises:
        WigeonscaleError: ``UNSUPPORTED_MEDIA_TYPE``, or ``BAD_REQUEST`` with the
            invalid fields.
    """
    if req.content_type != "application/json":
        raise WigeonscaleError(
            ErrorKind.UNSUPPORTED_MEDIA_TYPE,
            f"unsupported content type {req.content_type!r}; expected application/json",
        )
    try:
        return body_type.model_validate_json(raw)
    except pydantic.ValidationError as exc:
        raise WigeonscaleError(ErrorKind.BAD_REQUEST, _validation_summary(exc)) from exc


def check_path(req: web.Request) -> None:
    """Refuse a path that a service could resolve differently from the rules.

    Args:
        req: The request.

    Raises:
        WigeonscaleError: ``BAD_REQUEST`` for segments ``.`` and ``..``.
    """
    path = urllib.parse.unquote(req.raw_path.partition("?")[0]).replace("\\", "/")
    if not {".", ".."}.isdisjoint(path.split("/")):
        raise _bad_request("path", req.raw_path, "a path without . and .. segments")


def request_digest(method: str, path: str, body: bytes) -> bytes:
    """Return the digest that detects reuse of an idempotency key for other requests."""
    return hashlib.sha256(f"{method}\n{path}\n".encode() + body).digest()


def _message_line(message: ChatMessage) -> str:
    if message.role == "user":
        return message.content
    return f"{message.role}: {message.content}"


def _deadline(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        seconds = 0.0
    if not 0.0 < seconds <= MAX_DEADLINE_S:
        raise _bad_request(
            DEADLINE_HEADER, value, f"seconds, above 0 to {MAX_DEADLINE_S:g}"
        )
    return seconds


def _priority(value: str | None) -> int:
    if value is None:
        return 0
    try:
        priority = int(value)
    except ValueError:
        priority = MAX_PRIORITY + 1
    if not -MAX_PRIORITY <= priority <= MAX_PRIORITY:
        allowed = f"an integer from -{MAX_PRIORITY} to {MAX_PRIORITY}"
        raise _bad_request(PRIORITY_HEADER, value, allowed)
    return priority


def _bad_request(name: str, value: str, allowed: str) -> WigeonscaleError:
    return WigeonscaleError(
        ErrorKind.BAD_REQUEST,
        f"{name}: invalid value {value[:80]!r}; expected {allowed}",
    )


def _validation_summary(exc: pydantic.ValidationError) -> str:
    found = exc.errors(include_url=False, include_context=False, include_input=False)
    texts = (
        f"{'.'.join(map(str, problem['loc'])) or 'body'}: {problem['msg']}"
        for problem in found[:5]
    )
    return "; ".join(texts)
