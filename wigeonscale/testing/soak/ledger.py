"""What callers, operators and backend servers saw, and the promises it must keep."""

__all__ = ["Ledger"]

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from wigeonscale.testing.soak.notices import NoticeBook

# Once a request has crashed three servers every entry refuses it within three seconds.
# By the users' rule three more crashes are borne.
CRASHES_KNOWN = 3
KNOWN_AFTER_S = 3.0
CRASHES_BORNE = 3
NOT_RUN = frozenset({408, 421, 429, 503})


@dataclass(slots=True)
class Ledger:
    """Everything seen so far.

    Attributes:
        runs: Runs of each request id at backend servers.
        once: Ids of requests that must not run twice.
        not_run: Ids that were answered as not run.
        acknowledged: Highest acknowledged number of a configuration.
        answers: Answers by status, or by what came instead.
        crashed_at: Instants at which backend servers crashed, by body of the request.
        broken: Promises broken so far, in words.
        notices: What backend servers said, and whether it was heeded.
    """

    runs: Counter = field(default_factory=Counter)
    once: set[str] = field(default_factory=set)
    not_run: set[str] = field(default_factory=set)
    acknowledged: int = 0
    answers: Counter = field(default_factory=Counter)
    crashed_at: dict[bytes, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    broken: list[str] = field(default_factory=list)
    notices: NoticeBook = field(default_factory=NoticeBook)

    def ran(self, request_id: str) -> None:
        """Note that a backend server begins to work on a request."""
        self.runs[request_id] += 1
        if request_id not in self.once:
            return
        if self.runs[request_id] > 1:
            self.broken.append(f"{request_id} ran twice")
        if request_id in self.not_run:
            self.broken.append(f"{request_id} ran after it was said not to")

    def crashed(self, body: bytes, at: float) -> None:
        """Note that a backend server crashes as it begins to run a request."""
        self.crashed_at[body].append(at)

    def check_crashes(self) -> None:
        """Judge the crashes under each request, once no more can come."""
        for body, instants in self.crashed_at.items():
            if len(instants) < CRASHES_KNOWN:
                continue
            known_at = instants[CRASHES_KNOWN - 1] + KNOWN_AFTER_S
            late = sum(at > known_at for at in instants)
            if late > CRASHES_BORNE:
                self.broken.append(
                    f"{body!r} crashed {late} servers once it was known; "
                    f"{len(instants)} in all"
                )

    def answered(self, request_id: str, status: int) -> None:
        """Note a caller's final answer."""
        self.answers[status] += 1
        if status not in NOT_RUN:
            return
        self.not_run.add(request_id)
        if request_id in self.once and self.runs[request_id]:
            self.broken.append(f"{request_id} ran, and was answered {status}")

    def whole(self, request_id: str, got: bytes, wanted: bytes) -> None:
        """Note a success that looked complete to its caller."""
        if got != wanted:
            self.broken.append(f"{request_id} got {got[:60]!r}, not {wanted[:60]!r}")

    def pathway(self, request_id: str, ranges: list[tuple[int, int]], layers: int):
        """Note the layers that a path runs, in its order."""
        run = [layer for first, end in ranges for layer in range(first, end)]
        if run != list(range(layers)):
            self.broken.append(f"{request_id} runs layers {ranges} of {layers}")

    def acknowledge(self, number: int) -> None:
        """Note an acknowledged configuration."""
        self.acknowledged = max(self.acknowledged, number)

    def read(self, number: int, floor: int) -> None:
        """Note a configuration that was read.

        Args:
            number: Its number.
            floor: Highest acknowledged number as the read began.
        """
        if number < floor:
            self.broken.append(f"read configuration {number} after {floor} was acked")
