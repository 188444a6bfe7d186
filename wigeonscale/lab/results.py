"""What a play shows."""

__all__ = ["WINDOW_S", "SimulationResult", "Window"]

from collections import defaultdict
from dataclasses import asdict, dataclass, field

WINDOW_S = 2.0


@dataclass(slots=True)
class Window:
    """What became of the requests that came in two seconds.

    Attributes:
        asked: Requests that came.
        in_time: Answered whole, the first token in time and without a long pause.
        late: Answered whole, but late.
        refused: Told to come back; nothing of them ran.
        cut: Ended midway.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    cut: int = 0

    def add(self, other: "Window") -> None:
        """Count the requests of another window in."""
        self.asked += other.asked
        self.in_time += other.in_time
        self.late += other.late
        self.refused += other.refused
        self.cut += other.cut


@dataclass(slots=True)
class SimulationResult:
    """What a play shows.

    Attributes:
        windows: By their number, the first from 0 s on.
        sends: Sends to engines.
        turned_away: Sends that an engine refused for lack of room.
        put_back: Runs that an engine took the memory from.
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
        """Return the share of the requests that were answered in time."""
        total = self.total()
        return total.in_time / max(1, total.asked)

    def as_dict(self) -> dict:
        """Return the figures as plain data."""
        return {
            "total": asdict(self.total()),
            "sends": self.sends,
            "turned_away": self.turned_away,
            "put_back": self.put_back,
            "windows": [asdict(self.windows[n]) for n in sorted(self.windows)],
        }
