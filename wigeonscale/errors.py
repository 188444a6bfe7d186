"""Error kinds, exception classes and the HTTP response for each error kind.

Every failure reported to a caller, an operator or a peer has one
:class:`ErrorKind`. :data:`ERROR_RESPONSES` maps each kind to its HTTP response.
"""

__all__ = [
    "ERROR_RESPONSES",
    "ErrorKind",
    "ErrorResponse",
    "RunState",
    "SettingsError",
    "WigeonscaleError",
    "error_from_kind",
]

from dataclasses import dataclass
from enum import StrEnum


class ErrorKind(StrEnum):
    """Why a request, command or order was not carried out."""

    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    UNSUPPORTED_MEDIA_TYPE = "unsupported-media-type"
    UNKNOWN_KEY = "unknown-key"
    FORBIDDEN = "forbidden"
    NO_MATCHING_RULE = "no-matching-rule"
    REFUSED_BY_RULE = "refused-by-rule"
    UNKNOWN_MODEL = "unknown-model"
    NOT_FOUND = "not-found"
    IDEMPOTENCY_KEY_REQUIRED = "idempotency-key-required"
    IDEMPOTENCY_KEY_REUSED = "idempotency-key-reused"
    IN_PROGRESS = "in-progress"
    OUTCOME_UNKNOWN = "outcome-unknown"
    ANSWER_EXPIRED = "answer-expired"
    LIMIT_EXCEEDED = "limit-exceeded"
    OVERLOADED = "overloaded"
    REQUEST_TIMEOUT = "request-timeout"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    CANCELLED = "cancelled"
    NO_BACKEND = "no-backend"
    BACKEND_FAILED = "backend-failed"
    BACKEND_LEAVING = "backend-leaving"
    CRASHES_BACKENDS = "crashes-backends"
    STALE_INCARNATION = "stale-incarnation"
    STALE_EPOCH = "stale-epoch"
    STALE_TERM = "stale-term"
    LEASE_EXPIRED = "lease-expired"
    STOPPING = "stopping"
    NOT_LEADER = "not-leader"
    NO_QUORUM = "no-quorum"
    REVISION_CONFLICT = "revision-conflict"
    INVALID_DOCUMENT = "invalid-document"
    INVALID_SETTINGS = "invalid-settings"
    CORRUPT_LOG = "corrupt-log"
    INTERNAL = "internal"


class RunState(StrEnum):
    """Whether a backend server started the work of a request."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """HTTP response for an error kind.

    Attributes:
        status: HTTP status code.
        retryable: Whether the same request may succeed later; the response then has a
            ``Retry-After`` header.
    """

    status: int
    retryable: bool


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, False),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, False),
    ErrorKind.UNSUPPORTED_MEDIA_TYPE: ErrorResponse(415, False),
    ErrorKind.UNKNOWN_KEY: ErrorResponse(401, False),
    ErrorKind.FORBIDDEN: ErrorResponse(403, False),
    ErrorKind.NO_MATCHING_RULE: ErrorResponse(404, False),
    ErrorKind.REFUSED_BY_RULE: ErrorResponse(403, False),
    ErrorKind.UNKNOWN_MODEL: ErrorResponse(404, False),
    ErrorKind.NOT_FOUND: ErrorResponse(404, False),
    ErrorKind.IDEMPOTENCY_KEY_REQUIRED: ErrorResponse(400, False),
    ErrorKind.IDEMPOTENCY_KEY_REUSED: ErrorResponse(422, False),
    ErrorKind.IN_PROGRESS: ErrorResponse(409, True),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(409, False),
    ErrorKind.ANSWER_EXPIRED: ErrorResponse(410, False),
    ErrorKind.LIMIT_EXCEEDED: ErrorResponse(429, True),
    ErrorKind.OVERLOADED: ErrorResponse(503, True),
    ErrorKind.REQUEST_TIMEOUT: ErrorResponse(408, True),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, True),
    ErrorKind.CANCELLED: ErrorResponse(499, False),
    ErrorKind.NO_BACKEND: ErrorResponse(503, True),
    ErrorKind.BACKEND_FAILED: ErrorResponse(502, True),
    ErrorKind.BACKEND_LEAVING: ErrorResponse(503, True),
    ErrorKind.CRASHES_BACKENDS: ErrorResponse(503, True),
    ErrorKind.STALE_INCARNATION: ErrorResponse(503, True),
    ErrorKind.STALE_EPOCH: ErrorResponse(503, True),
    ErrorKind.STALE_TERM: ErrorResponse(409, False),
    ErrorKind.LEASE_EXPIRED: ErrorResponse(503, True),
    ErrorKind.STOPPING: ErrorResponse(503, True),
    ErrorKind.NOT_LEADER: ErrorResponse(421, True),
    ErrorKind.NO_QUORUM: ErrorResponse(503, True),
    ErrorKind.REVISION_CONFLICT: ErrorResponse(409, False),
    ErrorKind.INVALID_DOCUMENT: ErrorResponse(422, False),
    ErrorKind.INVALID_SETTINGS: ErrorResponse(422, False),
    ErrorKind.CORRUPT_LOG: ErrorResponse(500, False),
    ErrorKind.INTERNAL: ErrorResponse(500, False),
}


class WigeonscaleError(Exception):
    """Base class of all errors that this package raises deliberately.

    Args:
        kind: Error kind.
        message: Description of the failure, including the invalid value.
        run_state: Whether the work of the request was started.
        retry_after: Time after which to retry, in seconds; None for no advice.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        run_state: RunState = RunState.NOT_RUN,
        retry_after: float | None = None,
    ):
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.run_state = run_state
        self.retry_after = retry_after


class SettingsError(WigeonscaleError):
    """A settings file or document is invalid.

    Args:
        message: Names the file, section, key, value and the allowed values.
        kind: ``INVALID_SETTINGS`` or ``INVALID_DOCUMENT``.
    """

    def __init__(self, message: str, *, kind: ErrorKind = ErrorKind.INVALID_SETTINGS):
        super().__init__(kind, message)


def error_from_kind(
    kind: str,
    message: str,
    *,
    run_state: str = RunState.UNKNOWN,
    retry_after: float | None = None,
) -> WigeonscaleError:
    """Return the error for a kind received from a peer.

    Args:
        kind: Wire form of an :class:`ErrorKind`; an unknown one gives ``INTERNAL``.
        message: Human-readable description.
        run_state: Wire form of a :class:`RunState`; an unknown one gives ``UNKNOWN``.
        retry_after: Time after which to retry, in seconds; None for no advice.

    Returns:
        The error; it is not raised.
    """
    known_kind = ErrorKind(kind) if kind in set(ErrorKind) else ErrorKind.INTERNAL
    known_state = RunState(run_state) if run_state in set(RunState) else None
    return WigeonscaleError(
        known_kind,
        message,
        run_state=known_state or RunState.UNKNOWN,
        retry_after=retry_after,
    )
