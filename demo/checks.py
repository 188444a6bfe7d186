"""Checks every answer against the traces of the engines and the plain service."""

__all__ = ["Verdict", "check_outcomes"]

import json
import pathlib
from dataclasses import dataclass, field

from demo.deployment import LAYERS, Deployment
from demo.load import Kind, Outcome
from wigeonscale.testing.fake_engine import expected_tokens
from wigeonscale.testing.traces import layer_order_violations, read_trace

REFUSAL_STATUS = {
    Kind.REFUSED_KEY: 401,
    Kind.REFUSED_MODEL: 404,
    Kind.REFUSED_RULE: 403,
    Kind.MALFORMED: 400,
}
GENERATIONS = (Kind.STREAM, Kind.PLAIN, Kind.RESUME)


@dataclass(slots=True)
class Verdict:
    """Results of the checks.

    Attributes:
        requests: Requests sent.
        whole: Requests that got a complete, correct answer or the expected refusal.
        ordered: Generated sequences whose layers ran in order.
        sequences: Generated sequences.
        repeated_effects: Repetitions of effects in the trace of the plain service.
        unknown: Answers whose ``Wigeonscale-Run`` header is ``unknown``.
        problems: One line for each problem.
    """

    requests: int = 0
    whole: int = 0
    ordered: int = 0
    sequences: int = 0
    repeated_effects: int = 0
    unknown: int = 0
    problems: list[str] = field(default_factory=list)


def check_outcomes(outcomes: list[Outcome], dep: Deployment) -> Verdict:
    """Check all outcomes against the expected answers and the traces.

    Args:
        outcomes: Responses that the callers received, by task.
        dep: Deployment whose traces are read.

    Returns:
        The counts and all problems.
    """
    verdict = Verdict()
    effects = _effects(dep.service_trace)
    for outcome in outcomes:
        problem = _problem(outcome, effects)
        verdict.requests += outcome.requests
        verdict.unknown += outcome.runs.count("unknown")
        if problem:
            where = f"{outcome.task.kind} {outcome.task.number}"
            verdict.problems.append(f"{where}: {problem}")
        else:
            verdict.whole += outcome.requests
    verdict.repeated_effects = sum(n - 1 for n in effects.values() if n > 1)
    _check_layer_order(verdict, dep)
    return verdict


def _check_layer_order(verdict: Verdict, dep: Deployment) -> None:
    records = [rec for path in dep.engine_traces for rec in read_trace(path)]
    verdict.sequences = len({rec["sequence"] for rec in records})
    violations = layer_order_violations(records, layers=LAYERS)
    verdict.ordered = verdict.sequences - len({v.sequence for v in violations})
    verdict.problems += [f"layer order: {violation}" for violation in violations]


def _effects(path: pathlib.Path | None) -> dict[str, int]:
    counts: dict[str, int] = {}
    for line in path.read_text().splitlines() if path and path.exists() else []:
        key = json.loads(line).get("key")
        if key:
            counts[key] = counts.get(key, 0) + 1
    return counts


def _problem(outcome: Outcome, effects: dict[str, int]) -> str:
    kind = outcome.task.kind
    if outcome.error:
        return outcome.error
    if kind in REFUSAL_STATUS:
        return _refusal_problem(outcome, REFUSAL_STATUS[kind])
    if any(status != 200 for status in outcome.statuses):
        return f"statuses {outcome.statuses}, answers {outcome.bodies}"
    if kind in GENERATIONS:
        return _text_problem(outcome)
    if kind is Kind.NOTE_TWICE:
        return _note_problem(outcome, effects)
    return ""


def _refusal_problem(outcome: Outcome, status: int) -> str:
    if outcome.statuses != [status]:
        return f"statuses {outcome.statuses} where {status} was due: {outcome.bodies}"
    if outcome.runs != ["not-run"]:
        return f"refusal says {outcome.runs} where not-run was due"
    return ""


def _text_problem(outcome: Outcome) -> str:
    task = outcome.task
    expected = expected_tokens(task.prompt, LAYERS, task.max_tokens)
    if "".join(outcome.tokens) != "".join(expected):
        return f"got {outcome.tokens} where {expected} was due"
    if outcome.declared != len(expected):
        return f"last event says {outcome.declared} tokens of {len(expected)}"
    return ""


def _note_problem(outcome: Outcome, effects: dict[str, int]) -> str:
    effect_count = effects.get(f"note-{outcome.task.number}", 0)
    if effect_count != 1:
        return f"note ran {effect_count} times"
    if len(set(outcome.bodies)) != 1:
        return f"two answers differ: {outcome.bodies}"
    return ""
