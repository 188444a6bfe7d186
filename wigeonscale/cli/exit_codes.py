"""Exit codes of the command line."""

__all__ = ["ExitCode"]

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended.

    Attributes:
        DONE: It was carried out.
        REFUSED: It was refused, or no replica could be reached; nothing was done.
        BAD_INPUT: The command line, a file or a document is wrong.
        UNKNOWN: It was sent, but every answer was lost; it may have been done.
    """

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    UNKNOWN = 3
