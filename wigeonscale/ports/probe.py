"""Port for checking whether another process is alive."""

__all__ = ["EngineProbeResult", "Probe", "ProbeResult", "ReachabilityCheck"]

import enum
from collections.abc import Awaitable, Callable
from dataclasses import dataclass


class ProbeResult(enum.Enum):
    """Result of probing a process."""

    ANSWERED = "answered"
    REFUSED = "refused"  # the VM is up, but nothing listens at the address
    REPLACED = "replaced"  # a later incarnation listens at the address
    NO_ANSWER = "nothing"


@dataclass(frozen=True, slots=True)
class EngineProbeResult:
    """Result of probing an engine.

    Attributes:
        result: Whether it responds.
        pace: Its current step times relative to the usual ones; above 1 it is slow.
    """

    result: ProbeResult
    pace: float = 1.0


Probe = Callable[[str], Awaitable[ProbeResult]]
# Checks whether anything responds at an address within a timeout in seconds.
ReachabilityCheck = Callable[[str, float], Awaitable[ProbeResult]]
