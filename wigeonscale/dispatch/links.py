"""Connections to agents, with a second one when the first falls silent."""

__all__ = ["AgentLinks"]

import asyncio
import logging
from collections.abc import Callable

from wigeonscale.adapters import METRICS, log_fields, open_channel
from wigeonscale.dispatch.failures import AgentGoneError
from wigeonscale.dispatch.link import AgentLink, Dial, OnPrefixes, OnWord
from wigeonscale.dispatch.silence import KeepaliveLimits, until_silent
from wigeonscale.dispatch.stream import DispatchStream
from wigeonscale.dispatch.targets import Target
from wigeonscale.errors import RunState
from wigeonscale.ports import Clock

logger = logging.getLogger(__name__)

# A connection that broke before it stood for so long was lost quickly.
QUICK_LOSS_S = 1.0
MAX_QUICK_LOSSES = 4

OnGone = Callable[[Target], None]


class AgentLinks:
    """All connections of an entry to agents.

    Args:
        entry_id: Name of this entry.
        clock: Clock port.
        on_load: Called with agent id and load word.
        on_prefixes: Called with agent id and cache events.
        on_gone: Called when no connection to an agent works any more.
        limits: When a connection counts as silent.
        dial: Opens a channel with a connection of its own to an address.
    """

    def __init__(
        self,
        *,
        entry_id: str,
        clock: Clock,
        on_load: OnWord = lambda agent_id, word: None,
        on_prefixes: OnPrefixes = lambda agent_id, events: None,
        on_gone: OnGone = lambda target: None,
        limits: KeepaliveLimits | None = None,
        dial: Dial = open_channel,
    ):
        self._entry_id = entry_id
        self._clock = clock
        self._on_word = on_load
        self._on_prefixes = on_prefixes
        self._on_gone = on_gone
        self._dial = dial
        self._limits = limits or KeepaliveLimits()
        self._lanes: dict[Target, list[_Lane]] = {}
        self._tasks: set[asyncio.Task] = set()
        self._closing = False

    def add_stream(self, stream: DispatchStream) -> None:
        """Open a dispatch, or take it up, at its agent."""
        for lane in self._lanes.get(stream.target, ()):
            # Items bear only the dispatch id: two readers need two streams.
            if stream.dispatch_id not in lane.link.streams:
                lane.link.add(stream)
                return
        self._new_lane(stream.target).link.add(stream)

    def streams(self) -> list[DispatchStream]:
        """Return every dispatch carried now."""
        lanes = [lane for lanes in self._lanes.values() for lane in lanes]
        return [stream for lane in lanes for stream in lane.link.streams.values()]

    async def close(self) -> None:
        """Close every connection; what is still carried fails."""
        self._closing = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def new_link(self, target: Target) -> AgentLink:
        """Return a link with a connection of its own, not yet run."""
        return AgentLink(
            target=target,
            entry_id=self._entry_id,
            clock=self._clock,
            on_load=self._on_word,
            on_prefixes=self._on_prefixes,
            dial=self._dial,
        )

    def _new_lane(self, target: Target) -> "_Lane":
        lane = _Lane(
            link=self.new_link(target),
            links=self,
            clock=self._clock,
            limits=self._limits,
        )
        self._lanes.setdefault(target, []).append(lane)
        task = asyncio.create_task(lane.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return lane

    def retire(self, lane: "_Lane") -> None:
        """Use a lane no more; the dispatches left on it fail."""
        target = lane.link.target
        lanes = self._lanes.get(target, [])
        if lane in lanes:
            lanes.remove(lane)
        if not lanes:
            self._lanes.pop(target, None)
        streams = list(lane.link.streams.values())
        for stream in streams:
            state = RunState.UNKNOWN if stream.sent else RunState.NOT_RUN
            stream.fail(AgentGoneError(f"{target.agent_id} is gone", run_state=state))
        if streams and not self._closing:
            self._on_gone(target)


class _Lane:
    """Keeps one link to an agent working, by a second connection when needed."""

    def __init__(
        self,
        *,
        link: AgentLink,
        links: AgentLinks,
        clock: Clock,
        limits: KeepaliveLimits,
    ):
        self.link = link
        self._links = links
        self._clock = clock
        self._limits = limits
        self._reader = asyncio.create_task(link.run())
        self._connected_at = clock.now()
        self._quick_losses = 0

    async def run(self) -> None:
        """Return when the agent is gone, or when an idle connection broke."""
        try:
            await self._until_lost()
            while self.link.streams and not self._is_flapping():
                if not await self._connect_again():
                    return
                await self._until_lost()
        finally:
            # First and without a pause, so that no dispatch is put on it after the
            # decision to end.
            self._links.retire(self)
            await _cancel(self._reader)

    def _is_flapping(self) -> bool:
        """Return whether the connections break as soon as they stand."""
        lasted_s = self._clock.now() - self._connected_at
        self._quick_losses = self._quick_losses + 1 if lasted_s < QUICK_LOSS_S else 0
        return self._quick_losses > MAX_QUICK_LOSSES

    async def _until_lost(self) -> None:
        silence = until_silent(self.link, clock=self._clock, limits=self._limits)
        await self._reader_or(silence)

    async def _connect_again(self) -> bool:
        old, old_reader = self.link, self._reader
        self.link = self._links.new_link(old.target)
        self._reader = asyncio.create_task(self.link.run())
        self._connected_at = self._clock.now()
        for stream in list(old.streams.values()):
            self.link.add(stream)
        old.streams.clear()
        self.link.ping()
        logger.info(
            "second connection to %s", old.target.agent_id, extra=_moved(self.link)
        )
        METRICS.attaches.add(len(self.link.streams))
        await _cancel(old_reader)
        await self._reader_or(self._until_first_event())
        return self.link.events_heard > 0

    async def _until_first_event(self) -> None:
        for _ in range(self._limits.reconnect_checks):
            await self._clock.sleep(self._limits.interval_s)
            if self.link.events_heard:
                return

    async def _reader_or(self, coro) -> None:
        other = asyncio.create_task(coro)
        try:
            await asyncio.wait(
                {self._reader, other}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            await _cancel(other)


def _moved(link: AgentLink) -> dict:
    return log_fields(dispatches=len(link.streams))


async def _cancel(task: asyncio.Task) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
