"""Reports of entries whose own probes of a backend server got no answer.

Load pattern: an engine becomes unreachable without closing its connections. Entries
probe it within a tenth of a second, while control needs two probes with a longer
timeout to be sure. Meanwhile other entries keep sending to it, and nobody replaces its
layers.
"""

__all__ = ["LossWitnesses"]

from dataclasses import dataclass

from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

# Reports that are further apart are no evidence of the same loss.
WITNESS_WINDOW_S = 0.5
# One entry may be cut off itself, or lack processor time.
MIN_WITNESSES = 2
MAX_TRACKED_BACKENDS = 1024


@dataclass(frozen=True, slots=True)
class _Report:
    reported_at: float
    domain: str


class LossWitnesses:
    """Counts the entries that found a backend server unreachable.

    Args:
        clock: Time source.
    """

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._reports: dict[tuple[str, int], dict[str, _Report]] = {}

    def confirms(self, suspicion: wire.Suspect, *, domain: str) -> bool:
        """Record a report, and return whether enough entries agree.

        At least one of them must be in the failure domain of the backend server: after
        a partition between two domains, all backend servers of one seem lost to the
        entries of the other.

        Args:
            suspicion: The report; only one with a witness counts.
            domain: Failure domain of the backend server.
        """
        if not suspicion.witness:
            return False
        now = self._clock.now()
        key = suspicion.agent_id, suspicion.incarnation
        if key not in self._reports and len(self._reports) >= MAX_TRACKED_BACKENDS:
            self._reports.clear()
        recent = {
            witness: report
            for witness, report in self._reports.get(key, {}).items()
            if now - report.reported_at <= WITNESS_WINDOW_S
        }
        recent[suspicion.witness] = _Report(now, suspicion.witness_domain)
        self._reports[key] = recent
        return len(recent) >= MIN_WITNESSES and any(
            report.domain == domain for report in recent.values()
        )

    def forget(self, agent_id: str, incarnation: int) -> None:
        """Drop the reports of a backend server that has answered a probe since.

        Args:
            agent_id: Its name.
            incarnation: Its incarnation.
        """
        self._reports.pop((agent_id, incarnation), None)
