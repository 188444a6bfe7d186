"""Errors with which dispatches are refused or ended."""

__all__ = ["answer_unavailable", "deadline_exceeded", "stale_incarnation"]

from wigeonscale.agent.answers import Dispatch
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError


def answer_unavailable(
    dispatch_id: str, known_state: RunState | None
) -> WigeonscaleError:
    """Return the error for a dispatch whose answer this agent does not have.

    Args:
        dispatch_id: Id of the dispatch.
        known_state: Its recorded run state; None if the id is unknown.
    """
    if known_state is RunState.NOT_RUN:
        return WigeonscaleError(
            ErrorKind.CANCELLED, f"dispatch {dispatch_id} was sealed"
        )
    if known_state is not None:
        return WigeonscaleError(
            ErrorKind.ANSWER_EXPIRED,
            f"the answer of dispatch {dispatch_id} is no longer kept",
            run_state=RunState.RAN,
        )
    return WigeonscaleError(
        ErrorKind.NOT_FOUND,
        f"dispatch {dispatch_id} is unknown to this agent",
        run_state=RunState.UNKNOWN,
    )


def stale_incarnation(agent_id: str, incarnation: int) -> WigeonscaleError:
    """Return the error for work addressed to another incarnation of the agent."""
    return WigeonscaleError(
        ErrorKind.STALE_INCARNATION,
        f"incarnation {incarnation} of {agent_id} is not running",
        run_state=RunState.UNKNOWN,
    )


def deadline_exceeded(dispatch: Dispatch) -> WigeonscaleError:
    """Return the error for a dispatch whose deadline has passed."""
    return WigeonscaleError(
        ErrorKind.DEADLINE_EXCEEDED,
        f"the deadline of {dispatch.open.deadline_ms} ms has passed",
        run_state=dispatch.run_state,
    )
