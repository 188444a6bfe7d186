"""Checks invariants on what callers, operators and backend servers observe."""

__all__ = ["InvariantChecker"]

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from wigeonscale.testing.soak.notices import NoticeChecker
from wigeonscale.testing.soak.responses import ResponseChecker

# Every entry must refuse a request within three seconds after it has crashed three
# servers, and a prompt part after five. The users' rules allow three further crashes
# after that.
CRASHES_TO_REFUSE = 3
PART_CRASHES_TO_REFUSE = 5
REFUSED_WITHIN_S = 3.0
MAX_LATE_CRASHES = 3
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(slots=True)
class InvariantChecker:
    """Records observations and the violations found in them.

    Attributes:
        runs: Number of runs at backend servers, by request id.
        at_most_once_ids: Ids of requests that must not run twice.
        not_run_ids: Ids of requests that were answered as not run.
        acknowledged: Highest acknowledged configuration number.
        answers: Number of answers by status; also of callers that got nothing, and of
            responses without their end.
        crashed_at: Times of backend server crashes, by what caused them: the body of
            a request or the id of a part of its prompt.
        crashing_parts: Those causes that are parts of prompts.
        violations: Descriptions of the violations found so far.
        notices: Checks that entries obey the notices of backend servers.
        responses: Checks that each request gets a complete response or a refusal.
    """

    runs: Counter = field(default_factory=Counter)
    at_most_once_ids: set[str] = field(default_factory=set)
    not_run_ids: set[str] = field(default_factory=set)
    acknowledged: int = 0
    answers: Counter = field(default_factory=Counter)
    crashed_at: dict[bytes, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    crashing_parts: set[bytes] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    notices: NoticeChecker = field(default_factory=NoticeChecker)
    responses: ResponseChecker = field(default_factory=ResponseChecker)

    def record_run(self, request_id: str) -> None:
        """Record that a backend server starts to run a request."""
        self.runs[request_id] += 1
        if request_id not in self.at_most_once_ids:
            return
        if self.runs[request_id] > 1:
            self.violations.append(f"{request_id} ran twice")
        if request_id in self.not_run_ids:
            self.violations.append(f"{request_id} ran after it was said not to")

    def record_crash(self, cause: bytes, at: float, *, is_part: bool = False) -> None:
        """Record that a backend server crashes on a request or a part of its prompt."""
        self.crashed_at[cause].append(at)
        if is_part:
            self.crashing_parts.add(cause)

    def check_crashes(self) -> None:
        """Check the crashes by their cause, after the load has ended."""
        for cause, times in self.crashed_at.items():
            is_part = cause in self.crashing_parts
            to_refuse = PART_CRASHES_TO_REFUSE if is_part else CRASHES_TO_REFUSE
            if len(times) < to_refuse:
                continue
            refused_from = times[to_refuse - 1] + REFUSED_WITHIN_S
            late = sum(at > refused_from for at in times)
            if late > MAX_LATE_CRASHES:
                self.violations.append(
                    f"{cause!r} crashed {late} servers once it was known; "
                    f"{len(times)} in all"
                )

    def record_answer(self, request_id: str, status: int) -> None:
        """Record the final status that a caller received."""
        self.answers[status] += 1
        if status not in NOT_RUN_STATUSES:
            return
        self.not_run_ids.add(request_id)
        if request_id in self.at_most_once_ids and self.runs[request_id]:
            self.violations.append(f"{request_id} ran, and was answered {status}")

    def record_success(self, request_id: str, got: bytes, expected: bytes) -> None:
        """Record a response that its caller received as complete."""
        if got != expected:
            self.violations.append(
                f"{request_id} got {got[:60]!r}, not {expected[:60]!r}"
            )

    def record_path(self, request_id: str, ranges: list[tuple[int, int]], layers: int):
        """Record the layer ranges of a path, in its order."""
        run = [layer for first, end in ranges for layer in range(first, end)]
        if run != list(range(layers)):
            self.violations.append(f"{request_id} runs layers {ranges} of {layers}")

    def record_acknowledged(self, number: int) -> None:
        """Record an acknowledged configuration."""
        self.acknowledged = max(self.acknowledged, number)

    def record_read(self, number: int, acknowledged_before: int) -> None:
        """Record a configuration that was read.

        Args:
            number: Its number.
            acknowledged_before: Highest number acknowledged before the read began.
        """
        if number < acknowledged_before:
            self.violations.append(
                f"read configuration {number} after {acknowledged_before} was acked"
            )
