"""Service-level objectives and the use of their error budgets."""

__all__ = ["DEFAULT_OBJECTIVES", "FIRST_TOKEN", "GAP", "SUCCESS", "Objective"]

from dataclasses import dataclass

SUCCESS = "success"
FIRST_TOKEN = "first_token"
GAP = "gap"


@dataclass(frozen=True, slots=True)
class Objective:
    """A service-level objective: the share of events that must be good.

    Attributes:
        name: One of ``success``, ``first_token`` and ``gap``.
        target: Share of events that must be good, below 1.
        threshold_s: Longest time that counts as good, in seconds; 0 if not a time.
    """

    name: str
    target: float
    threshold_s: float = 0.0

    def burn(self, events: int, bad: int) -> float:
        """Return the share of the error budget that was used; 1 is all of it.

        Args:
            events: Number of all events in a window.
            bad: Number of bad events in it.

        Example:
            >>> Objective("success", 0.75).burn(8, 1)
            0.5
        """
        return bad / (events * (1 - self.target)) if events else 0.0


DEFAULT_OBJECTIVES = (
    Objective(SUCCESS, 0.999),
    Objective(FIRST_TOKEN, 0.95, 1.1),
    Objective(GAP, 0.95, 0.042),
)
