"""Checks that each request gets a complete response or a refusal.

A request that was sent to an entry may end without either only for a reason that the
run itself has set; see the functions below. Nothing else is a reason: neither the
silence of a backend server, a SIGHUP, a change of the configuration, a fault of
control, a pause of the entry by itself, nor the loss of a server that does not run it.
"""

__all__ = ["Request", "ResponseChecker"]

from collections import defaultdict
from dataclasses import dataclass, field

from wigeonscale.testing.soak.deployment import SHUTDOWN_TIMEOUT_S, Start

# An entry responds this long before the deadline, or a little earlier.
DEADLINE_MARGIN_S = 0.05
# A caller that has no end of the response this long after its deadline gives up.
OVERDUE_S = 1.0
# The users' rules allow 0.2 s from the last byte of a request that nobody reads to the
# end of its connection; a busy machine takes longer.
CROSSING_S = 2.0
# A stream ends at most this much later than the fault that broke its connection.
BREAK_DETECTION_S = 1.0
# Time for which a service counts as short of servers after the loss of one.
RECOVERY_S = 3.0


@dataclass(slots=True, kw_only=True, eq=False)
class Request:
    """A request that was sent to an entry.

    Attributes:
        request_id: Its id.
        kind: Its route.
        service: The service of its route.
        process: The start of the entry to which it was sent.
        sent_at: Time at which it was sent, by the event loop.
        deadline_s: Time until its deadline, in seconds.
        may_resume: Whether its response may go on at another server.
        status: Status of its response; None before the head.
        ended_at: Time at which its response or connection ended.
    """

    request_id: str
    kind: str
    service: str
    process: Start
    sent_at: float
    deadline_s: float
    may_resume: bool = False
    status: int | None = None
    ended_at: float = 0.0

    @property
    def deadline_at(self) -> float:
        """Time of its deadline, by the event loop."""
        return self.sent_at + self.deadline_s

    @property
    def paused_s(self) -> float:
        """Time for which its entry was paused meanwhile, in seconds."""
        return sum(
            max(0.0, min(end, self.ended_at) - max(start, self.sent_at))
            for start, end in self.process.pauses
        )


@dataclass(slots=True)
class ResponseChecker:
    """Records the requests without a complete response, and what may explain it.

    Servers are identified by their addresses, which restarts do not change.

    Attributes:
        incomplete: Requests whose connection ended without a complete response.
        arrived: Ids of the requests that reached a backend server.
        runs: The servers of each run, the first of which responds, and its start, by
            request id.
        lost_at: Times at which a server stopped or crashed.
        link_faults: Start and end of the times in which the connections of a server
            were reset or blocked.
        impairments: Server, start and end of the times in which a server could not
            take requests, by service. A server that stands still is not among them.
    """

    incomplete: list[Request] = field(default_factory=list)
    arrived: set[str] = field(default_factory=set)
    runs: dict[str, list[tuple[tuple[str, ...], float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    lost_at: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    link_faults: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    impairments: dict[str, list[tuple[str, float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def record_loss(self, service: str, server: str, at: float) -> None:
        """Record that a server stops or crashes."""
        self.lost_at[server].append(at)
        self.impairments[service].append((server, at, at))

    def record_link_fault(
        self, service: str, server: str, start: float, end: float
    ) -> None:
        """Record that the connections of a server were reset or blocked."""
        self.link_faults[server].append((start, end))
        self.impairments[service].append((server, start, end))

    def record_run(self, request_id: str, servers: tuple[str, ...], at: float) -> None:
        """Record that a request begins to run; the first server responds."""
        self.runs[request_id].append((servers, at))

    def violations(self) -> list[str]:
        """Return descriptions of the incomplete responses that nothing explains."""
        return [_describe(req) for req in self.incomplete if not self.is_excused(req)]

    def is_excused(self, req: Request) -> bool:
        """Return whether the run itself explains an incomplete response."""
        return (
            _is_past_deadline(req)
            or _was_killed(req)
            or _shutdown_timed_out(req)
            or self._crossed_shutdown(req)
            or self._lost_its_server(req)
        )

    def _crossed_shutdown(self, req: Request) -> bool:
        """Return whether a stopping entry closed the connection of an unread request.

        Such a request has reached no server and ends soon after it was sent, or after a
        pause of the entry.
        """
        return (
            req.process.stopped_at <= req.ended_at
            and req.ended_at <= req.sent_at + CROSSING_S + req.paused_s
            and req.status is None
            and req.request_id not in self.arrived
        )

    def _lost_its_server(self, req: Request) -> bool:
        """Return whether a response that has begun cannot go on.

        Before it has begun, the entry must refuse.
        """
        if req.status != 200 or (req.may_resume and not self._lacks_servers(req)):
            return False
        # A stream that may be resumed waits for another server before it ends.
        within_s = RECOVERY_S if req.may_resume else BREAK_DETECTION_S
        return any(
            self._run_broke(servers, began_at, req.ended_at, within_s)
            for servers, began_at in self.runs[req.request_id]
        )

    def _lacks_servers(self, req: Request) -> bool:
        """Return whether the service of a stream has lost more servers than one.

        Without any one of them, a stream that may be resumed goes on at another.
        """
        since = req.ended_at - RECOVERY_S
        impaired = {
            server
            for server, start, end in self.impairments[req.service]
            if start <= req.ended_at and end >= since
        }
        return len(impaired) > 1

    def _run_broke(self, servers, began_at, ended_at, within_s) -> bool:
        """Return whether a server of a run was lost or the response got blocked."""
        if any(
            began_at <= at < ended_at
            for server in servers
            for at in self.lost_at[server]
        ):
            return True
        return any(
            began_at <= end and start <= ended_at <= end + within_s
            for start, end in self.link_faults[servers[0]]
        )


def _is_past_deadline(req: Request) -> bool:
    """Return whether the connection ended at the deadline, when the entry gives up.

    The deadline counts from the time at which the entry reads the request, which a
    pause delays. A connection that is open for longer than that is not excused.
    """
    if req.ended_at < req.deadline_at + OVERDUE_S:
        return req.ended_at >= req.deadline_at - DEADLINE_MARGIN_S
    return req.ended_at < req.deadline_at + OVERDUE_S + req.paused_s


def _was_killed(req: Request) -> bool:
    """Return whether the entry process ended other than by a graceful shutdown."""
    return req.process.killed_at <= req.ended_at


def _shutdown_timed_out(req: Request) -> bool:
    """Return whether the graceful shutdown of the entry had no time left."""
    return req.process.stopped_at + SHUTDOWN_TIMEOUT_S <= req.ended_at


def _describe(req: Request) -> str:
    process, took_s = req.process, req.ended_at - req.sent_at
    end = "no response" if req.status is None else f"{req.status}, cut"
    if req.ended_at >= req.deadline_at + OVERDUE_S:
        end = "no end"
    return (
        f"{req.request_id} ({req.kind}) got {end} after {took_s:.3f} s, from start"
        f" {process.number} at its age of {req.ended_at - process.started_at:.3f} s;"
        f" signals: {', '.join(process.signals) or 'none'}"
    )
