"""One connection to an agent, with one multiplexed Dispatch stream on it."""

__all__ = ["AgentLink", "OnLoad", "OnPrefixes"]

import asyncio
import logging
from collections.abc import AsyncIterator, Callable

import grpc

from wigeonscale.adapters import open_channel, wait_connected
from wigeonscale.dispatch.stream import DispatchStream
from wigeonscale.dispatch.targets import Target
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc as wire_grpc

logger = logging.getLogger(__name__)

# Placeholder in the outbox for all credit not yet sent.
_CREDITS_MARKER = wire.DispatchRequest(credits=wire.Credits())

Dial = Callable[[str], grpc.aio.Channel]
OnLoad = Callable[[str, wire.LoadWord], None]
OnPrefixes = Callable[[str, wire.PrefixEvents], None]


class AgentLink:
    """One connection to an agent with one Dispatch stream on it.

    Args:
        target: The agent.
        entry_id: Name of this entry.
        clock: Clock port.
        on_load: Called with the agent id and each load report.
        on_prefixes: Called with the agent id and prefix cache events.
        dial: Opens a channel with its own connection to an address.

    Attributes:
        target: The agent.
        streams: Dispatches on this link, by dispatch id.
        busy: Set while there are dispatches on this link.
        events_received: Number of events received so far.
    """

    def __init__(
        self,
        *,
        target: Target,
        entry_id: str,
        clock: Clock,
        on_load: OnLoad,
        on_prefixes: OnPrefixes,
        dial: Dial = open_channel,
    ):
        self.target = target
        self.streams: dict[str, DispatchStream] = {}
        self.busy = asyncio.Event()
        self.events_received = 0
        self._entry_id = entry_id
        self._clock = clock
        self._on_load = on_load
        self._on_prefixes = on_prefixes
        self._dial = dial
        self._outbox: asyncio.Queue[wire.DispatchRequest | None]
        self._outbox = asyncio.Queue()
        self._credits: dict[str, int] = {}

    def add(self, stream: DispatchStream) -> None:
        """Add a dispatch, and open it or attach to it at the agent."""
        stream.link = self
        self.streams[stream.dispatch_id] = stream
        self.busy.set()
        for request in stream.requests():
            self.send(request)

    def remove(self, stream: DispatchStream) -> None:
        """Remove a dispatch; its later items are ignored."""
        if self.streams.get(stream.dispatch_id) is stream:
            del self.streams[stream.dispatch_id]
        if not self.streams:
            self.busy.clear()

    def send(self, request: wire.DispatchRequest) -> None:
        """Queue a message to the agent."""
        self._outbox.put_nowait(request)

    def grant_credit(self, dispatch_id: str, tokens: int) -> None:
        """Allow the agent to send more tokens of a dispatch.

        Credit of several dispatches is sent in one message.
        """
        if not self._credits:
            self._outbox.put_nowait(_CREDITS_MARKER)
        self._credits[dispatch_id] = self._credits.get(dispatch_id, 0) + tokens

    def ping(self) -> None:
        """Send a ping, which the agent answers with an event."""
        sent_us = int(self._clock.now() * 1e6)
        self.send(wire.DispatchRequest(ping=wire.Ping(sent_us=sent_us)))

    async def run(self) -> None:
        """Connect and receive until the connection breaks."""
        async with self._dial(self.target.address) as channel:
            try:
                # Messages must not count as sent before the connection is
                # established.
                await wait_connected(channel)
            except ConnectionError as exc:
                logger.info("cannot connect to %s: %s", self.target.agent_id, exc)
                return
            call = wire_grpc.AgentStub(channel).Dispatch(self._requests())
            try:
                async for event in call:
                    self._receive(event)
            except grpc.aio.AioRpcError as exc:
                logger.info(
                    "connection to %s lost: %s", self.target.agent_id, exc.details()
                )
            finally:
                call.cancel()
                # Ends the task of the call that consumes the requests.
                self._outbox.put_nowait(None)

    async def _requests(self) -> AsyncIterator[wire.DispatchRequest]:
        yield wire.DispatchRequest(hello=wire.EntryHello(entry_id=self._entry_id))
        while (request := await self._outbox.get()) is not None:
            if request.WhichOneof("body") == "open":
                self._mark_sent(request.open.dispatch_id)
            yield self._drain_credits() if request is _CREDITS_MARKER else request

    def _drain_credits(self) -> wire.DispatchRequest:
        credits = wire.Credits()
        for dispatch_id, tokens in self._credits.items():
            credits.credits.add(dispatch_id=dispatch_id, tokens=tokens)
        self._credits.clear()
        return wire.DispatchRequest(credits=credits)

    def _mark_sent(self, dispatch_id: str) -> None:
        stream = self.streams.get(dispatch_id)
        if stream is not None:
            stream.sent = True

    def _receive(self, event: wire.DispatchEvent) -> None:
        self.events_received += 1
        if event.HasField("load"):
            self._on_load(self.target.agent_id, event.load)
        if event.HasField("prefixes"):
            self._on_prefixes(self.target.agent_id, event.prefixes)
        for item in event.items:
            # Late items of a removed dispatch are ignored.
            stream = self.streams.get(item.dispatch_id)
            if stream is not None:
                _deliver(stream, item)


def _deliver(stream: DispatchStream, item: wire.DispatchItem) -> None:
    try:
        stream.deliver(item)
    except Exception:
        # One item that cannot be processed must not end the other dispatches.
        logger.exception("cannot process item of %s", stream.dispatch_id)
        stream.fail(
            WigeonscaleError(
                ErrorKind.INTERNAL,
                f"cannot process an item of {stream.dispatch_id}",
                run_state=RunState.UNKNOWN,
            )
        )
