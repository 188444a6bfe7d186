"""Replicated log: syncs, messages and time per entry, against simpler variants.

Three replicas communicate over gRPC on loopback and keep their logs on disk. Two
optimisations taken from the MicroRaft article on log replication (Kahveci, "Log
replication in MicroRaft", 2023) are each compared with the log without it:

* one outstanding append per follower, so that batches grow with the load, against
  one entry per append;
* the leader's sync in parallel with replication, against a sync before sending.
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
ENTRY_DATA = bytes(300)
ENTRIES = 500
BUSY_PROPOSALS = 64  # concurrent proposals
ROUNDS = 3  # variants alternate; the median of the rounds is reported
MS_PER_S = 1000

VARIANTS = {
    "kept": ReplicaOptions(),
    "plain_batch": ReplicaOptions(batch_entries=1),
    "plain_sync": ReplicaOptions(sync_before_send=True),
}


@dataclass(frozen=True, slots=True)
class RunCost:
    """Cost of one run of one variant.

    Attributes:
        syncs: Syncs of the leader's log per entry.
        messages: Appends to each follower per entry.
        commit_ms: Median time from proposal to commit, in milliseconds.
        entries_s: Entries committed per second.
    """

    syncs: float
    messages: float
    commit_ms: float
    entries_s: float


class CountingTransport:
    """gRPC transport that counts the append requests.

    Attributes:
        appends: Append requests so far.
    """

    def __init__(self):
        self._transport = GrpcTransport()
        self.appends = 0

    def connect(self, address):
        """Return a link to ``ip:port`` whose appends are counted."""
        link = self._transport.connect(address)
        append = link.append

        async def counted(req):
            self.appends += 1
            return await append(req)

        link.append = counted
        return link


class NullStateMachine:
    """A state machine without state."""

    def apply(self, index, term, data):
        """Return the index."""
        return index

    def snapshot(self):
        """Return an empty snapshot."""
        return b""

    def restore(self, data):
        """Ignore the snapshot."""


def measure() -> list[Figure]:
    """Measure every variant idle (one proposal at a time) and busy.

    Returns:
        Figures; only counts have bounds, times are reported.
    """
    figures = []
    for load, concurrency in (("idle", 1), ("busy", BUSY_PROPOSALS)):
        runs = {name: [] for name in VARIANTS}
        for _ in range(ROUNDS):
            for name, options in VARIANTS.items():
                runs[name].append(asyncio.run(_run(options, concurrency)))
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


async def _run(options, concurrency):
    with tempfile.TemporaryDirectory() as root:
        bound = {name: new_server("127.0.0.1:0") for name in NAMES}
        members = [Member(name, bound[name][1]) for name in NAMES]
        transport = CountingTransport()
        replicas = []
        tasks = []
        for seed, name in enumerate(NAMES):
            server, address = bound[name]
            replica = Replica(
                node_id=name,
                address=address,
                initial_members=members,
                folder=DiskFolder(path=f"{root}/{name}"),
                machine=NullStateMachine(),
                transport=transport,
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
            return await _run_load(await _wait_leader(replicas), transport, concurrency)
        finally:
            for server, _ in bound.values():
                await server.stop(None)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_leader(replicas):
    while True:
        for replica in replicas:
            if replica.role is Role.LEADER:
                try:
                    await replica.propose(ENTRY_DATA)
                except NotLeaderError:
                    continue
                return replica
        await asyncio.sleep(0.05)


async def _run_load(leader, transport, concurrency):
    waits = []
    remaining = iter(range(ENTRIES))

    async def propose_in_turn():
        for _ in remaining:
            begin = time.perf_counter()
            await leader.propose(ENTRY_DATA)
            waits.append(time.perf_counter() - begin)

    syncs = leader.syncs
    appends = transport.appends
    begin = time.perf_counter()
    await asyncio.gather(*(propose_in_turn() for _ in range(concurrency)))
    elapsed = time.perf_counter() - begin
    return RunCost(
        syncs=(leader.syncs - syncs) / ENTRIES,
        messages=(transport.appends - appends) / ENTRIES / FOLLOWERS,
        commit_ms=statistics.median(waits) * MS_PER_S,
        entries_s=ENTRIES / elapsed,
    )
