"""What one entry knows of the load of each backend server."""

__all__ = ["LoadTable", "LoadWordLike"]

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from wigeonscale.ports import Clock

HISTORY = 512
DEFAULT_SERVICE_S = 1.0
SMOOTHING = 0.1


class LoadWordLike(Protocol):
    """The fields of the wire's LoadWord that are read here."""

    running: int
    queued: int
    slots: int
    wait_s: float
    leaving: bool


@dataclass(slots=True)
class _Load:
    in_flight: int = 0
    history: deque = field(default_factory=lambda: deque(maxlen=HISTORY))
    backlog: int = 0
    slots: int = 1
    in_flight_then: int = 0
    service_s: float = DEFAULT_SERVICE_S
    leaving: bool = False


class LoadTable:
    """Own requests in flight and last load word, by agent.

    The word tells the load of all entries at the time it was made; what this
    entry started and finished since is added to it.

    Args:
        clock: Clock port.

    Notes:
        Every operation takes constant time. Memory is one record per agent that
        was used, forgotten with :meth:`forget`.
    """

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._loads: dict[str, _Load] = {}

    def started(self, agent_id: str) -> None:
        """Count one dispatch to the agent."""
        self._change(agent_id, 1)

    def finished(self, agent_id: str) -> None:
        """Count the end of one dispatch to the agent."""
        self._change(agent_id, -1)

    def word(self, agent_id: str, word: LoadWordLike, *, age_s: float = 0.0) -> None:
        """Take in a load word.

        Args:
            agent_id: Sender.
            word: The load word.
            age_s: Seconds since the load was as told.
        """
        load = self._load(agent_id)
        load.backlog = word.running + word.queued
        load.slots = max(1, word.slots)
        load.leaving = word.leaving
        load.in_flight_then = self._in_flight_at(load, self._clock.now() - age_s)
        if word.queued > 0 and word.wait_s > 0.0:
            load.service_s = word.wait_s * load.slots / word.queued

    def score(self, agent_id: str) -> float:
        """Return the estimated wait of a new request, in seconds."""
        load = self._loads.get(agent_id)
        if load is None:
            return 0.0
        excess = self.backlog(agent_id) - load.slots + 1
        return max(0.0, excess) * load.service_s / load.slots

    def backlog(self, agent_id: str) -> float:
        """Return the estimated requests running and queued at the agent."""
        load = self._loads.get(agent_id)
        if load is None:
            return 0.0
        since = load.in_flight - load.in_flight_then
        return max(load.backlog + since, load.in_flight, 0)

    def occupancy(self, agent_id: str) -> float:
        """Return the estimated requests per slot."""
        load = self._loads.get(agent_id)
        return self.backlog(agent_id) / load.slots if load else 0.0

    def leaving(self, agent_id: str) -> bool:
        """Return whether the agent said that it takes no new work."""
        load = self._loads.get(agent_id)
        return load is not None and load.leaving

    def in_flight(self, agent_id: str) -> int:
        """Return this entry's own dispatches in progress at the agent."""
        load = self._loads.get(agent_id)
        return load.in_flight if load else 0

    def forget(self, agent_id: str) -> None:
        """Drop what is known of an agent that is gone."""
        self._loads.pop(agent_id, None)

    def _load(self, agent_id: str) -> _Load:
        load = self._loads.get(agent_id)
        if load is None:
            load = self._loads[agent_id] = _Load()
        return load

    def _change(self, agent_id: str, step: int) -> None:
        load = self._load(agent_id)
        load.in_flight = max(0, load.in_flight + step)
        load.history.append((self._clock.now(), load.in_flight))

    def _in_flight_at(self, load: _Load, when: float) -> int:
        for changed_at, in_flight in reversed(load.history):
            if changed_at <= when:
                return in_flight
        return 0 if len(load.history) < HISTORY else load.history[0][1]
