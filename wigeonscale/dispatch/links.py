"""Connections to agents, replaced when they break or become unresponsive."""

__all__ = ["AgentLinks"]

import asyncio
import logging
from collections.abc import Callable

from wigeonscale.adapters import METRICS, log_fields, open_channel
from wigeonscale.dispatch.failures import AgentGoneError
from wigeonscale.dispatch.keepalive import KeepaliveLimits, wait_unresponsive
from wigeonscale.dispatch.link import AgentLink, Dial, OnLoad, OnPrefixes
from wigeonscale.dispatch.stream import DispatchStream
from wigeonscale.dispatch.targets import Target
from wigeonscale.errors import RunState
from wigeonscale.ports import Clock, ProbeResult, ReachabilityCheck

logger = logging.getLogger(__name__)

# Connections that last less than this count towards flapping.
FLAP_LIFETIME_S = 1.0
MAX_CONSECUTIVE_FLAPS = 4

OnGone = Callable[[Target], None]


async def _assume_refused(address: str, timeout_s: float) -> ProbeResult:
    return ProbeResult.REFUSED


class AgentLinks:
    """All connections of an entry to agents.

    Args:
        entry_id: Name of this entry.
        clock: Clock port.
        on_load: Called with the agent id and each load report.
        on_prefixes: Called with the agent id and prefix cache events.
        on_gone: Called with the target when an agent cannot be reached, and again when
            dispatches that waited for it have failed.
        limits: Limits after which a connection counts as unresponsive.
        dial: Opens a channel with its own connection to an address.
        check_reachable: Tells whether an agent to which no channel could be opened
            refuses connections.
    """

    def __init__(
        self,
        *,
        entry_id: str,
        clock: Clock,
        on_load: OnLoad = lambda agent_id, load: None,
        on_prefixes: OnPrefixes = lambda agent_id, events: None,
        on_gone: OnGone = lambda target: None,
        limits: KeepaliveLimits | None = None,
        dial: Dial = open_channel,
        check_reachable: ReachabilityCheck = _assume_refused,
    ):
        self._entry_id = entry_id
        self._clock = clock
        self._on_load = on_load
        self._on_prefixes = on_prefixes
        self._on_gone = on_gone
        self._dial = dial
        self._limits = limits or KeepaliveLimits()
        self._check_reachable = check_reachable
        self._supervisors: dict[Target, list[_LinkSupervisor]] = {}
        self._tasks: set[asyncio.Task] = set()
        self._closing = False

    def add_stream(self, stream: DispatchStream) -> None:
        """Open a dispatch at its agent, or attach to it."""
        for supervisor in self._supervisors.get(stream.target, ()):
            # Items are routed by dispatch id alone, so a second reader of the same
            # dispatch needs another connection.
            if stream.dispatch_id not in supervisor.link.streams:
                supervisor.link.add(stream)
                return
        self._start_supervisor(stream.target).link.add(stream)

    def streams(self) -> list[DispatchStream]:
        """Return all current dispatches."""
        supervisors = [
            supervisor
            for supervisors in self._supervisors.values()
            for supervisor in supervisors
        ]
        return [
            stream
            for supervisor in supervisors
            for stream in supervisor.link.streams.values()
        ]

    async def close(self) -> None:
        """Close all connections; the dispatches left on them fail."""
        self._closing = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def new_link(self, target: Target) -> AgentLink:
        """Return a new link, which is not running yet."""
        return AgentLink(
            target=target,
            entry_id=self._entry_id,
            clock=self._clock,
            on_load=self._on_load,
            on_prefixes=self._on_prefixes,
            dial=self._dial,
        )

    def _start_supervisor(self, target: Target) -> "_LinkSupervisor":
        supervisor = _LinkSupervisor(
            link=self.new_link(target),
            links=self,
            clock=self._clock,
            limits=self._limits,
        )
        self._supervisors.setdefault(target, []).append(supervisor)
        task = asyncio.create_task(supervisor.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return supervisor

    def remove_supervisor(self, supervisor: "_LinkSupervisor") -> None:
        """Remove the supervisor of a link; the dispatches left on it fail."""
        target = supervisor.link.target
        supervisors = self._supervisors.get(target, [])
        if supervisor in supervisors:
            supervisors.remove(supervisor)
        if not supervisors:
            self._supervisors.pop(target, None)
        self._fail(list(supervisor.link.streams.values()), target)

    async def is_refused(self, target: Target) -> bool:
        """Return whether an agent refuses connections, so that its process has ended.

        Args:
            target: Agent to which no channel could be opened.
        """
        timeout_s = self._limits.reconnect_s
        result = await self._check_reachable(target.address, timeout_s)
        return result is ProbeResult.REFUSED

    def fail_replaceable(self, link: AgentLink) -> None:
        """Fail the dispatches on a silent link that other agents can do.

        Args:
            link: Link to an agent that may only be paused. It keeps the other
                dispatches, whose answers nobody else has.
        """
        replaceable = [each for each in link.streams.values() if each.is_replaceable]
        for stream in replaceable:
            link.remove(stream)
        self._fail(replaceable, link.target)
        if link.streams and not replaceable:
            self._on_gone(link.target)

    def _fail(self, streams: list[DispatchStream], target: Target) -> None:
        for stream in streams:
            state = RunState.UNKNOWN if stream.sent else RunState.NOT_RUN
            stream.fail(
                AgentGoneError(
                    f"agent {target.agent_id} is unreachable", run_state=state
                )
            )
        if streams and not self._closing:
            self._on_gone(target)


class _LinkSupervisor:
    """Runs one link to an agent and reconnects when it breaks."""

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
        self._consecutive_flaps = 0

    async def run(self) -> None:
        """Return when the agent is unreachable, or an idle connection was lost."""
        try:
            await self._wait_lost()
            while self.link.streams and not self._is_flapping():
                if not await self._reconnect_repeatedly():
                    return
                await self._wait_lost()
        finally:
            # Must come first, without an await in between, so that no dispatch is
            # added after the decision to end.
            self._links.remove_supervisor(self)
            await _cancel(self._reader)

    def _is_flapping(self) -> bool:
        """Count a lost connection; return whether too many were short-lived."""
        lifetime_s = self._clock.now() - self._connected_at
        self._consecutive_flaps = (
            self._consecutive_flaps + 1 if lifetime_s < FLAP_LIFETIME_S else 0
        )
        return self._consecutive_flaps > MAX_CONSECUTIVE_FLAPS

    async def _wait_lost(self) -> None:
        unresponsive = wait_unresponsive(
            self.link, clock=self._clock, limits=self._limits
        )
        await self._wait_reader_or(unresponsive)

    async def _reconnect_repeatedly(self) -> bool:
        """Return whether the agent has answered on a new connection.

        An agent that is silent may be paused and complete its work later. One that
        refuses connections has ended.
        """
        for left in reversed(range(self._limits.max_silent_connections)):
            if await self._reconnect():
                return True
            has_failed = self._reader.done()
            if has_failed and await self._links.is_refused(self.link.target):
                return False
            if not left:
                return False
            self._links.fail_replaceable(self.link)
            if not self.link.streams:
                return False
            if has_failed:
                # gRPC gives up a handshake earlier than a paused agent goes on.
                await self._clock.sleep(self._limits.reconnect_s)
        return False

    async def _reconnect(self) -> bool:
        old, old_reader = self.link, self._reader
        self.link = self._links.new_link(old.target)
        self._reader = asyncio.create_task(self.link.run())
        self._connected_at = self._clock.now()
        for stream in list(old.streams.values()):
            self.link.add(stream)
        old.streams.clear()
        self.link.ping()
        logger.info(
            "opening a new connection to %s",
            old.target.agent_id,
            extra=_dispatch_count(self.link),
        )
        METRICS.attaches.add(len(self.link.streams))
        await _cancel(old_reader)
        await self._wait_reader_or(self._wait_first_event())
        return self.link.events_received > 0

    async def _wait_first_event(self) -> None:
        for _ in range(self._limits.reconnect_checks):
            await self._clock.sleep(self._limits.interval_s)
            if self.link.events_received:
                return

    async def _wait_reader_or(self, coro) -> None:
        other = asyncio.create_task(coro)
        try:
            await asyncio.wait(
                {self._reader, other}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            await _cancel(other)


def _dispatch_count(link: AgentLink) -> dict:
    return log_fields(dispatches=len(link.streams))


async def _cancel(task: asyncio.Task) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
