"""Retry policy of dispatches, and the errors reported to callers."""

__all__ = [
    "caller_error",
    "combined_run_state",
    "is_retried",
    "is_sealed_by_other",
    "may_retry",
]

from wigeonscale.dispatch.failures import (
    AgentGoneError,
    EntryStoppingError,
    unknown_outcome_error,
)
from wigeonscale.dispatch.work import Work
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.routing import RetryBudget

# The agent is out of service and excluded from further attempts of this request, so
# these retries are bounded without charging the retry budget.
OUT_OF_SERVICE = frozenset(
    {
        ErrorKind.BACKEND_LEAVING,
        ErrorKind.STALE_INCARNATION,
        ErrorKind.STALE_EPOCH,
        ErrorKind.STOPPING,
        ErrorKind.LEASE_EXPIRED,
    }
)
RETRIED = OUT_OF_SERVICE | {ErrorKind.BACKEND_FAILED, ErrorKind.OVERLOADED}


def is_retried(exc: WigeonscaleError) -> bool:
    """Return whether the request may be retried on another agent."""
    return exc.kind in RETRIED and not isinstance(exc, EntryStoppingError)


def is_sealed_by_other(exc: WigeonscaleError) -> bool:
    """Return whether another caller with the same key sealed the dispatch."""
    return exc.kind is ErrorKind.CANCELLED and exc.run_state is RunState.NOT_RUN


def may_retry(work: Work, refusal: WigeonscaleError, budget: RetryBudget) -> bool:
    """Return whether work may be dispatched again after a refusal.

    Args:
        work: The work.
        refusal: Error of the last dispatch.
        budget: Charged for failures that many agents may share, such as overload; not
            for an agent that is out of service or unreachable.

    Returns:
        True only when the work provably did not run, or may be repeated.
    """
    if is_sealed_by_other(refusal):
        return True
    if not is_retried(refusal):
        return False
    if refusal.run_state is not RunState.NOT_RUN and not work.repeatable:
        return False
    unbudgeted = refusal.kind in OUT_OF_SERVICE or isinstance(refusal, AgentGoneError)
    return unbudgeted or budget.try_spend()


def combined_run_state(first: RunState, second: RunState) -> RunState:
    """Return the run state of work after two dispatches with these run states."""
    for state in (RunState.RAN, RunState.UNKNOWN):
        if state in (first, second):
            return state
    return RunState.NOT_RUN


def caller_error(exc: WigeonscaleError, *, once: bool) -> WigeonscaleError:
    """Return the error to report to the caller.

    A retryable failure of once-only work whose run state is unknown becomes
    ``OUTCOME_UNKNOWN``, so that callers do not retry it.

    Args:
        exc: Error of the last dispatch.
        once: Whether the work must run at most once.
    """
    if once and is_retried(exc) and exc.run_state is RunState.UNKNOWN:
        return unknown_outcome_error(exc.message)
    return exc
