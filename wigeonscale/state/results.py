"""Constructors for :class:`CommandResult`."""

__all__ = ["done", "refused"]

from wigeonscale.errors import ErrorKind
from wigeonscale.wire import wire_pb2 as wire


def done(*, claim: wire.ClaimRecord | None = None, granted: bool = False):
    """Return the result of a command that was applied.

    Args:
        claim: Record after the command, for commands on claims.
        granted: Whether the claim of the command was granted.

    Returns:
        A result without an error kind.
    """
    return wire.CommandResult(claim=claim, granted=granted)


def refused(kind: ErrorKind, message: str) -> wire.CommandResult:
    """Return the result of a command that changed nothing.

    Args:
        kind: Why it was refused.
        message: Human-readable reason with the offending value.

    Returns:
        A result with an error kind.
    """
    return wire.CommandResult(kind=kind.value, message=message)
