"""The leader's part in reservations and shares of retries."""

__all__ = ["RetryLedger"]

from collections import deque

from wigeonscale.ports import Clock
from wigeonscale.replication import Replica
from wigeonscale.state import ControlState
from wigeonscale.wire import wire_pb2 as wire

MS_PER_S = 1000
SAMPLE_INTERVAL_S = 0.25
# Reservations with a longer window are refused.
MAX_WINDOW_S = 120.0


class RetryLedger:
    """Tells when reservations expire, and refuses those that cannot succeed.

    Every replica records when it applied which log index, by its monotonic clock. A
    new leader thus knows how old the reservations in its log are. After a restart it
    counts them as new, so that they expire too late rather than too early.

    Args:
        state: Replicated state.
        replica: Local replica of the log.
        clock: Time source.
    """

    def __init__(self, *, state: ControlState, replica: Replica, clock: Clock):
        self._state = state
        self._replica = replica
        self._clock = clock
        # Times at which the applied index was read, oldest first.
        self._samples: deque[tuple[float, int]] = deque()

    async def run(self) -> None:
        """Record the applied log index until cancelled."""
        while True:
            self.sample()
            await self._clock.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Record the applied log index; takes constant time on average."""
        now = self._clock.now()
        self._samples.append((now, self._replica.applied_index))
        while len(self._samples) > 1 and self._samples[1][0] <= now - MAX_WINDOW_S:
            self._samples.popleft()

    def prepare(self, command: wire.Command) -> wire.CommandResult | None:
        """Complete a command before the leader proposes it.

        Args:
            command: Command to propose. If it reserves retries, its expired index is
                set.

        Returns:
            A result if the command is not to be proposed because it would reserve
            nothing, else None.
        """
        match command.WhichOneof("body"):
            case "reserve_retries":
                can_succeed = self._prepare_reservation(command)
            case "hold_retry_share":
                can_succeed = self._may_change(command.hold_retry_share)
            case _:
                return None
        # Spares the log of a command from each entry in each interval of an overload.
        return None if can_succeed else wire.CommandResult()

    def _prepare_reservation(self, command: wire.Command) -> bool:
        req = command.reserve_retries
        expired_index = self._index_before(req.window_ms / MS_PER_S)
        command.expired_index = expired_index
        left = self._state.retry_reservations.left(req, expired_index=expired_index)
        return left > 0

    def _may_change(self, req: wire.RetryShare) -> bool:
        """Return whether a command on a share may be more than a refused increase."""
        shares = self._state.retry_shares
        if shares.free > 0:
            return True
        share = shares.get(req.entry)
        if share is None:
            return False
        return share.process != req.process or req.parts <= share.parts

    def _index_before(self, age_s: float) -> int:
        """Return the newest log index that was applied at least this long ago."""
        if age_s > MAX_WINDOW_S:
            return 0
        applied_by = self._clock.now() - age_s
        index = 0
        for sampled_at, sampled_index in self._samples:
            if sampled_at > applied_by:
                break
            index = sampled_index
        return index
