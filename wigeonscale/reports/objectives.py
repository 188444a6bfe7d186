"""The service-level objectives and the burn of their error budgets."""

__all__ = ["DEFAULT_OBJECTIVES", "FIRST_TOKEN", "GAP", "SUCCESS", "Objective"]

from dataclasses import dataclass

SUCCESS = "success"
FIRST_TOKEN = "first_token"
GAP = "gap"


@dataclass(frozen=True, slots=True)
class Objective:
    """A promise about a share of events.

    Attributes:
        name: One of ``success``, ``first_token`` and ``gap``.
        target: Share of events that must be good, below 1.
        threshold_s: Longest time that is good, in seconds; 0 where none applies.
    """

    name: str
    target: float
    threshold_s: float = 0.0

    def burn(self, events: int, bad: int) -> float:
        """Return the share of the error budget that was used; 1 is all of it.

        Args:
            events: All events of a window.
            bad: Bad events among them.

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
