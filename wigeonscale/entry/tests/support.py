"""An entry on loopback with a fake control and fake agents."""

__all__ = ["EntryCase", "FakeControl", "KEY", "RULES", "read_events", "texts_of"]

import asyncio
import json

import aiohttp

from wigeonscale.config import EntrySettings
from wigeonscale.daemons.entry import build_entry
from wigeonscale.dispatch import KeepaliveLimits
from wigeonscale.dispatch.tests.fake_agent import FakeAgent
from wigeonscale.entry import CallerServer
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.membership import MembersView
from wigeonscale.ports import SystemClock
from wigeonscale.rules import Ruleset, parse_document
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire

KEY = "key-of-korrektur"
RULES = f"""\
[organisation korrektur]
keys = {KEY}

[organisation vltava]
keys = key-of-vltava
concurrency = 1

[pipeline proof]
model = proof-12
layers = 12

[service directory]

[rule closed]
when = path under /closed
then = refuse because it is closed

[rule billed]
when = model is proof-12 and header X-Billed is yes
then = route pipeline proof
repeat = never

[rule notes]
when = path under /notes
then = route service directory
repeat = never

[rule lookups]
when = path under /lookup
then = route service directory

[rule proof]
when = model is proof-12
then = route pipeline proof
"""


class FakeControl:
    """Rules, members and claims in memory."""

    def __init__(self):
        self.document = parse_document(RULES)
        self.ruleset = Ruleset.from_document(self.document)
        self.members = MembersView()
        self.suspected: list[str] = []
        self.suspicion = asyncio.Event()
        self.claims: dict[tuple[str, str], wire.ClaimRecord] = {}
        self.lease = True
        self.entries = 1

    def lease_valid(self) -> bool:
        """Return whether the entry has a valid lease."""
        return self.lease

    def suspect(self, agent_id: str, incarnation: int) -> None:
        """Record a suspicion."""
        self.suspected.append(agent_id)
        self.suspicion.set()

    async def submit(self, command, timeout_s=3.0) -> wire.CommandResult:
        """Execute a claim or an outcome."""
        if command.WhichOneof("body") == "outcome":
            return self._end(command.outcome)
        claim = command.claim
        existing = self.claims.get((claim.organisation, claim.key))
        if existing is None and not claim.agent_id:
            raise WigeonscaleError(ErrorKind.STALE_INCARNATION, "no such agent")
        if existing is None:
            record = wire.ClaimRecord(claim=claim, state=wire.CLAIMED)
            self.claims[claim.organisation, claim.key] = record
            return wire.CommandResult(claim=record, granted=True)
        if existing.claim.digest != claim.digest:
            raise WigeonscaleError(ErrorKind.IDEMPOTENCY_KEY_REUSED, claim.key)
        return wire.CommandResult(claim=existing, granted=False)

    def _end(self, outcome: wire.Outcome) -> wire.CommandResult:
        existing = self.claims.get((outcome.organisation, outcome.key))
        same = existing and existing.claim.dispatch_id == outcome.dispatch_id
        if same and outcome.not_run:
            del self.claims[outcome.organisation, outcome.key]
        return wire.CommandResult()

    def record_loss(self, agent: FakeAgent) -> None:
        """Announce that an agent has lost its backend server once more."""
        backend = wire.Backend()
        backend.CopyFrom(self.members.backends[agent.agent_id])
        backend.losses += 1
        self.members.apply(
            wire.MembersUpdate(index=self.members.index + 1, backends=[backend])
        )

    def add(self, agent: FakeAgent, kind: int = wire.ENGINE) -> None:
        """Add an agent as a member: as a one-stage chain or as a plain service."""
        target = agent.target
        backend = wire.Backend(
            agent_id=target.agent_id,
            incarnation=target.incarnation,
            address=target.address,
            kind=kind,
            service="directory" if kind == wire.SERVICE else "",
        )
        stage = wire.Stage(
            agent_id=target.agent_id,
            incarnation=target.incarnation,
            address=target.address,
            last_layer=11,
        )
        chain = wire.Chain(
            chain_id=f"chain-{target.agent_id}",
            pipeline="proof",
            epoch=1,
            stages=[stage],
            ready=True,
            rate=100.0,
        )
        chains = [chain] if kind == wire.ENGINE else []
        self.members.apply(
            wire.MembersUpdate(
                index=self.members.index + 1, backends=[backend], chains=chains
            )
        )


class EntryCase(AsyncTestCase):
    """Starts one entry, one engine agent and one service agent."""

    entry_settings: dict[str, object] = {}

    async def prepare(self) -> None:
        """Start the agents, the entry and an HTTP client."""
        self.control = FakeControl()
        self.agent = await self.start_agent("a1")
        self.service = await self.start_agent("s1", wire.SERVICE)
        cfg = EntrySettings(
            name="e1",
            domain="here",
            http="127.0.0.1:0",
            listen="127.0.0.1:0",
            control=(),
            **self.entry_settings,
        )
        self.entry = build_entry(
            cfg,
            control=self.control,
            clock=SystemClock(),
            keepalive=KeepaliveLimits(interval_s=0.05, reconnect_checks=400),
        )
        self.server = CallerServer(entry=self.entry, address=cfg.listen)
        await self.server.start()
        self.addCleanup(self.server.close)
        self.http = aiohttp.ClientSession(
            base_url=f"http://{self.server.address}",
            headers={"Authorization": f"Bearer {KEY}"},
            # A connection that was broken by a bad request must not be reused.
            connector=aiohttp.TCPConnector(force_close=True),
            timeout=aiohttp.ClientTimeout(total=30),
        )
        self.addCleanup(self.http.close)

    async def start_agent(self, agent_id: str, kind: int = wire.ENGINE) -> FakeAgent:
        """Start a fake agent and add it as a member."""
        agent = FakeAgent(agent_id=agent_id)
        await agent.start()
        self.addCleanup(agent.stop)
        self.control.add(agent, kind)
        return agent

    def complete(self, *, stream: bool = False, headers=None, **body):
        """Return the context manager of one completion request."""
        body = {"model": "proof-12", "prompt": "hello", "stream": stream, **body}
        return self.http.post("/v1/completions", json=body, headers=headers or {})


async def read_events(answer: aiohttp.ClientResponse) -> list[dict]:
    """Return the events of a stream as dicts of their fields."""
    text = (await answer.read()).decode()
    events = []
    for block in text.split("\n\n"):
        fields = dict(line.split(": ", 1) for line in block.splitlines())
        if "data" in fields and fields["data"] != "[DONE]":
            fields["data"] = json.loads(fields["data"])
        if fields:
            events.append(fields)
    return events


def texts_of(events: list[dict]) -> list[str]:
    """Return the token texts of a stream's events."""
    chunks = [event["data"] for event in events if "id" in event]
    return [chunk["choices"][0]["text"] for chunk in chunks]
