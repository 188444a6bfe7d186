"""What must hold after every fault, as functions over what was recorded."""

__all__ = [
    "answer_violations",
    "at_most_once_violations",
    "not_run_violations",
    "RevisionSeen",
    "order_violations",
    "revision_violations",
    "work_after_leaving",
]

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from wigeonscale.testing.fake_engine import expected_tokens
from wigeonscale.testing.matrix.load import Answer, Outcome
from wigeonscale.testing.traces import Violation, repeated_effects

UNAVAILABLE = 503
# A server that leaves gets no new work after this long, in seconds.
LEAVING_LIMIT_S = 3.0


def answer_violations(
    answers: Iterable[Answer], *, layers: int, allows: Collection[str]
) -> list[Violation]:
    """Return answers that are wrong, cut without a word or refused without need.

    Args:
        answers: Answers of pipelines and of plain services.
        layers: Layers of the model.
        allows: Run states that a refusal may name.
    """
    found = []
    for answer in answers:
        want = expected_tokens(answer.prompt, layers, answer.max_tokens)
        problem = _answer_problem(answer, want)
        if (
            not problem
            and answer.outcome is Outcome.REFUSED
            and answer.run not in allows
        ):
            problem = (
                f"refused, run {answer.run}: {answer.status} {answer.kind}:"
                f" {answer.message}"
            )
        if problem:
            found.append(Violation(answer.tag, problem))
    return found


def _answer_problem(answer: Answer, want: Sequence[str]) -> str:
    if not answer.max_tokens:
        return _refusal_problem(answer) if answer.outcome is Outcome.REFUSED else ""
    count = len(answer.texts)
    if answer.texts != list(want[:count]):
        return f"{count} tokens differ from those due"
    if answer.outcome is Outcome.CUT:
        return f"cut without a word after {count} tokens: {answer.message}"
    if answer.outcome is Outcome.WHOLE and (count, answer.declared) != (len(want),) * 2:
        return f"{count} tokens, {answer.declared} declared, {len(want)} due"
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
    """Return what ran although every caller was told that it did not.

    Args:
        answers: All answers; several may bear one idempotency key.
        ran: Tags and keys that backend servers saw.
    """
    runs: dict[str, set[str]] = defaultdict(set)
    for answer in answers:
        runs[answer.tag].add("whole" if answer.outcome is Outcome.WHOLE else answer.run)
    return [
        Violation(tag, "ran but was refused as not run")
        for tag, states in runs.items()
        if states == {"not-run"} and tag in ran
    ]


def at_most_once_violations(
    answers: Iterable[Answer], effects: Sequence[dict]
) -> list[Violation]:
    """Return repeated effects, answers without effect, and changed answers.

    Args:
        answers: Answers to calls, per key in the order in which they came.
        effects: Records of plain services.
    """
    found = repeated_effects(effects)
    done = {record["key"] for record in effects}
    unknown: set[str] = set()
    bodies: dict[str, bytes] = {}
    for answer in answers:
        tag = answer.tag
        if answer.run == "unknown":
            unknown.add(tag)
        if answer.run == "not-run" and tag in unknown:
            found.append(Violation(tag, "not-run after it was said to be unknown"))
        if answer.outcome is not Outcome.WHOLE:
            continue
        if tag not in done:
            found.append(Violation(tag, "answered but had no effect"))
        if bodies.setdefault(tag, answer.body) != answer.body:
            found.append(Violation(tag, "two callers got different answers"))
    return found


def order_violations(
    orders: Mapping[str, Sequence[tuple[int, int, str]]],
) -> list[Violation]:
    """Return orders that an engine carried out after a newer one.

    Args:
        orders: Term, sequence and action of each order, by engine.
    """
    found = []
    for name, carried_out in orders.items():
        newest = (0, 0)
        for term, sequence, action in carried_out:
            if (term, sequence) < newest:
                what = f"{action} ({term}, {sequence}) after {newest}"
                found.append(Violation(name, what))
            newest = max(newest, (term, sequence))
    return found


@dataclass(frozen=True, slots=True)
class RevisionSeen:
    """The configuration that one process had in force at one moment.

    Attributes:
        process: Name and start of the process.
        revision: In force there.
        due: Smallest revision allowed: what had been accepted long enough before.
    """

    process: str
    revision: int
    due: int


def revision_violations(seen: Iterable[RevisionSeen]) -> list[Violation]:
    """Return where a configuration went back or came too late.

    Args:
        seen: In the order of time; only moments at which the process served.
    """
    found: dict[tuple[str, str], Violation] = {}
    newest: dict[str, int] = {}
    for moment in seen:
        name, revision = moment.process, moment.revision
        if revision < newest.get(name, 0):
            what = f"revision {revision} after {newest[name]}"
            found.setdefault((name, "back"), Violation(name, what))
        if revision < moment.due:
            what = f"serves by revision {revision} where {moment.due} was due"
            found.setdefault((name, "late"), Violation(name, what))
        newest[name] = max(revision, newest.get(name, 0))
    return list(found.values())


def work_after_leaving(
    steps: Iterable[dict],
    *,
    left_at_ns: Mapping[str, int],
    back_at_ns: Mapping[str, int],
) -> list[Violation]:
    """Return sequences that began at an engine too long after it left.

    Args:
        steps: Records of engines.
        left_at_ns: When each leaving server's order was accepted.
        back_at_ns: When it was asked to take work again.
    """
    limit_ns = int(LEAVING_LIMIT_S * 1e9)
    found = []
    for record in steps:
        left_ns = left_at_ns.get(record["engine"])
        if left_ns is None or record["position"] > 0:
            continue
        back_ns = back_at_ns.get(record["engine"], record["at_ns"] + 1)
        if left_ns + limit_ns < record["at_ns"] < back_ns:
            late_s = (record["at_ns"] - left_ns) / 1e9
            what = f"new work at {record['engine']} {late_s:.1f} s after it left"
            found.append(Violation(record["sequence"], what))
    return found
