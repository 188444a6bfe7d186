"""Errors of dispatches."""

__all__ = [
    "AgentGoneError",
    "EntryStoppingError",
    "refusal_error",
    "unknown_outcome_error",
]

from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError, error_from_kind
from wigeonscale.wire import wire_pb2 as wire


class AgentGoneError(WigeonscaleError):
    """The agent cannot be reached on any connection.

    Args:
        message: Error message; names the agent.
        run_state: ``NOT_RUN`` only when the work was never sent.
    """

    def __init__(self, message: str, *, run_state: RunState):
        super().__init__(ErrorKind.BACKEND_FAILED, message, run_state=run_state)


class EntryStoppingError(WigeonscaleError):
    """This entry shuts down before the answer is complete; the work continues.

    Args:
        request_id: Id under which another entry serves the rest of the answer.
    """

    def __init__(self, request_id: str):
        super().__init__(
            ErrorKind.STOPPING,
            f"this entry is shutting down; GET /v1/requests/{request_id}?from=N at"
            " another entry returns the answer from token N on",
            run_state=RunState.UNKNOWN,
            retry_after=1.0,
        )


def unknown_outcome_error(message: str) -> WigeonscaleError:
    """Return the error for once-only work that may have run."""
    return WigeonscaleError(
        ErrorKind.OUTCOME_UNKNOWN, message, run_state=RunState.UNKNOWN
    )


def refusal_error(refused: wire.Refused) -> WigeonscaleError:
    """Return the error that corresponds to an agent's refusal."""
    after_ms = refused.retry_after_ms
    return error_from_kind(
        refused.kind,
        refused.message,
        run_state=refused.run_state,
        retry_after=after_ms / 1000 if after_ms else None,
    )
