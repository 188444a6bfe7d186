"""Detection of unresponsive connections by pings."""

__all__ = ["KeepaliveLimits", "wait_unresponsive"]

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wigeonscale.ports import Clock

if TYPE_CHECKING:
    from wigeonscale.dispatch.link import AgentLink


@dataclass(frozen=True, slots=True)
class KeepaliveLimits:
    """Limits after which a connection counts as unresponsive.

    Attributes:
        interval_s: Seconds between two checks.
        max_missed_pings: Consecutive unanswered pings after which the connection
            counts as unresponsive.
        max_checks_without_ping: Checks after which a ping is sent even while the agent
            keeps sending, so that the agent knows that this entry is alive.
        reconnect_checks: Checks without an event on a new connection after which the
            agent itself counts as unreachable.
        max_silent_connections: Consecutive new connections without an event after
            which work fails that no other agent may do.
    """

    interval_s: float = 0.25
    max_missed_pings: int = 3
    max_checks_without_ping: int = 4
    reconnect_checks: int = 2
    max_silent_connections: int = 6

    @property
    def reconnect_s(self) -> float:
        """Time for the first event on a new connection, in seconds."""
        return self.interval_s * self.reconnect_checks


async def wait_unresponsive(
    link: "AgentLink", *, clock: Clock, limits: KeepaliveLimits
) -> None:
    """Return when the link has not answered several pings in a row.

    Counts iterations of this loop instead of elapsed time, so that a pause of this
    process is not mistaken for an unresponsive agent. A link without dispatches is
    not pinged.

    Args:
        link: Link to watch.
        clock: Clock port.
        limits: Interval and limits of the checks.
    """
    missed = 0
    pinged = False
    checks_since_ping = 0
    while True:
        if not link.busy.is_set():
            missed, pinged = 0, False
            await link.busy.wait()
        received = link.events_received
        await clock.sleep(limits.interval_s)
        if link.events_received != received:
            missed, pinged = 0, False
            checks_since_ping += 1
            if checks_since_ping < limits.max_checks_without_ping:
                continue
        missed += pinged
        checks_since_ping = 0
        if missed == limits.max_missed_pings:
            return
        link.ping()
        pinged = True
