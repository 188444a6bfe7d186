"""Results of a simulation, counted over windows of time."""

__all__ = ["WINDOW_S", "SimulationResult", "Window"]

from collections import defaultdict
from dataclasses import asdict, dataclass, field

WINDOW_S = 2.0


@dataclass(slots=True)
class Window:
    """Outcomes of the requests that arrived within one window of ``WINDOW_S``.

    Attributes:
        asked: Requests that arrived.
        in_time: Complete answers with the first token in time and no long pause.
        late: Complete answers with a late first token or a long pause.
        refused: Requests rejected before their first token; the caller may retry.
        cut: Requests that failed after their first token.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    cut: int = 0

    def add(self, other: "Window") -> None:
        """Add the counts of another window to this one."""
        self.asked += other.asked
        self.in_time += other.in_time
        self.late += other.late
        self.refused += other.refused
        self.cut += other.cut


@dataclass(slots=True)
class SimulationResult:
    """Counts of one simulation.

    Attributes:
        windows: Windows by index; window 0 starts at 0 s.
        sends: Attempts to start a run on a path of engines.
        turned_away: Attempts that an engine refused for lack of memory or slots.
        put_back: Preemptions of runs by engines that ran out of memory.
    """

    windows: dict[int, Window] = field(default_factory=lambda: defaultdict(Window))
    sends: int = 0
    turned_away: int = 0
    put_back: int = 0

    def total(self) -> Window:
        """Return the sum over all windows."""
        total = Window()
        for window in self.windows.values():
            total.add(window)
        return total

    def in_time_share(self) -> float:
        """Return the share of requests answered in time, 0 to 1."""
        total = self.total()
        return total.in_time / max(1, total.asked)

    def as_dict(self) -> dict:
        """Return the results as JSON-serialisable data."""
        return {
            "total": asdict(self.total()),
            "sends": self.sends,
            "turned_away": self.turned_away,
            "put_back": self.put_back,
            "windows": [asdict(self.windows[n]) for n in sorted(self.windows)],
        }
