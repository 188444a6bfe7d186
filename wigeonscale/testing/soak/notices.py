"""Backend servers that say how they are, and whether entries heed it.

An entry knows what an answer says once a caller has that answer. So a request that a
caller sends to the same process after that must heed it, however slow the machine is.
"""

__all__ = ["Notice", "NoticeChecker", "draw_notices", "apply_notice"]

import asyncio
import random
from collections import defaultdict
from dataclasses import dataclass, field

LIMIT_PER_S = 1.0
RETRY_AFTER_S = 1.5
# The users' rule on limits: judged from so long after the first answer that names it,
# in a sliding window, with a factor and some requests more.
LIMIT_GRACE_S = 3.0
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK_REQUESTS = 5
KINDS = ("limit", "rest", "leave")


@dataclass(frozen=True, slots=True)
class Notice:
    """What one backend server says for some time.

    Attributes:
        at_s: When, in seconds from the start of the load.
        kind: One of ``KINDS``.
        target: Index of the backend server.
        for_s: How long, in seconds.
    """

    start_s: float
    kind: str
    target: int
    duration_s: float


def draw_notices(seed: int, *, seconds: float, backends: int) -> list[Notice]:
    """Return the notices of a run, by a source of their own.

    Args:
        seed: Of the run.
        seconds: Length of the load.
        backends: How many backend servers there are.
    """
    rng = random.Random(f"notices {seed}")
    return [
        Notice(
            start_s=rng.uniform(0.0, 0.5 * seconds),
            kind=kind,
            target=rng.randrange(backends),
            duration_s=rng.uniform(0.3, 0.5) * seconds,
        )
        for kind in KINDS
    ]


async def apply_notice(notice: Notice, backend, checker: "NoticeChecker") -> None:
    """Let a backend server say one thing, and take it back.

    Args:
        notice: What it says.
        backend: The backend server, as it is now.
        book: Told of a limit.
    """
    now = asyncio.get_running_loop().time
    name = backend.name
    if notice.kind == "limit":
        backend.notice_headers = {"Server-Limit": str(LIMIT_PER_S)}
        announced_at = now()
        await asyncio.sleep(notice.duration_s)
        checker.limit_periods[name].append((announced_at, now()))
    elif notice.kind == "rest":
        backend.retry_after_s = RETRY_AFTER_S
        await asyncio.sleep(notice.duration_s)
    else:
        backend.notice_headers = {"Server-Leaving": "1"}
        await asyncio.sleep(notice.duration_s)
        await backend.stop()
        await backend.start()
    backend.notice_headers, backend.retry_after_s = {}, None


@dataclass(slots=True)
class NoticeChecker:
    """What backend servers said through which entries, and what they got since then.

    Attributes:
        limited: Times during which a server named its limit, by its name.
        broken: Promises broken so far, in words.
    """

    limit_periods: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    violations: list[str] = field(default_factory=list)
    _sent: dict[str, tuple[str, float]] = field(default_factory=dict)
    # What the answers to a request said: server, header and time, until it is answered.
    _pending_notices: dict[str, list[tuple[str, str, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    # Since when an entry knows something of a server.
    _leaving_known_at: dict[tuple[str, str], float] = field(default_factory=dict)
    _limit_known_at: dict[tuple[str, str], float] = field(default_factory=dict)
    _retry_after: dict[tuple[str, str], tuple[float, float]] = field(
        default_factory=dict
    )
    _arrivals: dict[str, list[tuple[float, str, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def record_sent(self, request_id: str, entry: str, at: float) -> None:
        """Note that a caller sends a request to one start of an entry."""
        self._sent[request_id] = entry, at

    def record_notice(self, request_id: str, server: str, headers, at: float) -> None:
        """Note what a server's answer to a request says."""
        for header in ("Server-Limit", "Server-Leaving", "Retry-After"):
            if header in headers:
                self._pending_notices[request_id].append((server, header, at))

    def record_answer(self, request_id: str, at: float) -> None:
        """Note that a caller has its answer, and its entry knows what was said."""
        entry, _ = self._sent[request_id]
        for server, header, noticed_at in self._pending_notices.pop(request_id, ()):
            key = entry, server
            if header == "Server-Leaving":
                self._leaving_known_at.setdefault(key, at)
            elif header == "Server-Limit":
                self._limit_known_at.setdefault(key, at)
            else:
                self._retry_after[key] = at, noticed_at + RETRY_AFTER_S

    def record_arrival(self, request_id: str, server: str, at: float) -> None:
        """Note that a request reaches a server."""
        entry, sent_at = self._sent[request_id]
        key = entry, server
        self._arrivals[server].append((at, entry, sent_at))
        if sent_at > self._leaving_known_at.get(key, float("inf")):
            self.violations.append(f"{request_id} reached {server}, which leaves")
        known_at, ends_at = self._retry_after.get(key, (float("inf"), 0.0))
        if sent_at > known_at and at < ends_at:
            self.violations.append(f"{request_id} reached {server}, which rests")

    def check_limits(self) -> None:
        """Judge the limits, once no more can come."""
        for server, periods in self.limit_periods.items():
            for announced_at, ended_at in periods:
                self._check_limit(server, announced_at + LIMIT_GRACE_S, ended_at)

    def _check_limit(self, server: str, checked_from: float, ended_at: float) -> None:
        arrivals = [
            at
            for at, entry, sent_at in self._arrivals[server]
            if sent_at > self._limit_known_at.get((entry, server), float("inf"))
        ]
        allowed = LIMIT_FACTOR * WINDOW_S * LIMIT_PER_S + LIMIT_SLACK_REQUESTS
        for end in arrivals:
            got = sum(end - WINDOW_S < at <= end for at in arrivals)
            if checked_from <= end <= ended_at and got > allowed:
                self.violations.append(
                    f"{server} got {got} requests, {allowed} allowed"
                )
