"""The port that asks another process whether it is there."""

__all__ = ["Probe", "ProbeAnswer"]

import enum
from collections.abc import Awaitable, Callable


class ProbeAnswer(enum.Enum):
    """What came of asking a process."""

    ANSWERED = "answered"
    REFUSED = "refused"  # its VM is up, and nothing listens at its address
    REPLACED = "replaced"  # a later start listens there
    NOTHING = "nothing"


Probe = Callable[[str], Awaitable[ProbeAnswer]]
