"""Invariant checks that run on the recorded observations after every fault."""

__all__ = [
    "answer_violations",
    "at_most_once_violations",
    "not_run_violations",
    "RevisionObservation",
    "order_violations",
    "revision_violations",
    "work_after_drain",
]

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from wigeonscale.testing.fake_engine import expected_tokens
from wigeonscale.testing.matrix.load import Answer, Outcome
from wigeonscale.testing.traces import Violation, repeated_effects

UNAVAILABLE = 503
# A draining server may receive new work for at most this long.
DRAIN_EFFECTIVE_AFTER_S = 3.0


def answer_violations(
    answers: Iterable[Answer], *, layers: int, allowed_run_states: Collection[str]
) -> list[Violation]:
    """Return answers that are wrong, truncated or refused without a valid reason.

    Args:
        answers: Answers of pipelines and plain services.
        layers: Number of layers of the model.
        allowed_run_states: Run states that a refusal may report.
    """
    violations = []
    for answer in answers:
        expected = expected_tokens(answer.prompt, layers, answer.max_tokens)
        problem = _answer_problem(answer, expected)
        if (
            not problem
            and answer.outcome is Outcome.REFUSED
            and answer.run not in allowed_run_states
        ):
            problem = (
                f"refused, run {answer.run}: {answer.status} {answer.kind}:"
                f" {answer.message}"
            )
        if problem:
            violations.append(Violation(answer.tag, problem))
    return violations


def _answer_problem(answer: Answer, expected: Sequence[str]) -> str:
    if not answer.max_tokens:
        return _refusal_problem(answer) if answer.outcome is Outcome.REFUSED else ""
    count = len(answer.texts)
    if answer.texts != list(expected[:count]):
        return f"{count} tokens differ from those due"
    if answer.outcome is Outcome.CUT:
        return f"cut without a word after {count} tokens: {answer.message}"
    if (
        answer.outcome is Outcome.WHOLE
        and (count, answer.declared) != (len(expected),) * 2
    ):
        return f"{count} tokens, {answer.declared} declared, {len(expected)} due"
    if answer.outcome is Outcome.REFUSED:
        return _refusal_problem(answer)
    return ""


def _refusal_problem(answer: Answer) -> str:
    if answer.run not in ("not-run", "ran", "unknown"):
        return f"refusal {answer.kind} says run {answer.run!r}"
    if answer.run == "not-run" and answer.texts:
        return f"not-run after {len(answer.texts)} tokens"
    if answer.status == UNAVAILABLE and not answer.retry_after:
        return f"refusal {answer.kind} does not say when to come back"
    return ""


def not_run_violations(
    answers: Iterable[Answer], *, ran: Collection[str]
) -> list[Violation]:
    """Return requests that ran although every caller was told that they did not.

    Args:
        answers: All answers; several may have the same idempotency key.
        ran: Tags and idempotency keys that backend servers executed.
    """
    run_states_by_tag: dict[str, set[str]] = defaultdict(set)
    for answer in answers:
        run_states_by_tag[answer.tag].add(
            "whole" if answer.outcome is Outcome.WHOLE else answer.run
        )
    return [
        Violation(tag, "ran but was refused as not run")
        for tag, states in run_states_by_tag.items()
        if states == {"not-run"} and tag in ran
    ]


def at_most_once_violations(
    answers: Iterable[Answer], effects: Sequence[dict]
) -> list[Violation]:
    """Return repeated effects, answers without an effect, and differing answers.

    Args:
        answers: Answers to calls, in the order of arrival per idempotency key.
        effects: Trace records of plain services.
    """
    violations = repeated_effects(effects)
    executed = {record["key"] for record in effects}
    unknown: set[str] = set()
    bodies: dict[str, bytes] = {}
    for answer in answers:
        tag = answer.tag
        if answer.run == "unknown":
            unknown.add(tag)
        if answer.run == "not-run" and tag in unknown:
            violations.append(Violation(tag, "not-run after it was said to be unknown"))
        if answer.outcome is not Outcome.WHOLE:
            continue
        if tag not in executed:
            violations.append(Violation(tag, "answered but had no effect"))
        if bodies.setdefault(tag, answer.body) != answer.body:
            violations.append(Violation(tag, "two callers got different answers"))
    return violations


def order_violations(
    orders: Mapping[str, Sequence[tuple[int, int, str]]],
) -> list[Violation]:
    """Return orders that an engine carried out after a newer order.

    Args:
        orders: Term, sequence number and action of each order, by engine.
    """
    violations = []
    for name, executed in orders.items():
        newest = (0, 0)
        for term, sequence, action in executed:
            if (term, sequence) < newest:
                description = f"{action} ({term}, {sequence}) after {newest}"
                violations.append(Violation(name, description))
            newest = max(newest, (term, sequence))
    return violations


@dataclass(frozen=True, slots=True)
class RevisionObservation:
    """The configuration revision that one process applied at one moment.

    Attributes:
        process: Name of the process and id of its start.
        revision: Revision applied by the process.
        min_revision: Lowest revision allowed, which was accepted longer ago than the
            propagation time.
    """

    process: str
    revision: int
    min_revision: int


def revision_violations(observations: Iterable[RevisionObservation]) -> list[Violation]:
    """Return processes whose revision decreased or was applied too late.

    Args:
        observations: Observations in chronological order, of serving processes only.
    """
    violations: dict[tuple[str, str], Violation] = {}
    newest: dict[str, int] = {}
    for observation in observations:
        name, revision = observation.process, observation.revision
        if revision < newest.get(name, 0):
            description = f"revision {revision} after {newest[name]}"
            violations.setdefault((name, "back"), Violation(name, description))
        if revision < observation.min_revision:
            description = (
                f"serves by revision {revision}"
                f" where {observation.min_revision} was due"
            )
            violations.setdefault((name, "late"), Violation(name, description))
        newest[name] = max(revision, newest.get(name, 0))
    return list(violations.values())


def work_after_drain(
    steps: Iterable[dict],
    *,
    drained_at_ns: Mapping[str, int],
    undrained_at_ns: Mapping[str, int],
) -> list[Violation]:
    """Return sequences that started at an engine too long after it began to drain.

    Args:
        steps: Trace records of engines.
        drained_at_ns: Monotonic time at which draining was accepted, by engine.
        undrained_at_ns: Monotonic time at which draining was cancelled, by engine.
    """
    limit_ns = int(DRAIN_EFFECTIVE_AFTER_S * 1e9)
    violations = []
    for record in steps:
        drained_ns = drained_at_ns.get(record["engine"])
        if drained_ns is None or record["position"] > 0:
            continue
        undrained_ns = undrained_at_ns.get(record["engine"], record["at_ns"] + 1)
        if drained_ns + limit_ns < record["at_ns"] < undrained_ns:
            delay_s = (record["at_ns"] - drained_ns) / 1e9
            description = (
                f"new work at {record['engine']} {delay_s:.1f} s after it left"
            )
            violations.append(Violation(record["sequence"], description))
    return violations
