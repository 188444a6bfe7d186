"""Load of each backend server, as estimated by one entry."""

__all__ = ["LoadTable", "LoadWordLike"]

import math
from collections import Counter, deque
from collections.abc import Container
from dataclasses import dataclass, field
from typing import Protocol

from wigeonscale.ports import Clock

MAX_HISTORY_LENGTH = 128
DEFAULT_SERVICE_S = 1.0
# Slots assumed for an agent that has not sent a load word yet.
DEFAULT_SLOTS = 32
# Time constant of the weight of a reported load.
LOAD_WORD_DECAY_S = 1.0
# Time constant of the means of the own load and of the load from other entries.
RATIO_TIME_CONSTANT_S = 20.0
MIN_OWN_MEAN = 0.1
# How long an agent that has announced that it is leaving is avoided. A restarted agent
# sends a load word only after it has been used, so the announcement must expire.
LEAVING_TTL_S = 10.0
FAILURE_DECAY_S = 5.0
# Factor on the recent failures after one success.
FAILURES_KEPT_ON_SUCCESS = 0.8


class LoadWordLike(Protocol):
    """The fields of the wire message LoadWord that are used here."""

    running: int
    queued: int
    slots: int
    wait_s: float
    leaving: bool


@dataclass(slots=True)
class _Load:
    in_flight: int = 0
    organisations: Counter = field(default_factory=Counter)
    history: deque = field(default_factory=lambda: deque(maxlen=MAX_HISTORY_LENGTH))
    slots: int = DEFAULT_SLOTS
    service_s: float = DEFAULT_SERVICE_S
    leaving_until: float = -math.inf
    failures: float = 0.0
    failed_at: float = 0.0
    reported_at: float | None = None
    others_reported: float = 0.0
    others_mean: float = 0.0
    own_mean: float = 0.0


class LoadTable:
    """Own requests in flight and last reported load, by agent.

    A load word reports the load from all entries at the time it was made. The load
    from this entry is always known exactly; the load from other entries is taken from
    the load word while that is recent. With the age of the load word the estimate
    approaches the own requests in flight times the mean ratio of the other entries'
    load to the own: all entries get similar traffic, so their loads change together,
    and this is a better estimate than an old report.

    Args:
        clock: Clock port.

    Notes:
        Every operation except :meth:`forget_absent` takes constant time. Memory is
        one record per agent that was used and is still a member.
    """

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._loads: dict[str, _Load] = {}

    def started(self, agent_id: str, organisation: str = "") -> None:
        """Record the start of a dispatch to the agent for an organisation."""
        self._change(agent_id, 1)
        self._load(agent_id).organisations[organisation] += 1

    def finished(self, agent_id: str, organisation: str = "") -> None:
        """Record the end of a dispatch to the agent."""
        self._change(agent_id, -1)
        counts = self._load(agent_id).organisations
        counts[organisation] -= 1
        if counts[organisation] <= 0:
            del counts[organisation]

    def failed(self, agent_id: str) -> None:
        """Record a dispatch that failed at the agent's backend server."""
        recent = self.failures(agent_id)
        load = self._load(agent_id)
        load.failures = recent + 1.0
        load.failed_at = self._clock.now()

    def succeeded(self, agent_id: str) -> None:
        """Record a dispatch that was answered completely."""
        self._load(agent_id).failures *= FAILURES_KEPT_ON_SUCCESS

    def failures(self, agent_id: str) -> float:
        """Return the recent failures, which decay with time and with successes."""
        load = self._loads.get(agent_id)
        if load is None or not load.failures:
            return 0.0
        age_s = self._clock.now() - load.failed_at
        return load.failures * math.exp(-age_s / FAILURE_DECAY_S)

    def update_load(
        self, agent_id: str, load_word: LoadWordLike, *, age_s: float = 0.0
    ) -> None:
        """Update the load of an agent from its load word.

        A load word older than the last one does not change the load from other entries.

        Args:
            agent_id: Sender.
            load_word: The load word.
            age_s: Age of the load word, in seconds.
        """
        load = self._load(agent_id)
        now = self._clock.now()
        load.slots = max(1, load_word.slots)
        load.leaving_until = now + LEAVING_TTL_S if load_word.leaving else -math.inf
        if load_word.queued > 0 and load_word.wait_s > 0.0:
            load.service_s = load_word.wait_s * load.slots / load_word.queued
        reported_at = now - age_s
        if load.reported_at is not None and reported_at < load.reported_at:
            return
        own = _in_flight_at(load, reported_at)
        load.others_reported = max(0, load_word.running + load_word.queued - own)
        _update_means(load, own, reported_at)
        load.reported_at = reported_at

    def estimated_wait_s(self, agent_id: str) -> float:
        """Return the estimated queueing time of a new request, in seconds."""
        load = self._loads.get(agent_id)
        if load is None:
            return 0.0
        excess = self.backlog(agent_id) + 1 - load.slots
        return max(0.0, excess) * load.service_s / load.slots

    def backlog(self, agent_id: str) -> float:
        """Return the estimated number of requests running and queued at the agent."""
        load = self._loads.get(agent_id)
        if load is None:
            return 0.0
        return load.in_flight + self._others(load)

    def slots(self, agent_id: str) -> int:
        """Return the number of requests that the agent serves concurrently."""
        load = self._loads.get(agent_id)
        return load.slots if load else DEFAULT_SLOTS

    def leaving(self, agent_id: str) -> bool:
        """Return whether the agent has recently announced that it is leaving."""
        load = self._loads.get(agent_id)
        return load is not None and self._clock.now() < load.leaving_until

    def clear_leaving(self, agent_id: str) -> None:
        """Discard the agent's announcement that it is leaving."""
        load = self._loads.get(agent_id)
        if load is not None:
            load.leaving_until = -math.inf

    def in_flight(self, agent_id: str) -> int:
        """Return the number of this entry's dispatches in progress at the agent."""
        load = self._loads.get(agent_id)
        return load.in_flight if load else 0

    def in_flight_of(self, agent_id: str, organisation: str) -> int:
        """Return the part of :meth:`in_flight` that belongs to the organisation."""
        load = self._loads.get(agent_id)
        return load.organisations.get(organisation, 0) if load else 0

    def forget(self, agent_id: str) -> None:
        """Drop the record of an agent that has left."""
        self._loads.pop(agent_id, None)

    def forget_absent(self, known: Container[str]) -> None:
        """Drop agents that have left, unless own dispatches are in progress there.

        Args:
            known: Ids of the agents that are members.
        """
        loads = self._loads.items()
        gone = [a for a, load in loads if a not in known and not load.in_flight]
        for agent_id in gone:
            self.forget(agent_id)

    def _load(self, agent_id: str) -> _Load:
        load = self._loads.get(agent_id)
        if load is None:
            load = self._loads[agent_id] = _Load()
        return load

    def _change(self, agent_id: str, step: int) -> None:
        load = self._load(agent_id)
        load.in_flight = max(0, load.in_flight + step)
        load.history.append((self._clock.now(), load.in_flight))

    def _others(self, load: _Load) -> float:
        if load.reported_at is None:
            return 0.0
        expected = load.in_flight * load.others_mean / max(load.own_mean, MIN_OWN_MEAN)
        age_s = self._clock.now() - load.reported_at
        reported_weight = math.exp(-age_s / LOAD_WORD_DECAY_S)
        return expected + (load.others_reported - expected) * reported_weight


def _in_flight_at(load: _Load, at: float) -> int:
    for changed_at, in_flight in reversed(load.history):
        if changed_at <= at:
            return in_flight
    return 0 if len(load.history) < MAX_HISTORY_LENGTH else load.history[0][1]


def _update_means(load: _Load, own: int, reported_at: float) -> None:
    if load.reported_at is None:
        load.others_mean = load.others_reported
        load.own_mean = own
        return
    weight = 1.0 - math.exp((load.reported_at - reported_at) / RATIO_TIME_CONSTANT_S)
    load.others_mean += weight * (load.others_reported - load.others_mean)
    load.own_mean += weight * (own - load.own_mean)
