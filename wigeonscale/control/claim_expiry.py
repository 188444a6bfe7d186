"""Expires old claims while this replica is the leader."""

__all__ = ["run_claim_expiry"]

import logging

from wigeonscale.control.commands import Commands
from wigeonscale.control.step_guard import StepGuard
from wigeonscale.errors import WigeonscaleError
from wigeonscale.ports import Clock
from wigeonscale.replication import Replica, Role
from wigeonscale.state import ControlState
from wigeonscale.wire import wire_pb2 as wire

MS_PER_S = 1000
CHECKS_PER_AGE = 20
MAX_INTERVAL_S = 60.0

logger = logging.getLogger(__name__)


async def run_claim_expiry(
    *,
    state: ControlState,
    replica: Replica,
    commands: Commands,
    clock: Clock,
    claim_age_s: float,
) -> None:
    """Expire claims above a maximum age until cancelled.

    Args:
        state: Replicated state.
        replica: Local replica of the log.
        commands: Submits commands to the replicated log.
        clock: Time source.
        claim_age_s: Time since its last change after which a claim expires, in
            seconds.
    """
    guard = StepGuard(task="claim expiry", clock=clock)
    interval_s = min(claim_age_s / CHECKS_PER_AGE, MAX_INTERVAL_S)
    while True:
        await clock.sleep(interval_s)
        with guard.step():
            if replica.role is Role.LEADER:
                before = int((clock.wall() - claim_age_s) * MS_PER_S)
                await _expire(state, commands, before)


async def _expire(state: ControlState, commands: Commands, before_ms: int) -> None:
    """Expire the claims that have not changed since a wall time in milliseconds."""
    oldest = state.claims.oldest_wall_ms()
    if oldest is None or oldest >= before_ms:
        return
    command = wire.Command(expire=wire.ExpireClaims(before_wall_ms=before_ms))
    try:
        await commands.submit(command)
    except WigeonscaleError as exc:
        logger.warning("could not expire claims: %s", exc.message)
