"""Exit codes of ``wigeonctl``."""

__all__ = ["ExitCode"]

from enum import IntEnum


class ExitCode(IntEnum):
    """Outcome of a command.

    Attributes:
        DONE: The command succeeded.
        REFUSED: The command was refused, or no replica could be reached; nothing was
            changed.
        BAD_INPUT: The command line, a file or a document is invalid.
        UNKNOWN: The request was sent, but every response was lost; it may have taken
            effect.
    """

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNKNOWN = 3
