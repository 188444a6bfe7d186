"""Entries that share a retry budget through one control replica, for tests."""

import asyncio
import random
from collections import deque

from wigeonscale.control import Commands, EntryCounter, RetryLedger
from wigeonscale.control.tests.support import LEASE_S, ControlFixture
from wigeonscale.direct import ReservedRetries, RetryShare, SharedRetryBudget
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.membership import hold_retry_share_command, reserve_retries_command
from wigeonscale.testing import ManualClock
from wigeonscale.wire import wire_pb2 as wire

WINDOW_S = 10.0
STEP_S = 0.1
RATIO = 0.1
HEARTBEAT_STEPS = 5
REQUEST_STEPS = 2
US_PER_S = 1_000_000
# Latency of a command and of its answer, in seconds.
LATENCY_S = (0.005, 0.15)


class EntryProcess:
    """One start of an entry."""

    def __init__(self, cluster, name):
        self.cluster = cluster
        self.name = name
        self.is_cut = False
        self.watcher = None
        self.process = cluster.rng.getrandbits(62)
        self.entries = 1
        self.share_holders = None
        self.confirmed_at = None
        self.share = RetryShare(
            clock=cluster.clock,
            hold=self._hold,
            holders=lambda: self.share_holders,
            confirmed_at=lambda: self.confirmed_at,
            window_s=WINDOW_S,
            rng=cluster.rng,
        )
        self._share_task = asyncio.create_task(self.share.run())
        self.reserved = ReservedRetries(clock=cluster.clock, reserve=self._reserve)
        self.budget = SharedRetryBudget(
            clock=cluster.clock,
            ratio=RATIO,
            slack=cluster.slack,
            window_s=WINDOW_S,
            entry_count=lambda: self.entries,
            reserved=self.reserved,
            share=self.share,
        )

    async def _reserve(self, service, count, limit):
        command = reserve_retries_command(
            service, count=count, limit=limit, window_s=WINDOW_S + 2.0
        )
        return (await self._submit(command)).reserved

    async def _hold(self, sequence, parts, release_s):
        command = hold_retry_share_command(
            self.name,
            process=self.process,
            sequence=sequence,
            parts=parts,
            release_s=release_s,
        )
        return (await self._submit(command)).share_parts

    async def _submit(self, command):
        clock, rng = self.cluster.clock, self.cluster.rng
        await clock.sleep(rng.uniform(*LATENCY_S))
        if self.is_cut:
            await clock.sleep(1.0)
            raise WigeonscaleError(ErrorKind.NO_QUORUM, "cut off")
        result = await self.cluster.commands.submit(command)
        await clock.sleep(rng.uniform(*LATENCY_S))
        if self.is_cut or rng.random() < self.cluster.lost_fraction:
            raise WigeonscaleError(ErrorKind.NO_QUORUM, "answer lost")
        return result

    def heartbeat(self):
        if self.is_cut:
            return
        clock, hub = self.cluster.clock, self.cluster.fixture.hub
        if self.watcher is None:
            self.watcher = self.cluster.fixture.watcher(self.name)
        self.watcher.last_message_at = clock.now()
        self.watcher.loads = wire.Loads(
            sends=[
                wire.ServiceSends(service=name, requests=requests, further=further)
                for name, (requests, further) in self.budget.report_sends().items()
            ]
        )
        heartbeat = wire.Heartbeat(sent_us=int(clock.now() * US_PER_S))
        self.watcher.pending_heartbeat = (heartbeat, clock.now())
        for event in hub.pending_events(self.watcher):
            if event.HasField("lease"):
                self._apply_grant(event.lease)

    def _apply_grant(self, grant):
        self.confirmed_at = grant.echo_us / US_PER_S
        self.entries = max(1, grant.entries or self.entries)
        self.share_holders = grant.share_holders
        self.budget.apply_totals(
            {each.service: (each.requests, each.further) for each in grant.loads.sends}
        )

    def detach(self):
        if self.watcher is not None:
            self.cluster.fixture.hub.remove(self.watcher)
            self.watcher = None

    async def stop(self):
        self.detach()
        self._share_task.cancel()
        await asyncio.gather(self._share_task, return_exceptions=True)
        await self.reserved.close()


class RetryCluster:
    """Plays entries, one control replica and their shared budget.

    Args:
        slack: Retries of all entries together, besides the ratio.
        entries: Number of entries at the start.
        seed: Seed of the order of the entries, of latencies and of lost answers.
        lost_fraction: Fraction of the answers to commands that are lost.

    Attributes:
        entries: Running entries by name.
        highest: Largest part of the budget used in any window.
        retries_by_name: Retries of each entry so far.
    """

    def __init__(self, *, slack=198, entries=5, seed=1, lost_fraction=0.0):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.slack = slack
        self.lost_fraction = lost_fraction
        self.fixture = ControlFixture(clock=self.clock)
        ledger = RetryLedger(
            state=self.fixture.state, replica=self.fixture.replica, clock=self.clock
        )
        self.commands = Commands(
            replica=self.fixture.replica,
            addresses=["127.0.0.1:1"],
            clock=self.clock,
            retry_ledger=ledger,
        )
        counter = EntryCounter(
            node_id="c1",
            state=self.fixture.state,
            replica=self.fixture.replica,
            hub=self.fixture.hub,
            commands=self.commands,
            clock=self.clock,
            entry_timeout_s=LEASE_S,
            replica_timeout_s=2 * LEASE_S,
        )
        self._tasks = [asyncio.create_task(each.run()) for each in (ledger, counter)]
        self.entries = {}
        self.add(*(f"e{number}" for number in range(entries)))
        self.highest = 0.0
        self.retries_by_name = {}
        self._step = 0
        self._requests = deque()
        self._retries = deque()

    def add(self, *names):
        """Start entries."""
        for name in names:
            self.entries[name] = EntryProcess(self, name)

    async def restart(self, *names):
        """End entries without notice and start them again."""
        for name in names:
            await self.end(name)
            self.add(name)

    async def end(self, *names):
        """End entries without notice."""
        for name in names:
            await self.entries.pop(name).stop()

    async def stop(self, *names):
        """End entries that give up their share."""
        for name in names:
            share = asyncio.create_task(self.entries[name].share.end())
            await self.play(1.0, wants=lambda name: name not in names)
            await share
            await self.end(name)

    def cut(self, *names):
        """Cut entries off from control."""
        for name in names:
            self.entries[name].is_cut = True

    def join(self, *names):
        """Connect entries to control again."""
        for name in names:
            self.entries[name].is_cut = False
            self.entries[name].detach()

    async def play(self, seconds, *, wants=lambda name: True):
        """Play some time; ``wants`` tells which entries want every retry."""
        for _ in range(round(seconds / STEP_S)):
            self._step += 1
            now = self.clock.now()
            names = list(self.entries)
            for number, name in enumerate(names):
                entry = self.entries[name]
                if (self._step + number) % HEARTBEAT_STEPS == 0:
                    entry.heartbeat()
                if (self._step + number) % REQUEST_STEPS == 0:
                    entry.budget.record("s")
                    self._requests.append(now)
            for name in self.rng.sample(names, len(names)):
                budget = self.entries[name].budget
                while wants(name) and budget.try_spend("s"):
                    self._retries.append(now)
                    spent = self.retries_by_name.get(name, 0)
                    self.retries_by_name[name] = spent + 1
            for times in (self._requests, self._retries):
                while times and times[0] < now - WINDOW_S:
                    times.popleft()
            budget = RATIO * len(self._requests) + self.slack
            self.highest = max(self.highest, len(self._retries) / budget)
            await self.clock.advance(STEP_S)

    async def close(self):
        """End all entries and control."""
        await self.end(*self.entries)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.commands.close()
        self.fixture.hub.close()
