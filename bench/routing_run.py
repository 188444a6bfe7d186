"""Simulation of the choice of backend server, on queues with a virtual clock.

The daemons' :class:`Chooser` runs in several entries; round robin and least
connections (:mod:`bench.baselines`) run on the same arrivals. Each answer carries a
load report of the server that is ``lag_s`` seconds old.
"""

__all__ = ["DOMAINS", "ENTRIES", "PREFILL_SHARE", "SEED", "Outcome", "run"]

import itertools
import math
import random
from dataclasses import dataclass, field

from bench.baselines import LeastConnections, RoundRobin
from bench.queues import CapacityServer, PrefixCache, VirtualClock, percentile
from wigeonscale.routing import (
    Candidate,
    Chooser,
    LoadTable,
    PrefixView,
    prefix_digest,
)

SEED = 20
ENTRIES = 4
SERVER_RATES = (1.0,) * 5 + (2.0,) * 5 + (4.0,) * 3
DOMAINS = ("a", "b", "c")
SLOTS = 8
SERVICE_S = 2.0
PREFILL_SHARE = 0.4
PREFIXES = 400
CACHE_PREFIXES = 60
WARM_UP_S = 30.0
ARRIVALS_S = 120.0
EVENT_LOSS_RATIO = 0.02
EVENT_DELAY_S = 1.0


@dataclass(slots=True)
class Request:
    """One simulated request."""

    entry: int
    work_s: float
    prefix: bytes
    arrived: float
    wait_s: float = 0.0
    hit: bool = False
    server: int = -1


@dataclass(slots=True)
class Outcome:
    """Result of one run."""

    policy: str
    waits: list[float] = field(default_factory=list)
    hits: int = 0

    def wait_percentile(self, share: float) -> float:
        """Return the wait that ``share`` of the requests do not exceed, in seconds."""
        return percentile(self.waits, share)

    def hit_rate(self) -> float:
        """Return the share of requests that found their prefix cached."""
        return self.hits / len(self.waits)


CANDIDATES = tuple(
    Candidate(f"agent{i}", f"chain{i}", rate, DOMAINS[i % len(DOMAINS)])
    for i, rate in enumerate(SERVER_RATES)
)


class ChooserPolicy:
    """Chooses with the daemons' :class:`Chooser`."""

    def __init__(self, *, table, rng, view):
        self._chooser = Chooser(table=table, rng=rng, view=view)

    def choose(self, prefix: bytes) -> Candidate:
        """Return the chosen candidate."""
        return self._chooser.choose(CANDIDATES, prefix=prefix)


def new_policy(name: str, number: int, table, rng, view):
    """Return the policy of one entry."""
    if name == "round-robin":
        return RoundRobin(candidates=CANDIDATES, first=3 * number)
    if name == "own-without-events":
        return ChooserPolicy(table=table, rng=rng, view=None)
    if name != "own":
        weighted = name == "weighted-least-conn"
        return LeastConnections(
            candidates=CANDIDATES, table=table, rng=rng, weighted=weighted
        )
    return ChooserPolicy(table=table, rng=rng, view=view)


class Run:
    """One simulation of a policy.

    Args:
        policy: Name of the policy.
        load: Arriving work as a share of the capacity when no prefix is cached.
        lag_s: Age of a load report when it reaches an entry, in seconds.
        prefixes: Whether prompts share prefixes that servers cache.
        entries: Number of entries; each has its own load table and prefix view.
    """

    def __init__(
        self, *, policy: str, load: float, lag_s: float, prefixes: bool, entries: int
    ):
        self._clock = VirtualClock()
        self._rng = random.Random(SEED)
        self._lag_s = lag_s
        self._prefixes = prefixes
        self._outcome = Outcome(policy)
        self._tables = [LoadTable(clock=self._clock) for _ in range(entries)]
        self._views = [PrefixView() for _ in range(entries)]
        self._policies = [
            new_policy(policy, i, self._tables[i], random.Random(i), self._views[i])
            for i in range(entries)
        ]
        self._caches = [PrefixCache(size=CACHE_PREFIXES) for _ in SERVER_RATES]
        self._event_numbers = [itertools.count() for _ in SERVER_RATES]
        self._event_rng = random.Random(SEED + 1)
        self._servers = [
            CapacityServer(
                clock=self._clock,
                slots=SLOTS,
                service_s=lambda item, i=i: self._serve(i, item),
                done=self._done,
            )
            for i in range(len(SERVER_RATES))
        ]
        self._arrival_rate = load * sum(SERVER_RATES) * SLOTS / SERVICE_S

    def outcome(self) -> Outcome:
        """Run the simulation and return its outcome."""
        self._clock.call_at(0.0, self._arrive)
        # Run until all queues are empty, so that the longest waits are counted too.
        self._clock.run(math.inf)
        return self._outcome

    def _arrive(self) -> None:
        if self._clock.now() >= ARRIVALS_S:
            return
        rng = self._rng
        work_s = rng.expovariate(1.0 / SERVICE_S)
        # Skewed popularity: few prefixes are common, many are rare.
        prefix = b"%d" % int(PREFIXES * rng.random() ** 3)
        req = Request(
            rng.randrange(len(self._policies)), work_s, prefix, self._clock.now()
        )
        self._clock.call_later(rng.expovariate(self._arrival_rate), self._arrive)
        routed_prefix = prefix if self._prefixes else b""
        candidate = self._policies[req.entry].choose(routed_prefix)
        self._tables[req.entry].started(candidate.agent_id)
        req.server = int(candidate.agent_id.removeprefix("agent"))
        self._servers[req.server].put(req)

    def _serve(self, server: int, req: Request) -> float:
        req.wait_s = self._clock.now() - req.arrived
        if not self._prefixes:
            return req.work_s / SERVER_RATES[server]
        digest = prefix_digest(req.prefix)
        req.hit, evicted = self._caches[server].access(digest)
        if not req.hit:
            self._publish_event(server, digest, held=True)
        if evicted is not None:
            self._publish_event(server, evicted, held=False)
        share = 1.0 - PREFILL_SHARE if req.hit else 1.0
        return share * req.work_s / SERVER_RATES[server]

    def _publish_event(self, server: int, digest: bytes, *, held: bool) -> None:
        number = next(self._event_numbers[server])
        agent_id = f"agent{server}"
        for view in self._views:
            if self._event_rng.random() >= EVENT_LOSS_RATIO:
                self._clock.call_later(
                    EVENT_DELAY_S,
                    lambda view=view: view.apply_event(
                        agent_id, number, digest, held=held
                    ),
                )

    def _done(self, req: Request) -> None:
        table = self._tables[req.entry]
        agent_id = f"agent{req.server}"
        table.finished(agent_id)
        load = self._servers[req.server].load(self._lag_s)
        table.update_load(agent_id, load, age_s=self._lag_s)
        if req.arrived >= WARM_UP_S:
            self._outcome.waits.append(req.wait_s)
            self._outcome.hits += req.hit


def run(
    policy: str, load: float, lag_s: float, *, prefixes: bool, entries: int = ENTRIES
) -> Outcome:
    """Return the outcome of one policy; see :class:`Run`."""
    return Run(
        policy=policy, load=load, lag_s=lag_s, prefixes=prefixes, entries=entries
    ).outcome()
