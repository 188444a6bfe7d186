"""Short ways to a :class:`CommandResult`."""

__all__ = ["done", "refused"]

from wigeonscale.errors import ErrorKind
from wigeonscale.wire import wire_pb2 as wire


def done(*, claim: wire.ClaimRecord | None = None, granted: bool = False):
    """Return the result of a command that was carried out.

    Args:
        claim: Record now standing, for commands on claims.
        granted: Whether the command's own claim holds.

    Returns:
        A result without an error kind.
    """
    return wire.CommandResult(claim=claim, granted=granted)


def refused(kind: ErrorKind, message: str) -> wire.CommandResult:
    """Return the result of a command that changed nothing.

    Args:
        kind: Why it was refused.
        message: Text for people, naming the offending value.

    Returns:
        A result with an error kind.
    """
    return wire.CommandResult(kind=kind.value, message=message)
