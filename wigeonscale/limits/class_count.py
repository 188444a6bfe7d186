"""Demand of one traffic class at the entries of one failure domain."""

__all__ = ["CLASS_WINDOW_S", "ClassCount"]

from dataclasses import dataclass

# Length of the window of the counts, in seconds. Entries report twice a second, and a
# class of a few requests per second still has several in the window.
CLASS_WINDOW_S = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassCount:
    """Demand and outcomes of one priority of a service.

    Attributes:
        service: Name of the service.
        priority: Priority of the class; 0 is the highest.
        domain: Failure domain of the entries.
        arrived: Generations that arrived in the window.
        admitted: Generations sent to engines for the first time in the window.
        rejected: Generations rejected for lack of capacity in the window.
        waiting: Generations that wait for capacity now.
        released: Generations that ended in the window and released their capacity.
        returning: Rejected callers whose Retry-After has not passed yet.
    """

    service: str
    priority: int
    domain: str
    arrived: int = 0
    admitted: int = 0
    rejected: int = 0
    waiting: int = 0
    released: int = 0
    returning: int = 0
