"""Plans for the streams of lost engines, and the moves that this entry has chosen."""

__all__ = ["RecoveryPlan", "RecoveryPlans"]

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from wigeonscale.direct.recovery import RecoveryWay

# All streams of an entry leave a lost engine within one check of the stall detector, or
# within the time of a few connection errors. A later plan uses newer loads.
PLAN_TTL_S = 0.3
# A moved stream is prefilled within about 0.3 s, and is part of the tracked load after
# that.
MOVE_TTL_S = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class RecoveryPlan:
    """Ways of the streams of one loss, with the shares of the streams.

    Attributes:
        made_at: Time at which it was computed.
        domain: Failure domain of the lost engines.
        ways: The ways, with the detour first if there is one.
        shares: Share of each way.
        send_shares: Share of each way for streams without a detour; 0 for the detour.
        has_detour: Whether one of the ways is a detour.
    """

    made_at: float
    domain: str
    ways: tuple[RecoveryWay, ...]
    shares: tuple[float, ...]
    send_shares: tuple[float, ...]
    has_detour: bool


class RecoveryPlans:
    """Plans of the current losses, and the recent moves by engine.

    Several streams choose engines in the same instant, before the load of the first of
    them is tracked, so each choice is recorded here as a move at once.
    """

    def __init__(self):
        self._plans: dict[tuple[str, frozenset[str]], RecoveryPlan] = {}
        self._moves: dict[str, deque[float]] = {}

    def plan(
        self,
        service: str,
        lost: frozenset[str],
        *,
        has_detour: bool,
        now: float,
        make: Callable[[], RecoveryPlan],
    ) -> RecoveryPlan:
        """Return the plan of a loss, and make it if there is none that is recent.

        Args:
            service: Name of the service.
            lost: Names of the lost engines.
            has_detour: Whether the stream has a detour. The plan then contains one; a
                plan made for a broken stream, which cannot take it, is replaced.
            now: Local time.
            make: Returns a new plan.
        """
        found = self._plans.get((service, lost))
        if (
            found is None
            or now - found.made_at > PLAN_TTL_S
            or (has_detour and not found.has_detour)
        ):
            self._plans = {
                key: plan
                for key, plan in self._plans.items()
                if now - plan.made_at <= PLAN_TTL_S
            }
            found = self._plans[service, lost] = make()
        return found

    def note_moved(self, backend_ids: Iterable[str], *, now: float) -> None:
        """Record that a stream moves to engines, which prefill it.

        Args:
            backend_ids: Names of the engines.
            now: Local time.
        """
        outdated = [
            name for name, moves in self._moves.items() if now - moves[-1] > MOVE_TTL_S
        ]
        for name in outdated:
            del self._moves[name]
        for name in backend_ids:
            self._moves.setdefault(name, deque()).append(now)

    def moving_to(self, backend_id: str, *, now: float) -> int:
        """Return the number of streams that recently moved to an engine.

        Args:
            backend_id: Name of the engine.
            now: Local time.
        """
        moves = self._moves.get(backend_id)
        if moves is None:
            return 0
        while moves and now - moves[0] > MOVE_TTL_S:
            moves.popleft()
        if not moves:
            del self._moves[backend_id]
        return len(moves)
