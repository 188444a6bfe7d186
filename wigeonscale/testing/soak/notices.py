"""Notices of backend servers (rate limit, retry delay, leaving) and their checks.

A notice is a header of a response. An entry knows it at the latest when the caller has
the response, unless the link to the server failed meanwhile: the entry may then have
got no response, and sent the request to another server. Every request that a caller
sends to the same entry process after that must obey the notice, so the check does not
depend on the speed of the machine.
"""

__all__ = ["Notice", "NoticeChecker", "draw_notices", "apply_notice"]

import asyncio
import random
from collections import defaultdict
from dataclasses import dataclass, field

LIMIT_PER_S = 1.0
RETRY_AFTER_S = 1.5
# The users' rule on limits applies from this long after the first response with the
# limit. In each sliding window it allows the limit times a factor, plus some requests.
LIMIT_GRACE_S = 3.0
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK_REQUESTS = 5
KINDS = ("limit", "rest", "leave")


@dataclass(frozen=True, slots=True)
class Notice:
    """A notice that one backend server gives for some time.

    Attributes:
        start_s: Start, in seconds from the start of the load.
        kind: One of ``KINDS``.
        target: Index of the backend server.
        duration_s: Duration, in seconds.
    """

    start_s: float
    kind: str
    target: int
    duration_s: float


def draw_notices(seed: int, *, seconds: float, backends: int) -> list[Notice]:
    """Return the random notices of a run, from a separate random generator.

    Args:
        seed: Seed of the run.
        seconds: Duration of the load.
        backends: Number of backend servers.
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
    """Let a backend server give one notice and withdraw it.

    Args:
        notice: The notice.
        backend: The backend server.
        checker: Gets the period of a limit.
    """
    now = asyncio.get_running_loop().time
    name, began_at = backend.name, now()
    # Notices of one server may overlap, so each withdraws only what it has set.
    if notice.kind == "limit":
        backend.notice_headers["Server-Limit"] = str(LIMIT_PER_S)
        announced_at = now()
        await asyncio.sleep(notice.duration_s)
        checker.limit_periods[name].append((announced_at, now()))
        del backend.notice_headers["Server-Limit"]
    elif notice.kind == "rest":
        backend.retry_after_s = RETRY_AFTER_S
        await asyncio.sleep(notice.duration_s)
        backend.retry_after_s = None
    else:
        backend.notice_headers["Server-Leaving"] = "1"
        await asyncio.sleep(notice.duration_s)
        await backend.stop()
        await backend.start()
        del backend.notice_headers["Server-Leaving"]
    backend.checker.responses.impairments[backend.service].append(
        (backend.relay.address, began_at, now())
    )


@dataclass(slots=True)
class NoticeChecker:
    """Checks that entries obey the notices that backend servers gave through them.

    Attributes:
        limit_periods: Start and end of the periods with a limit, by server.
        violations: Descriptions of the violations found so far.
    """

    limit_periods: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    violations: list[str] = field(default_factory=list)
    _sent: dict[str, tuple[str, float]] = field(default_factory=dict)
    # Server, header and time of the notices in responses to a request, until its caller
    # has the answer.
    _pending_notices: dict[str, list[tuple[str, str, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    # Time since which an entry knows a notice, by entry and server. For retry delays
    # also the time at which the delay ends.
    _leaving_known_at: dict[tuple[str, str], float] = field(default_factory=dict)
    _limit_known_at: dict[tuple[str, str], float] = field(default_factory=dict)
    _retry_after: dict[tuple[str, str], tuple[float, float]] = field(
        default_factory=dict
    )
    # Start and end of the link faults by server; infinity while a fault lasts.
    _link_faults: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    # Arrival time, entry and sending time of each request, by server.
    _arrivals: dict[str, list[tuple[float, str, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def record_sent(self, request_id: str, entry: str, at: float) -> None:
        """Record that a caller sends a request to an entry process."""
        self._sent[request_id] = entry, at

    def record_notice(self, request_id: str, server: str, headers, at: float) -> None:
        """Record the notices in the response of a server to a request."""
        for header in ("Server-Limit", "Server-Leaving", "Retry-After"):
            if header in headers:
                self._pending_notices[request_id].append((server, header, at))

    def record_answer(self, request_id: str, at: float) -> None:
        """Record that a caller has its answer, so that its entry knows the notices."""
        entry, _ = self._sent[request_id]
        for server, header, noticed_at in self._pending_notices.pop(request_id, ()):
            if self._had_link_fault(server, noticed_at, at):
                continue
            key = entry, server
            if header == "Server-Leaving":
                self._leaving_known_at.setdefault(key, at)
            elif header == "Server-Limit":
                self._limit_known_at.setdefault(key, at)
            else:
                self._retry_after[key] = at, noticed_at + RETRY_AFTER_S

    def begin_link_fault(self, server: str, at: float) -> None:
        """Record that responses of a server may not arrive from now on."""
        self._link_faults[server].append((at, float("inf")))

    def end_link_fault(self, server: str, at: float) -> None:
        """Record that the oldest link fault of a server that lasts has ended."""
        faults = self._link_faults[server]
        index = next(n for n, (_, end) in enumerate(faults) if end == float("inf"))
        faults[index] = faults[index][0], at

    def _had_link_fault(self, server: str, first: float, last: float) -> bool:
        return any(
            start <= last and end >= first for start, end in self._link_faults[server]
        )

    def record_arrival(self, request_id: str, server: str, at: float) -> None:
        """Record that a request reaches a server."""
        entry, sent_at = self._sent[request_id]
        key = entry, server
        self._arrivals[server].append((at, entry, sent_at))
        if sent_at > self._leaving_known_at.get(key, float("inf")):
            self.violations.append(f"{request_id} reached {server}, which leaves")
        known_at, ends_at = self._retry_after.get(key, (float("inf"), 0.0))
        if sent_at > known_at and at < ends_at:
            self.violations.append(f"{request_id} reached {server}, which rests")

    def check_limits(self) -> None:
        """Check the rate limits, after the load has ended."""
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
