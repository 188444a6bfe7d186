"""Asks the engines of a quiet path themselves whether they are there.

Load pattern: an engine goes dark, and every stream through it stands still at once. A
pause over some 300 ms is late, and sent elsewhere a stream needs 100 to 150 ms to go
on; so an engine has to be found lost within 200 ms. Its neighbours on the path let a
connection open within a round trip, whatever their load is; it does not.
"""

__all__ = ["EngineProber"]

import asyncio
import logging
from collections.abc import Callable, Sequence

from wigeonscale.adapters.logs import log_fields
from wigeonscale.direct.fleet import BackendServer, Fleet
from wigeonscale.ports import Clock, ProbeAnswer, Reach

# A connection opens within some 2 ms. One packet lost costs it a second, so another one
# is tried, and a third, so that a link which loses packets does not make sound engines
# look lost.
PROBE_DELAYS_S = (0.0, 0.02, 0.035)
# From the first probe on. The path has been quiet for some 70 ms by then, and going on
# elsewhere takes the rest of the time after which a pause is late.
PROBE_TIMEOUT_S = 0.05
# Beside that, a connection takes this many times the delay to the engine's domain, as
# told by the configuration.
ONE_WAY_DELAYS_PER_PROBE = 2
# Engines of one round. Load pattern: many paths are quiet at once, and an entry has a
# small share of a core for all probes. Those come first that most quiet runs pass
# through: a lost one is on all that it stopped.
MAX_PROBED_PER_ROUND = 16
# An engine is not asked again before this long. Load pattern: engines are so busy that
# all paths are quiet, and each new connection takes them a millisecond.
PROBE_INTERVAL_S = 1.0

logger = logging.getLogger(__name__)


class EngineProber:
    """Probes engines in rounds, and tells which are lost.

    Args:
        reach: Finds out whether an engine's VM answers.
        clock: Clock port.
        fleet: Returns the backend servers as of now.
        delay_s: Returns the delay of one way to a failure domain, in seconds.
        has_progress: Returns whether something moves through an engine after all, or
            nothing may be said of it; asked once the answers are there.
        has_event_since: Returns whether any engine was heard of after an instant.
        on_lost: Called with the name of each engine that is lost.
    """

    def __init__(
        self,
        *,
        reach: Reach,
        clock: Clock,
        fleet: Callable[[], Fleet],
        delay_s: Callable[[str], float],
        has_progress: Callable[[str], bool],
        has_event_since: Callable[[float], bool],
        on_lost: Callable[[str], None],
    ):
        self._reach = reach
        self._clock = clock
        self._fleet = fleet
        self._delay_s = delay_s
        self._has_progress = has_progress
        self._has_event_since = has_event_since
        self._on_lost = on_lost
        self._probed_at: dict[str, float] = {}
        self._rounds: set[asyncio.Task] = set()

    def start_round(self, names: Sequence[str]) -> None:
        """Begin a round, unless all were asked lately.

        Args:
            names: Engines in question, the most likely ones first.
        """
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
            if name in by_id and name not in self._probed_at
        ][:MAX_PROBED_PER_ROUND]
        if not servers:
            return
        self._probed_at |= {server.backend_id: now for server in servers}
        task = asyncio.create_task(self._round(servers))
        self._rounds.add(task)
        task.add_done_callback(self._rounds.discard)

    async def close(self) -> None:
        """End the rounds that are under way."""
        for task in self._rounds:
            task.cancel()
        await asyncio.gather(*self._rounds, return_exceptions=True)

    async def _round(self, servers: list[BackendServer]) -> None:
        began_at = self._clock.now()
        answers = await asyncio.gather(
            *[self._probe_server(server) for server in servers]
        )
        results = dict(zip(servers, answers, strict=True))
        lost = [
            server.backend_id
            for server, answer in results.items()
            if answer is not ProbeAnswer.ANSWERED
            and not self._has_progress(server.backend_id)
        ]
        # Where nobody can be reached, the fault is as likely on this side.
        is_isolated = not self._has_event_since(began_at) and all(
            answer is ProbeAnswer.NOTHING for answer in answers
        )
        logger.info(
            "engines of quiet paths probed",
            extra=log_fields(
                outcome="none-reached"
                if is_isolated
                else "lost"
                if lost
                else "all there",
                probed=len(servers),
                lost=",".join(lost),
            ),
        )
        if is_isolated:
            return
        for name in lost:
            self._on_lost(name)

    async def _probe_server(self, server: BackendServer) -> ProbeAnswer:
        """Return the first answer that tells something, of a few probes."""
        probes = [
            asyncio.create_task(self._probe_once(server, delay_s))
            for delay_s in PROBE_DELAYS_S
        ]
        try:
            for probe in asyncio.as_completed(probes):
                answer = await probe
                if answer is not ProbeAnswer.NOTHING:
                    return answer
            return ProbeAnswer.NOTHING
        finally:
            for probe in probes:
                probe.cancel()
            await asyncio.gather(*probes, return_exceptions=True)

    async def _probe_once(self, server: BackendServer, delay_s: float) -> ProbeAnswer:
        await self._clock.sleep(delay_s)
        round_trip_s = ONE_WAY_DELAYS_PER_PROBE * self._delay_s(server.domain)
        return await self._reach(
            server.address, PROBE_TIMEOUT_S + round_trip_s - delay_s
        )
