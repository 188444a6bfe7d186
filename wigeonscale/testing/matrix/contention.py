"""Concurrent operators, and callers and operators that resend requests."""

__all__ = ["race", "resend"]

import asyncio
from typing import TYPE_CHECKING

from wigeonscale.testing.matrix.load import (
    Outcome,
    apply_rules,
    new_tag,
    post_to_leader,
    request_completion,
    send_note,
)
from wigeonscale.testing.traces import Violation

if TYPE_CHECKING:
    from wigeonscale.testing.matrix.trial import Trial

ACCEPTED, CONFLICT = 200, 409


async def race(trial: "Trial") -> None:
    """Let two operators change the rules concurrently from the same revision.

    Args:
        trial: Gets a violation unless at most one change is accepted and the others
            are refused with a conflict.
    """
    cluster = trial.cluster
    base = cluster.revision()
    replies = await asyncio.gather(
        *(apply_rules(cluster, base, note=new_tag("rival")) for _ in range(2))
    )
    statuses = sorted(reply.status for reply in replies)
    # Both are refused if the operator of the step, if any, was faster.
    if statuses not in ([ACCEPTED, CONFLICT], [CONFLICT, CONFLICT]):
        trial.violations.append(Violation("race", f"rivals were told {replies}"))
    if statuses[0] != ACCEPTED and not trial.has_concurrent_operator:
        trial.violations.append(Violation("race", f"nobody won: {replies}"))


async def resend(trial: "Trial") -> None:
    """Send a note, billed work, a rules change and drain requests repeatedly.

    Args:
        trial: Gets a violation unless every repetition gets the first response.
    """
    await asyncio.gather(
        _resend_note(trial),
        _resend_billed_work(trial),
        _resend_rules(trial),
        _resend_drain(trial),
    )


async def _resend_note(trial: "Trial") -> None:
    tag = new_tag("resent-note")
    entries = ("e1", "e2", "e1", "e2")
    trial.calls += await asyncio.gather(
        *(send_note(trial.cluster, entry, tag=tag) for entry in entries)
    )
    trial.calls.append(await send_note(trial.cluster, "e1", tag=tag))
    other = await send_note(trial.cluster, "e2", tag=tag, body="another note")
    if other.kind != "idempotency-key-reused":
        description = f"another body under the same key got {other.status} {other.kind}"
        trial.violations.append(Violation(tag, description))


async def _resend_billed_work(trial: "Trial") -> None:
    tag = new_tag("billed")
    answers = await asyncio.gather(
        *(
            request_completion(trial.cluster, entry, once=True, tag=tag)
            for entry in ("e1", "e2")
        )
    )
    trial.streams += answers
    ids = {answer.request_id for answer in answers if answer.outcome is Outcome.WHOLE}
    if len(ids) > 1:
        description = f"ran as {sorted(ids)}"
        trial.violations.append(Violation(tag, description))


async def _resend_rules(trial: "Trial") -> None:
    base, operation = trial.cluster.revision(), new_tag("resent-op")
    first, *others = await asyncio.gather(
        *(apply_rules(trial.cluster, base, operation=operation) for _ in range(3))
    )
    others.append(await apply_rules(trial.cluster, base, operation=operation))
    if any(other != first for other in others):
        description = f"operator was told {first}, then {others}"
        trial.violations.append(Violation(operation, description))


async def _resend_drain(trial: "Trial") -> None:
    body = {"agent_id": "s1", "operation_id": new_tag("resent-drain")}
    for draining in (True, False):
        order = body | {"draining": draining}
        replies = [
            await post_to_leader(trial.cluster, "drain", order) for _ in range(2)
        ]
        if replies[0] != replies[1]:
            description = f"operator was told {replies}"
            trial.violations.append(Violation(body["operation_id"], description))
