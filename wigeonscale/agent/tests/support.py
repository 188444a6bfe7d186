"""Runs agents in this process on loopback, with fake engines and a fake control."""

__all__ = [
    "FaultInjectingEngine",
    "EntryClient",
    "FakeControl",
    "Node",
    "ReachableService",
    "connect",
    "make_chain",
    "start_chain",
    "start_service",
    "until",
]

import asyncio
import itertools
import types

from reactivex.subject import Subject

from wigeonscale.adapters.channels import new_server, open_channel
from wigeonscale.agent import Agent, BackendState, OrderExecutor
from wigeonscale.config import AgentSettings
from wigeonscale.ports import EngineInfo, SystemClock
from wigeonscale.testing import rpcs_ended
from wigeonscale.testing.fake_engine import FakeEngine
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc

LAYERS_PER_STAGE = 2


async def until(condition):
    """Poll until a condition holds; fail after 30 s."""
    async with asyncio.timeout(30):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.002)


class FaultInjectingEngine(FakeEngine):
    """Fake engine that awaits ``on_fault`` once, at a given token position.

    Attributes:
        fault_position: Position of the step at which the fault occurs, or None.
        fault_after_run: Whether the fault occurs after the step has run, not before.
        on_fault: Coroutine function that causes the fault.
    """

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self.fault_position = None
        self.fault_after_run = False
        self.on_fault = None

    async def run(self, steps):
        due = any(s.position == self.fault_position for s in steps)
        if due and not self.fault_after_run:
            await self._inject_fault()
        results = await super().run(steps)
        if due and self.fault_after_run:
            await self._inject_fault()
        return results

    async def _inject_fault(self):
        self.fault_position = None
        await self.on_fault()


class ReachableService:
    """Base class of fake plain services whose probes always succeed."""

    async def probe(self):
        """Succeed, as a reachable service does."""


class FakeControl:
    """In-memory replacement of the control client, shared by the agents of a test."""

    def __init__(self):
        self.changes = Subject()
        self.members = types.SimpleNamespace(chains={}, backends={})
        self.document = types.SimpleNamespace(organisations={}, services={})
        self.has_lease = True
        self.suspected: list[str] = []
        self.outcomes: list[wire.Outcome] = []
        self.position = (1, 1)
        self.announced = 0
        self.on_suspect = lambda agent_id: None

    def lease_valid(self):
        return self.has_lease

    def announce_changed(self):
        self.announced += 1

    def suspect(self, agent_id, incarnation):
        self.suspected.append(agent_id)
        self.on_suspect(agent_id)

    async def floor(self):
        return self.position

    async def submit(self, command, timeout_s=3.0):
        self.outcomes.append(command.outcome)
        return wire.CommandResult()

    def set_chain(self, chain):
        self.members.chains[chain.chain_id] = chain
        self.changes.on_next("members")


class Node:
    """One agent with its gRPC server."""

    def __init__(self, *, name, control, engine=None, service=None, **settings):
        self.name = name
        self.engine = engine
        self.server, self.address = new_server("127.0.0.1:0")
        clock = settings.pop("clock", SystemClock())
        links = settings.pop("links", {})
        dial = settings.pop("dial", open_channel)
        cfg = AgentSettings(
            name=name,
            domain="d",
            http="127.0.0.1:1",
            grpc=self.address,
            control=("127.0.0.1:1",),
            kind="engine" if engine else "service",
            backend="http://127.0.0.1:1",
            service="" if engine else "directory",
            **settings,
        )
        self.state = BackendState(
            base=wire.Backend(agent_id=name, address=self.address),
            engine=engine,
            service=service,
            clock=clock,
            probe_s=0.05,
        )
        self.agent = Agent(
            cfg=cfg,
            control=control,
            clock=clock,
            state=self.state,
            dial=dial,
            engine=engine,
            service=service,
            **links,
        )
        self.orders = OrderExecutor(
            state=self.state, engine=engine, floor=control.floor
        )
        self.state.on_changed = self.agent.announcement_changed
        self._tasks = []

    async def start(self):
        wire_pb2_grpc.add_AgentServicer_to_server(self.agent.servicer, self.server)
        await self.state.probe()
        await self.server.start()
        self._tasks = [
            asyncio.create_task(self.agent.run()),
            asyncio.create_task(self.state.watch()),
        ]

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.server.stop(grace=None)
        await self.agent.close()

    async def kill(self):
        """Close all connections at once, without notifying the peers."""
        await self.server.stop(grace=None)

    def stage(self, number):
        first = number * LAYERS_PER_STAGE
        return wire.Stage(
            agent_id=self.name,
            incarnation=self.state.incarnation,
            address=self.address,
            first_layer=first,
            last_layer=first + LAYERS_PER_STAGE - 1,
        )


class EntryClient:
    """Client of one dispatch stream that records all received items."""

    def __init__(self, node):
        self.node = node
        self.events: list[wire.DispatchEvent] = []
        self._ids = itertools.count(1)
        self._items: dict[str, list[wire.DispatchItem]] = {}
        self._changed = asyncio.Condition()
        self._channel = open_channel(node.address)
        self._stream = wire_pb2_grpc.AgentStub(self._channel).Dispatch()
        self._reader = asyncio.create_task(self._read())

    async def send(self, **body):
        await self._stream.write(wire.DispatchRequest(**body))

    async def generate(self, chain, prompt, max_tokens, *, dispatch_id="", **fields):
        dispatch_id = dispatch_id or f"g{next(self._ids)}@{self.node.name}"
        work = wire.Generate(chain=chain, prompt=prompt, max_tokens=max_tokens)
        work.prefix.extend(fields.pop("prefix", []))
        await self.open(dispatch_id, generate=work, **fields)
        return dispatch_id

    async def open(self, dispatch_id, **fields):
        fields.setdefault("agent_incarnation", self.node.state.incarnation)
        fields.setdefault("organisation", "o1")
        await self.send(open=wire.Open(dispatch_id=dispatch_id, **fields))

    def items(self, dispatch_id):
        return self._items.get(dispatch_id, [])

    def kinds(self, dispatch_id):
        return [item.WhichOneof("body") for item in self.items(dispatch_id)]

    def texts(self, dispatch_id):
        """Return the token texts; fail on a missing or repeated index."""
        texts = []
        for item in self.items(dispatch_id):
            if item.WhichOneof("body") == "tokens":
                start = getattr(item.tokens, "from")
                if texts and start != self._next:
                    raise AssertionError(f"token {start}, expected {self._next}")
                texts += item.tokens.texts
                self._next = start + len(item.tokens.texts)
        return texts

    async def wait(self, condition):
        async with asyncio.timeout(30), self._changed:
            await self._changed.wait_for(condition)

    async def end(self, dispatch_id):
        """Wait for the last item of a dispatch and return it."""
        last = {"done", "response", "refused", "sealed"}
        await self.wait(lambda: last & set(self.kinds(dispatch_id)[-1:]))
        return self.items(dispatch_id)[-1]

    def on_item(self, item):
        """Process a received item; for subclasses to override."""

    async def close(self):
        self._reader.cancel()
        await asyncio.gather(self._reader, return_exceptions=True)
        self._stream.cancel()
        await self._channel.close()

    async def _read(self):
        async for event in self._stream:
            async with self._changed:
                self.events.append(event)
                for item in event.items:
                    self.on_item(item)
                    self._items.setdefault(item.dispatch_id, []).append(item)
                self._changed.notify_all()


async def start_chain(
    case,
    *,
    stages=3,
    spares=0,
    trace=None,
    step_s=0.0,
    sequence_s=0.0,
    position_s=0.0,
    **settings,
):
    """Start agents with loaded engines; return control, nodes and the chain."""
    case.addCleanup(rpcs_ended)
    control = settings.pop("control", None) or FakeControl()
    nodes = []
    for number in range(stages + spares):
        stage = number if number < stages else settings.get("spare_stage", 1)
        engine = FaultInjectingEngine(
            name=f"a{number}",
            info=EngineInfo(
                model="m",
                first_layer=stage * LAYERS_PER_STAGE,
                last_layer=(stage + 1) * LAYERS_PER_STAGE - 1,
            ),
            step_s=step_s,
            sequence_s=sequence_s,
            position_s=position_s,
            trace=trace,
        )
        options = {k: v for k, v in settings.items() if k != "spare_stage"}
        node = Node(name=f"a{number}", control=control, engine=engine, **options)
        await node.start()
        case.addCleanup(node.stop)
        nodes.append(node)
    chain = make_chain(nodes[:stages], epoch=1)
    control.set_chain(chain)
    return control, nodes, chain


def make_chain(nodes, *, epoch):
    stages = [node.stage(number) for number, node in enumerate(nodes)]
    return wire.Chain(
        chain_id="c1", pipeline="p", epoch=epoch, stages=stages, model="m", ready=True
    )


async def start_service(case, service, **settings):
    case.addCleanup(rpcs_ended)
    control = FakeControl()
    node = Node(name="s0", control=control, service=service, **settings)
    await node.start()
    case.addCleanup(node.stop)
    return control, node


async def connect(case, node):
    client = EntryClient(node)
    case.addCleanup(client.close)
    return client
