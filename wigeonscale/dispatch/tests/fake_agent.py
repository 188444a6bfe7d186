"""A fake agent on loopback whose answers are scripted by tests."""

__all__ = ["FakeAgent"]

import asyncio

from wigeonscale.adapters import new_server
from wigeonscale.dispatch import Target
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc as wire_grpc

WORDS = ("to ", "je ", "v ", "pořádku ", '"quoted" ', "a\n", "konec")


class FakeAgent(wire_grpc.AgentServicer):
    """Answers dispatches with ``WORDS``; tests change attributes or handlers.

    Attributes:
        seen: Messages received, as pairs of body name and body, in order.
        opened: Ids of accepted dispatches, in order.
        refusals: Refusals that the next dispatches get, in order.
        sealed: Ids of dispatches sealed before they started.
        accept: Whether new dispatches are accepted; they are ignored if not.
        hold: Number of tokens after which an answer waits for ``resume``; None for
            no wait.
        resume: Set to let held answers continue.
        deaf: Whether all messages received are ignored.
        muted: Numbers of the streams that neither receive nor send.
        streams: Number of streams opened so far.
        once_effects: Claim keys of the once-only work done, in order.
        words: Tokens of every generated answer.
    """

    def __init__(self, *, agent_id: str = "a1", incarnation: int = 1):
        self.agent_id = agent_id
        self.incarnation = incarnation
        self.seen: list[tuple[str, object]] = []
        self.opened: list[str] = []
        self.refusals: list[wire.Refused] = []
        self.sealed: set[str] = set()
        self.accept = True
        self.hold: int | None = None
        self.resume = asyncio.Event()
        self.ignores_messages = False
        self.muted: set[int] = set()
        self.streams = 0
        self.once_effects: list[str] = []
        self.words = WORDS
        self.call_answer: bytes | None = None
        self.changed = asyncio.Condition()
        self._outboxes: dict[int, asyncio.Queue] = {}
        self._answers: dict[str, list[asyncio.Task]] = {}
        self._tasks: set[asyncio.Task] = set()
        self._server = None
        self.target: Target | None = None

    async def start(self) -> None:
        """Listen on loopback."""
        self._server, address = new_server("127.0.0.1:0")
        wire_grpc.add_AgentServicer_to_server(self, self._server)
        await self._server.start()
        self.target = Target(self.agent_id, self.incarnation, address)

    async def stop(self) -> None:
        """Break every connection."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.stop(None)

    async def until(self, test) -> None:
        """Wait until a function of the agent returns true."""
        async with self.changed:
            async with asyncio.timeout(30):
                await self.changed.wait_for(lambda: test(self))

    def names(self) -> list[str]:
        """Return the names of the messages received, without pings and hellos."""
        return [name for name, _ in self.seen if name not in ("ping", "hello")]

    def mute_open_streams(self) -> None:
        """Make all open streams stop receiving and sending."""
        self.muted |= set(self._outboxes)

    async def Dispatch(self, requests, context):  # noqa: N802
        """Serve one stream."""
        number = self.streams
        self.streams += 1
        outbox = self._outboxes[number] = asyncio.Queue()
        receiver = asyncio.create_task(self._receive(requests, number))
        self._tasks.add(receiver)
        try:
            while True:
                event = await outbox.get()
                if number not in self.muted:
                    yield event
        finally:
            receiver.cancel()
            del self._outboxes[number]

    def send(self, number: int, dispatch_id: str, **body) -> None:
        """Queue one item on a stream."""
        item = wire.DispatchItem(dispatch_id=dispatch_id, **body)
        load = wire.LoadWord(running=1, slots=8)
        if number in self._outboxes:
            event = wire.DispatchEvent(items=[item], load=load)
            self._outboxes[number].put_nowait(event)

    async def _receive(self, requests, number: int) -> None:
        async for req in requests:
            if self.ignores_messages or number in self.muted:
                continue
            name = req.WhichOneof("body")
            body = getattr(req, name)
            async with self.changed:
                self.seen.append((name, body))
                self.changed.notify_all()
            getattr(self, f"on_{name}", lambda number, body: None)(number, body)

    def on_ping(self, number: int, ping: wire.Ping) -> None:
        """Answer a ping."""
        event = wire.DispatchEvent(pong_us=ping.sent_us)
        self._outboxes[number].put_nowait(event)

    def on_open(self, number: int, opening: wire.Open) -> None:
        """Accept, refuse or ignore a dispatch."""
        dispatch_id = opening.dispatch_id
        if dispatch_id in self.opened:
            self._answer_on(number, opening, 0)
            return
        if dispatch_id in self.sealed:
            refused = wire.Refused(kind="deadline-exceeded", run_state="not-run")
            self.send(number, dispatch_id, refused=refused)
            return
        if self.refusals:
            self.send(number, dispatch_id, refused=self.refusals.pop(0))
            return
        if not self.accept:
            return
        self.opened.append(dispatch_id)
        self.send(number, dispatch_id, accepted=wire.Accepted())
        if opening.once:
            self.once_effects.append(opening.claim_key)
        start = len(opening.generate.prefix)
        self._answer_on(number, opening, start)

    def on_attach(self, number: int, attach: wire.Attach) -> None:
        """Send the rest of an answer."""
        dispatch_id = attach.dispatch_id
        opening = next(
            (
                body
                for name, body in self.seen
                if name == "open" and body.dispatch_id == dispatch_id
            ),
            None,
        )
        if dispatch_id not in self.opened or opening is None:
            refused = wire.Refused(kind="not-found", run_state="unknown")
            self.send(number, dispatch_id, refused=refused)
            return
        self._answer_on(number, opening, attach.from_token)

    def on_seal(self, number: int, seal: wire.Seal) -> None:
        """Seal a dispatch, and report whether it has started."""
        never_ran = seal.dispatch_id not in self.opened
        if never_ran:
            self.sealed.add(seal.dispatch_id)
        self.send(number, seal.dispatch_id, sealed=wire.Sealed(never_ran=never_ran))

    def _answer_on(self, number: int, opening: wire.Open, start: int) -> None:
        task = asyncio.create_task(self._answer(number, opening, start))
        self._tasks.add(task)

    async def _answer(self, number: int, opening: wire.Open, start: int) -> None:
        dispatch_id = opening.dispatch_id
        if opening.WhichOneof("work") == "call":
            await self._hold_at(0)
            body = self.call_answer or b"did " + opening.call.path.encode()
            self.send(
                number, dispatch_id, response=wire.Response(status=200, body=body)
            )
            return
        for index in range(start, len(self.words)):
            await self._hold_at(index)
            self.send_token(number, dispatch_id, index)
        await self._hold_at(len(self.words))
        done = wire.Done(tokens=len(self.words), finish_reason="stop")
        self.send(number, dispatch_id, done=done)

    def send_token(self, number: int, dispatch_id: str, index: int) -> None:
        """Send one token."""
        run = wire.TokenRun(ids=[index], texts=[self.words[index]])
        setattr(run, "from", index)
        self.send(number, dispatch_id, tokens=run)

    async def _hold_at(self, index: int) -> None:
        if self.hold is not None and index >= self.hold:
            await self.resume.wait()
