"""Probes the engines of stalled paths with new connections.

When an engine becomes unreachable, every stream through it stalls at once. A pause of
more than about 300 ms is late, and a stream that is sent to another path needs 100 to
150 ms to continue. So a lost engine must be detected within 200 ms. The other engines
of the path accept a connection within one round trip, whatever their load; the lost one
does not.
"""

__all__ = ["EngineProber"]

import asyncio
import logging
from collections.abc import Callable, Mapping, Sequence

from wigeonscale.adapters.logs import log_fields
from wigeonscale.direct.fleet import BackendServer, Fleet
from wigeonscale.ports import Clock, ProbeResult, ReachabilityCheck

# Start times of the probes of one engine. A connection opens within about 2 ms, but a
# lost packet delays it by a second. A second and a third connection are
# opened, so that packet loss does not make a healthy engine appear lost.
PROBE_DELAYS_S = (0.0, 0.02, 0.035)
# Timeout from the first probe on. The path has been stalled for about 70 ms by then,
# and the switch to another path takes the rest of the time until a pause is late.
PROBE_TIMEOUT_S = 0.05
# The timeout is extended by this many times the configured one-way delay to the domain
# of the engine.
ONE_WAY_DELAYS_PER_PROBE = 2
# Most engines in one round. Many paths may stall at once, and an entry has only a small
# share of a core for probes. Engines with the most stalled runs come first, because all
# runs through a lost engine are stalled.
MAX_PROBED_PER_ROUND = 16
# Least time between two probes of an engine. When engines are so busy that all paths
# stall, each new connection costs them another millisecond.
PROBE_INTERVAL_S = 1.0
# The same for an engine that many runs are evidence against. Without this bound, 50
# stalled runs would have all engines of their paths probed in each check of the stall
# detector, in rounds that overlap.
MIN_PROBE_INTERVAL_S = 0.1

logger = logging.getLogger(__name__)


class EngineProber:
    """Probes engines in rounds and reports the lost ones.

    Args:
        check_reachable: Checks whether the VM of an engine responds.
        clock: Clock port.
        fleet: Returns the current backend servers.
        delay_s: Returns the one-way delay to a failure domain, in seconds.
        has_progress: Returns whether runs through an engine get events, given its name
            and the start of the round; also True if this process lacked processor time
            and cannot tell. Called after the probes.
        has_event_since: Returns whether any run got an event after a given time.
        on_lost: Called with the name of each lost engine.
    """

    def __init__(
        self,
        *,
        check_reachable: ReachabilityCheck,
        clock: Clock,
        fleet: Callable[[], Fleet],
        delay_s: Callable[[str], float],
        has_progress: Callable[[str, float], bool],
        has_event_since: Callable[[float], bool],
        on_lost: Callable[[str], None],
    ):
        self._check_reachable = check_reachable
        self._clock = clock
        self._fleet = fleet
        self._delay_s = delay_s
        self._has_progress = has_progress
        self._has_event_since = has_event_since
        self._on_lost = on_lost
        self._probed_at: dict[str, float] = {}
        self._rounds: set[asyncio.Task] = set()

    def start_round(
        self, names: Sequence[str], *, suspects: Mapping[str, int] | None = None
    ) -> None:
        """Start a round, unless all engines were probed recently.

        Args:
            names: Names of engines that may be lost, the most likely ones first.
            suspects: Number of runs that are evidence against an engine, by name. With
                several, the engine is probed again sooner, because it may have been
                lost just after the last probe.
        """
        suspects = suspects or {}
        now = self._clock.now()
        self._probed_at = {
            name: at
            for name, at in self._probed_at.items()
            if now - at < PROBE_INTERVAL_S
        }
        by_id = self._fleet().by_id
        servers = [
            by_id[name]
            for name in names
            if name in by_id
            and now - self._probed_at.get(name, float("-inf"))
            >= _probe_interval_s(suspects.get(name, 1))
        ][:MAX_PROBED_PER_ROUND]
        if not servers:
            return
        self._probed_at |= {server.backend_id: now for server in servers}
        task = asyncio.create_task(self._round(servers))
        self._rounds.add(task)
        task.add_done_callback(self._rounds.discard)

    async def close(self) -> None:
        """Cancel the running rounds."""
        for task in self._rounds:
            task.cancel()
        await asyncio.gather(*self._rounds, return_exceptions=True)

    async def _round(self, servers: list[BackendServer]) -> None:
        began_at = self._clock.now()
        probe_results = await asyncio.gather(
            *[self._probe_server(server) for server in servers]
        )
        results = dict(zip(servers, probe_results, strict=True))
        lost = [
            server.backend_id
            for server, result in results.items()
            if result is not ProbeResult.ANSWERED
            and not self._has_progress(server.backend_id, began_at)
        ]
        # If no engine responds, this entry may be the one that is cut off.
        is_cut_off = not self._has_event_since(began_at) and all(
            result is ProbeResult.NO_ANSWER for result in probe_results
        )
        logger.info(
            "engines of stalled paths probed",
            extra=log_fields(
                outcome="none-reached"
                if is_cut_off
                else "lost"
                if lost
                else "all there",
                probed=len(servers),
                lost=",".join(lost),
            ),
        )
        if is_cut_off:
            return
        for name in lost:
            self._on_lost(name)

    async def _probe_server(self, server: BackendServer) -> ProbeResult:
        """Return the first conclusive result of several probes."""
        probes = [
            asyncio.create_task(self._probe_once(server, delay_s))
            for delay_s in PROBE_DELAYS_S
        ]
        try:
            for probe in asyncio.as_completed(probes):
                result = await probe
                if result is not ProbeResult.NO_ANSWER:
                    return result
            return ProbeResult.NO_ANSWER
        finally:
            for probe in probes:
                probe.cancel()
            await asyncio.gather(*probes, return_exceptions=True)

    async def _probe_once(self, server: BackendServer, delay_s: float) -> ProbeResult:
        await self._clock.sleep(delay_s)
        round_trip_s = ONE_WAY_DELAYS_PER_PROBE * self._delay_s(server.domain)
        return await self._check_reachable(
            server.address, PROBE_TIMEOUT_S + round_trip_s - delay_s
        )


def _probe_interval_s(evidence: int) -> float:
    """Return the least time between two probes of an engine.

    Args:
        evidence: Number of runs that are evidence against it.
    """
    return max(MIN_PROBE_INTERVAL_S, PROBE_INTERVAL_S / max(1, evidence))
