"""The port to a process that is asked whether it is there."""

__all__ = ["EngineProbeResult", "Probe", "ProbeResult", "ReachabilityCheck"]

import enum
from collections.abc import Awaitable, Callable
from dataclasses import dataclass


class ProbeResult(enum.Enum):
    """What came of asking a process."""

    ANSWERED = "answered"
    REFUSED = "refused"  # its VM is up, and nothing listens at its address
    REPLACED = "replaced"  # a later start listens there
    NO_ANSWER = "nothing"


@dataclass(frozen=True, slots=True)
class EngineProbeResult:
    """What came of asking an engine.

    Attributes:
        answer: Whether it is there.
        pace: Factor on its usual times; over 1 it is slow.
    """

    result: ProbeResult
    pace: float = 1.0


Probe = Callable[[str], Awaitable[ProbeResult]]
# Whether anything answers at an address within a time in seconds.
ReachabilityCheck = Callable[[str, float], Awaitable[ProbeResult]]
