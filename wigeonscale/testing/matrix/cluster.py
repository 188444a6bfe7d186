"""A small in-process deployment of control, entries, agents and fake backends."""

__all__ = ["KEY", "LAYERS", "MODEL", "Cluster", "rules_text", "wait_until"]

import asyncio
import itertools
import os
import pathlib
import socket
import time
from collections.abc import Callable

import aiohttp

from wigeonscale.config import AgentSettings, ControlSettings, EntrySettings, Peer
from wigeonscale.ports import EngineInfo
from wigeonscale.testing.fake_service import serve_service
from wigeonscale.testing.matrix.backends import Moment, Recorder, RecordingEngine
from wigeonscale.testing.matrix.nodes import AgentNode, ControlNode, EntryNode
from wigeonscale.testing.matrix.relay import ANY_SOURCE, CALLERS, Network

WAIT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.02
KEY = "matrix-key"
MODEL = "proof-12"
LAYERS = 12
LAYERS_PER_ENGINE = 4
ENGINES = 5
SERVICES = 2
CONTROLS = ("c1", "c2", "c3")
ENTRIES = ("e1", "e2")
DOMAINS = ("hall-a", "hall-b", "hall-c")
SNAPSHOT_ENTRIES = 40

_counter = itertools.count(1)


def rules_text(note: str) -> str:
    """Return a rules document that is made unique by a note."""
    return f"""\
[organisation matrix]
keys = {KEY}

[pipeline proof]
model = {MODEL}
layers = {LAYERS}
replicas = 1

[service directory]

[rule closed]
when = path under /closed
then = refuse because {note}

[rule notes]
when = path under /notes
then = route service directory
repeat = never

[rule lookups]
when = path under /lookup
then = route service directory

[rule billed]
when = model is {MODEL} and header X-Billed is yes
then = route pipeline proof
repeat = never

[rule proof]
when = model is {MODEL}
then = route pipeline proof
"""


async def wait_until(condition: Callable[[], object], description: str = "") -> None:
    """Poll until a condition holds.

    Args:
        condition: Called at every poll.
        description: What is awaited, for the error message.

    Raises:
        TimeoutError: The condition did not hold within ``WAIT_TIMEOUT_S``.
    """
    try:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():  # noqa: ASYNC110 (no single event)
                await asyncio.sleep(POLL_INTERVAL_S)
    except TimeoutError:
        raise TimeoutError(
            f"timed out after {WAIT_TIMEOUT_S:g} s waiting for {description}"
        ) from None


def free_address() -> str:
    """Return a free ``ip:port`` on a loopback IP that is unique to this process."""
    number = next(_counter)
    high, low = divmod(os.getpid(), 200)
    host = f"127.{20 + low}.{high % 250}.{1 + number % 250}"
    with socket.socket() as sock:
        sock.bind((host, 0))
        return f"{host}:{sock.getsockname()[1]}"


class Cluster:
    """Three control replicas, two entries, five engines and two plain services.

    Attributes:
        net: Relays between the nodes, for network faults.
        recorder: Records the work of the backend servers.
        controls: Control replicas by name.
        entries: Entries by name.
        agents: Agents by name.
        accepted: Monotonic time and number of each accepted revision.

    Args:
        folder: Parent of the data folders.
    """

    def __init__(self, *, folder: str):
        self.net = Network()
        self.recorder = Recorder()
        self.controls: dict[str, ControlNode] = {}
        self.entries: dict[str, EntryNode] = {}
        self.agents: dict[str, AgentNode] = {}
        self.accepted: list[tuple[float, int]] = []
        self.http: aiohttp.ClientSession | None = None
        self._folder = pathlib.Path(folder)
        self._grpc: dict[str, str] = {}
        self._service_runners = []

    @property
    def nodes(self) -> dict[str, ControlNode | EntryNode | AgentNode]:
        """All nodes, by name."""
        return self.controls | self.entries | self.agents

    async def start(self) -> None:
        """Start every node."""
        timeout = aiohttp.ClientTimeout(total=WAIT_TIMEOUT_S)
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        self.http = aiohttp.ClientSession(timeout=timeout, connector=connector)
        self._grpc = {name: free_address() for name in CONTROLS}
        for name in CONTROLS:
            await self.net.add(ANY_SOURCE, name, self._grpc[name])
        for number, name in enumerate(CONTROLS):
            self.controls[name] = await self._control(name, number)
        for number in range(ENGINES):
            await self._add_engine(f"a{number}", number)
        for number in range(SERVICES):
            await self._add_service(f"s{number}", number)
        for number, name in enumerate(ENTRIES):
            self.entries[name] = await self._entry(name, number)
        for node in self.nodes.values():
            await node.start()

    async def close(self) -> None:
        """Kill every node and release all resources."""
        self.recorder.hook = None
        for node in self.nodes.values():
            self.net.kill(node.name)
        for node in self.nodes.values():
            await node.kill()
        await self.net.close()
        for runner in self._service_runners:
            await runner.cleanup()
        await self.http.close()

    def leader(self) -> ControlNode | None:
        """Return the leader if it is up to date, else None."""
        for node in self.controls.values():
            daemon = node.daemon
            if daemon and daemon.replica.role == "leader" and daemon.is_ready():
                return node
        return None

    def ready_stages(self):
        """Return the stages of the pipeline's first ready chain, or an empty list."""
        leader = self.leader()
        chains = leader.daemon.state.chains if leader else []
        ready = [chain for chain in chains if chain.ready]
        return list(ready[0].stages) if ready else []

    def entry_url(self, name: str) -> str:
        """Return the base URL of an entry for callers."""
        return f"http://{self.net.between(CALLERS, name).address}"

    def record_accepted(self, revision: int) -> None:
        """Record that an operator was told that a revision was accepted."""
        self.accepted.append((time.monotonic(), revision))

    def revision(self) -> int:
        """Return the newest revision known to an up-to-date replica."""
        fresh = [n.daemon for n in self.controls.values() if n.daemon]
        revisions = [d.state.configuration.revision for d in fresh if d.is_ready()]
        return max(revisions, default=0)

    async def kill(self, name: str) -> None:
        """Kill a node and reset its connections."""
        self.net.kill(name)
        await self.nodes[name].kill()

    async def restart(self, name: str) -> None:
        """Restart a stopped node and restore its network links."""
        self.net.heal(name)
        await self.nodes[name].start()

    async def _control(self, name: str, number: int) -> ControlNode:
        peers = [Peer(p, self.net.between(ANY_SOURCE, p).address) for p in CONTROLS]
        dial_addresses = {peer.address: peer.address for peer in peers}
        for peer in peers:
            if peer.name != name:
                dial_addresses[peer.address] = await self.net.add(
                    name, peer.name, self._grpc[peer.name]
                )
        cfg = ControlSettings(
            name=name,
            domain=DOMAINS[number % len(DOMAINS)],
            http=free_address(),
            grpc=self._grpc[name],
            data=str(self._folder / name),
            peers=tuple(peers),
            snapshot_entries=SNAPSHOT_ENTRIES,
        )
        return ControlNode(cfg=cfg, dial_addresses=dial_addresses)

    async def _add_control_relays(self, name: str) -> tuple[str, ...]:
        return tuple(
            [await self.net.add(name, peer, self._grpc[peer]) for peer in CONTROLS]
        )

    async def _entry(self, name: str, number: int) -> EntryNode:
        cfg = EntrySettings(
            name=name,
            domain=DOMAINS[number % len(DOMAINS)],
            http="127.0.0.1:0",
            listen=free_address(),
            control=await self._add_control_relays(name),
        )
        await self.net.add(CALLERS, name, cfg.listen)
        return EntryNode(cfg=cfg)

    async def _agent_settings(self, name: str, number: int, **kwargs) -> AgentSettings:
        return AgentSettings(
            name=name,
            domain=DOMAINS[number % len(DOMAINS)],
            http="127.0.0.1:0",
            grpc=free_address(),
            control=await self._add_control_relays(name),
            **kwargs,
        )

    async def _add_engine(self, name: str, number: int) -> None:
        cfg = await self._agent_settings(
            name, number, kind="engine", backend="http://127.0.0.1:1"
        )
        info = EngineInfo(
            model=MODEL,
            accelerator="generic",
            layer_rate=1000.0,
            layer_capacity=LAYERS_PER_ENGINE,
            slots=32,
            checks_fencing=number % 2 == 1,
            link_rate=10000.0,
        )
        engine = RecordingEngine(recorder=self.recorder, name=name, info=info)
        advertised_address = await self.net.add(ANY_SOURCE, name, cfg.grpc)
        self.agents[name] = AgentNode(
            cfg=cfg, advertised_address=advertised_address, engine=engine
        )

    async def _add_service(self, name: str, number: int) -> None:
        runner, url = await serve_service(
            name="directory",
            trace=self.recorder.effects.append,
            before_answer=lambda: self.recorder.notify(Moment(step="call", node=name)),
        )
        self._service_runners.append(runner)
        cfg = await self._agent_settings(
            name, number, kind="service", service="directory", backend=url
        )
        advertised_address = await self.net.add(ANY_SOURCE, name, cfg.grpc)
        self.agents[name] = AgentNode(cfg=cfg, advertised_address=advertised_address)
