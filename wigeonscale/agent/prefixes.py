"""Forwards the engine's prefix cache events to the entries."""

__all__ = ["PrefixFeed"]

import logging
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Sequence

from wigeonscale.errors import WigeonscaleError
from wigeonscale.ports import CacheEvent, Clock, Engine
from wigeonscale.routing import prefix_digest
from wigeonscale.routing.prefixes import RESET_GAP_EVENTS
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)

MAX_TRACKED_PROMPTS = 4096
"""Maximum number of dispatches whose prompt digest is kept to resolve events."""

MAX_HELD_PREFIXES = 1024
"""Maximum number of cached prefixes tracked; the engine may hold more."""

MAX_SNAPSHOT_EVENTS = 256
"""Maximum number of cached prefixes sent to a new stream, newest last."""

MAX_UNSENT_EVENTS = 256
"""Maximum number of events in one message.

If more are pending, the oldest are dropped; entries see a gap in the numbers.
"""


class PrefixFeed:
    """Translates cache events of the engine into events about prompt digests.

    The engine identifies a prefix by a name of its own and by the sequence that
    stored it; entries identify it by the digest of the prompt. The feed numbers its
    events and skips one number for each event the engine lost, so that entries
    detect every loss as a gap. After a restart of the engine all streams are reset.

    Args:
        engine: The engine.
        clock: Clock port.
        poll_s: Interval at which the engine is polled, in seconds.

    Notes:
        Constant time per event and stream; all memory is bounded.
    """

    def __init__(self, *, engine: Engine, clock: Clock, poll_s: float):
        self._engine = engine
        self._clock = clock
        self._poll_s = poll_s
        self._digests: OrderedDict[str, bytes] = OrderedDict()
        self._held: OrderedDict[str, wire.PrefixEvent] = OrderedDict()
        self._outboxes: set[PrefixOutbox] = set()
        self._is_failing = False
        self._last_number = 0
        self._last_engine_number = 0

    def track_prompt(self, dispatch_id: str, prompt: bytes) -> None:
        """Record the prompt of a starting dispatch, to resolve later events."""
        self._digests[dispatch_id] = prefix_digest(prompt)
        if len(self._digests) > MAX_TRACKED_PROMPTS:
            self._digests.popitem(last=False)

    def subscribe(self) -> "PrefixOutbox":
        """Return an outbox for a new stream, filled with the cached prefixes."""
        held = list(self._held.values())[-MAX_SNAPSHOT_EVENTS:]
        outbox = PrefixOutbox(held, number=self._last_number)
        self._outboxes.add(outbox)
        return outbox

    def unsubscribe(self, outbox: "PrefixOutbox") -> None:
        """Stop adding events to an outbox."""
        self._outboxes.discard(outbox)

    def reset(self) -> None:
        """Discard all cached prefixes, after the engine was lost or restarted."""
        self._held.clear()
        self._last_engine_number = 0
        for outbox in self._outboxes:
            outbox.reset(self._last_number)

    async def watch(self) -> None:
        """Poll the engine periodically until cancelled."""
        while True:
            await self._clock.sleep(self._poll_s)
            await self.poll()

    async def poll(self) -> None:
        """Poll the engine once and forward new events."""
        try:
            events = await self._engine.cache_events(self._last_engine_number)
        except WigeonscaleError as exc:
            if not self._is_failing:
                logger.info("polling the engine's cache events failed: %s", exc.message)
            self._is_failing = True
            return
        self._is_failing = False
        events.sort(key=lambda event: event.number)
        translated = [
            event for event in map(self._translate, events) if event is not None
        ]
        if translated:
            for outbox in self._outboxes:
                outbox.add(translated)

    def _translate(self, event: CacheEvent) -> wire.PrefixEvent | None:
        if event.number <= self._last_engine_number:
            return None
        lost = event.number - self._last_engine_number - 1
        # A gap of this size already makes entries discard what they know, so a larger
        # one adds no information.
        self._last_number += min(lost, RESET_GAP_EVENTS)
        self._last_engine_number = event.number
        if event.held:
            dispatch_id = event.sequence_id.rpartition("#")[0]
            digest = self._digests.get(dispatch_id, b"")
        else:
            known = self._held.pop(event.prefix, None)
            digest = known.digest if known is not None else b""
        if not digest:
            return None
        self._last_number += 1
        translated = wire.PrefixEvent(
            number=self._last_number, digest=digest, held=event.held
        )
        if event.held:
            self._held[event.prefix] = translated
            if len(self._held) > MAX_HELD_PREFIXES:
                self._held.popitem(last=False)
        return translated


class PrefixOutbox:
    """Bounded buffer of events not yet sent on one stream.

    Args:
        held: Events of the prefixes cached when the stream starts.
        number: Number of the newest event.

    Attributes:
        on_added: Called when there are events to send.
    """

    def __init__(self, held: Iterable[wire.PrefixEvent], *, number: int):
        self.on_added: Callable[[], None] = lambda: None
        self._full = True
        self._last_number = number
        self._unsent: deque[wire.PrefixEvent] = deque(held, maxlen=MAX_UNSENT_EVENTS)

    def add(self, events: Sequence[wire.PrefixEvent]) -> None:
        """Add events; the oldest are dropped if the buffer is full."""
        self._unsent.extend(events)
        self._last_number = events[-1].number
        self.on_added()

    def reset(self, number: int) -> None:
        """Discard pending events and start over with an empty full update."""
        self._unsent.clear()
        self._full = True
        self._last_number = number
        self.on_added()

    def pop_pending(self) -> wire.PrefixEvents | None:
        """Return and clear the pending events; None if there is nothing to send."""
        if not self._full and not self._unsent:
            return None
        events = wire.PrefixEvents(
            full=self._full, events=self._unsent, number=self._last_number
        )
        self._full = False
        self._unsent.clear()
        return events
