"""Replicated log: syncs, messages and time per entry against plain variants.

Three replicas over gRPC on loopback with their logs on disk. Each of the two ideas
taken from the MicroRaft article on log replication (Kahveci, "Log replication in
MicroRaft", 2023) is measured against the log without it:

* one outstanding append per follower, so that batches grow with the load, against
  one entry an append;
* the leader's sync beside replication, against a sync before sending.
"""

__all__ = ["measure"]

import asyncio
import random
import statistics
import tempfile
import time
from dataclasses import dataclass

from bench.report import Figure
from wigeonscale.adapters.channels import new_server
from wigeonscale.ports import SystemClock
from wigeonscale.replication import (
    DiskFolder,
    GrpcTransport,
    Member,
    NotLeaderError,
    Replica,
    ReplicaOptions,
    ReplicationServicer,
    Role,
)
from wigeonscale.wire.wire_pb2_grpc import add_ReplicationServicer_to_server

NAMES = ("a", "b", "c")
FOLLOWERS = len(NAMES) - 1
ENTRY = bytes(300)
ENTRIES = 500
BUSY = 64  # proposals at once
ROUNDS = 3  # of each variant, taken in turn; the median counts
MS = 1000

VARIANTS = {
    "kept": ReplicaOptions(),
    "plain_batch": ReplicaOptions(batch_entries=1),
    "plain_sync": ReplicaOptions(sync_before_send=True),
}


@dataclass(frozen=True, slots=True)
class Run:
    """What one run of one variant cost.

    Attributes:
        syncs: Syncs of the leader's log per entry.
        messages: Appends to each follower per entry.
        commit_ms: Median time from proposal to answer, in milliseconds.
        entries_s: Entries committed a second.
    """

    syncs: float
    messages: float
    commit_ms: float
    entries_s: float


class CountingLinks:
    """Links over gRPC that count the appends with entries.

    Attributes:
        appends: Appends so far.
    """

    def __init__(self):
        self._links = GrpcTransport()
        self.appends = 0

    def connect(self, address):
        """Return a counting link to ip:port."""
        link = self._links.connect(address)
        append = link.append

        async def counted(req):
            self.appends += 1
            return await append(req)

        link.append = counted
        return link


class NullMachine:
    """A state machine without a state."""

    def apply(self, index, term, data):
        """Return the index."""
        return index

    def snapshot(self):
        """Return nothing."""
        return b""

    def restore(self, data):
        """Take nothing."""


def measure() -> list[Figure]:
    """Measure every variant idle (one proposal at a time) and busy.

    Returns:
        Figures; bounds stand on counts only, times are reported.
    """
    figures = []
    for load, at_once in (("idle", 1), ("busy", BUSY)):
        runs = {name: [] for name in VARIANTS}
        for _ in range(ROUNDS):
            for name, options in VARIANTS.items():
                runs[name].append(asyncio.run(_run(options, at_once)))
        for name in VARIANTS:
            figures += _figures(f"replication/{load}/{name}", runs[name], load, name)
    return figures


def _figures(prefix, runs, load, name):
    bounded = load == "busy" and name == "kept"
    high = 0.25 if bounded else None
    return [
        Figure(f"{prefix}/syncs", _median(runs, "syncs"), "per entry", high=high),
        Figure(f"{prefix}/messages", _median(runs, "messages"), "per entry", high=high),
        Figure(f"{prefix}/commit", _median(runs, "commit_ms"), "ms"),
        Figure(f"{prefix}/rate", _median(runs, "entries_s"), "entries/s"),
    ]


def _median(runs, field):
    return statistics.median(getattr(run, field) for run in runs)


async def _run(options, at_once):
    with tempfile.TemporaryDirectory() as root:
        bound = {name: new_server("127.0.0.1:0") for name in NAMES}
        members = [Member(name, bound[name][1]) for name in NAMES]
        links = CountingLinks()
        replicas = []
        tasks = []
        for seed, name in enumerate(NAMES):
            server, address = bound[name]
            replica = Replica(
                node_id=name,
                address=address,
                initial_members=members,
                folder=DiskFolder(path=f"{root}/{name}"),
                machine=NullMachine(),
                transport=links,
                clock=SystemClock(),
                options=options,
                rng=random.Random(seed),
            )
            servicer = ReplicationServicer(replica=replica)
            add_ReplicationServicer_to_server(servicer, server)
            await server.start()
            replicas.append(replica)
            tasks.append(asyncio.create_task(replica.run()))
        try:
            return await _load(await _leader(replicas), links, at_once)
        finally:
            for server, _ in bound.values():
                await server.stop(None)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


async def _leader(replicas):
    while True:
        for replica in replicas:
            if replica.role is Role.LEADER:
                try:
                    await replica.propose(ENTRY)
                except NotLeaderError:
                    continue
                return replica
        await asyncio.sleep(0.05)


async def _load(leader, links, at_once):
    waits = []
    left = iter(range(ENTRIES))

    async def propose_in_turn():
        for _ in left:
            begin = time.perf_counter()
            await leader.propose(ENTRY)
            waits.append(time.perf_counter() - begin)

    syncs = leader.syncs
    appends = links.appends
    begin = time.perf_counter()
    await asyncio.gather(*(propose_in_turn() for _ in range(at_once)))
    elapsed = time.perf_counter() - begin
    return Run(
        syncs=(leader.syncs - syncs) / ENTRIES,
        messages=(links.appends - appends) / ENTRIES / FOLLOWERS,
        commit_ms=statistics.median(waits) * MS,
        entries_s=ENTRIES / elapsed,
    )
