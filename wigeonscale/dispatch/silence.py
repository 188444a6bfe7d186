"""Detection of a connection that went silent."""

__all__ = ["SilenceLimits", "until_silent"]

from dataclasses import dataclass
from typing import TYPE_CHECKING

from wigeonscale.ports import Clock

if TYPE_CHECKING:
    from wigeonscale.dispatch.link import AgentLink


@dataclass(frozen=True, slots=True)
class SilenceLimits:
    """When a connection counts as silent.

    Attributes:
        interval_s: Seconds between two looks.
        missed_pings: Pings in a row without any word from the agent.
        word_looks: Looks after which the agent is told by a ping that this entry
            still listens, although the agent is heard.
        second_connection_looks: Looks for any word on a second connection before
            the agent itself counts as gone.
    """

    interval_s: float = 0.25
    missed_pings: int = 3
    word_looks: int = 4
    second_connection_looks: int = 2


async def until_silent(
    link: "AgentLink", *, clock: Clock, limits: SilenceLimits
) -> None:
    """Return when the link has been silent although it was asked for a word.

    Counts looks of this loop, not time, so that a pause of this very process is
    not taken for a silence of the agent. An idle link is left in peace.

    Args:
        link: The link.
        clock: Clock port.
        limits: When it counts as silent.
    """
    missed = 0
    pinged = False
    unasked = 0
    while True:
        if not link.busy.is_set():
            missed, pinged = 0, False
            await link.busy.wait()
        heard = link.events_heard
        await clock.sleep(limits.interval_s)
        if link.events_heard != heard:
            missed, pinged = 0, False
            unasked += 1
            if unasked < limits.word_looks:
                continue
        missed += pinged
        unasked = 0
        if missed == limits.missed_pings:
            return
        link.ping()
        pinged = True
