"""Cost of deciding a request and of changing one section, by document size.

Bounds are on the number of Python calls, which is the same in every run; times are
reported only. The baselines are a linear scan of all rules, and parsing the whole new
document with the current one as its base.
"""

__all__ = ["measure"]

import gc
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator

from bench.report import Figure
from wigeonscale.ports import SystemClock
from wigeonscale.reports import BurnRecorder
from wigeonscale.rules import (
    Document,
    RequestFacts,
    Ruleset,
    parse_document,
    patch_document,
)
from wigeonscale.wire import wire_pb2

ORGANISATIONS = (1_000, 10_000, 30_000)
RULES = (10, 100, 1_000)
FIXED_ORGANISATIONS = 1_000
FIXED_RULES = 100
REPEATS = 300
BASELINE_REPEATS = 5
MEMORY_ORGANISATIONS = 3_000
US_PER_S = 1e6
NS_PER_US = 1e3
# Growth allowed from the smallest to the largest size; a trie gains one level.
MAX_CALL_GROWTH = 1.5
MAX_BYTE_GROWTH = 1.05
MAX_BYTES_PER_ORGANISATION = 1_000

CONDITION_BY_KEY = {
    "organisation": "organisation is o{n} and path under /v1/",
    "model": "model is m{n}",
    "path": "path under /v1/team{n}/",
    "header": "header x-team is t{n}",
}


def measure() -> list[Figure]:
    """Return the figures of decide, patch and the burn recorder."""
    figures: list[Figure] = []
    figures += _by_organisations()
    for key in CONDITION_BY_KEY:
        figures += _by_rules(key)
    figures += _memory()
    return figures


def _document(organisations: int, rules: int, key: str) -> Document:
    parts = ["[pipeline p]\nmodel = m\nlayers = 12\n"]
    parts += [
        f"[organisation o{n}]\nkeys = key-{n}\nshare = 2\n"
        for n in range(organisations)
    ]
    parts += [_rule_text(n, key) for n in range(rules)]
    parts.append("[rule last]\nwhen = always\nthen = refuse because no rule\n")
    return parse_document("".join(parts))


def _rule_text(number: int, key: str, limit: int = 8) -> str:
    when = CONDITION_BY_KEY[key].format(n=number)
    return (
        f"[rule r{number}]\nwhen = {when}\nthen = route pipeline p\nlimit = {limit}\n"
    )


def _facts(number: int) -> RequestFacts:
    return RequestFacts(
        organisation=f"o{number}",
        method="POST",
        path=f"/v1/team{number}/completions",
        model=f"m{number}",
        headers={"accept": "*/*", "content-type": "json", "x-team": f"t{number}"},
    )


def _by_organisations() -> Iterator[Figure]:
    documents = {n: _document(n, FIXED_RULES, "organisation") for n in ORGANISATIONS}
    yield from _size_sweep(
        "rules/organisations", documents, FIXED_RULES, "organisation"
    )
    size = ORGANISATIONS[-1]
    largest = documents[size]
    text = largest.text.replace("limit = 8", "limit = 9", 1)
    whole_us = _time_us(lambda: parse_document(text, base=largest), BASELINE_REPEATS)
    name = f"rules/organisations/patch_rule/{size}/whole_document"
    yield Figure(name, whole_us, "us")


def _by_rules(key: str) -> Iterator[Figure]:
    documents = {n: _document(FIXED_ORGANISATIONS, n, key) for n in RULES}
    yield from _size_sweep(f"rules/keyed_by_{key}", documents, None, key)
    largest = documents[RULES[-1]]
    facts = _facts(RULES[-1] - 1)
    name = f"rules/keyed_by_{key}/decide/{RULES[-1]}/linear_scan"
    yield Figure(name, _time_us(lambda: _linear_scan(largest, facts)), "us")


def _linear_scan(document: Document, facts: RequestFacts) -> object:
    for rule in document.rules:
        if all(test(facts) for test in rule.tests):
            return rule.decision
    return None


def _size_sweep(
    name: str, documents: dict[int, Document], rules: int | None, key: str
) -> Iterator[Figure]:
    """Yield the figures of a series of document sizes.

    Args:
        name: Prefix of the figures' names.
        documents: Document by size.
        rules: Number of rules in each document; None if the size is that number.
        key: Condition by which the rules are looked up.
    """
    operations = {
        size: _operations(document, (rules or size) - 1, key)
        for size, document in documents.items()
    }
    kinds = ("decide", "patch_rule", *(["patch_organisation"] if rules else []))
    for operation in kinds:
        by_size = {size: operations[size][operation] for size in documents}
        yield from _cost(f"{name}/{operation}", by_size)
    changes = {size: _rule_change((rules or size) - 1, key) for size in documents}
    sizes = [_update_bytes(documents[n], change) for n, change in changes.items()]
    for size, count in zip(documents, sizes, strict=True):
        yield Figure(f"{name}/change/{size}/sent", count, "bytes")
    growth = sizes[-1] / sizes[0]
    yield Figure(
        f"{name}/change/growth", growth, "ratio", high=_bytes_bound(documents, rules)
    )


def _bytes_bound(documents: dict[int, Document], rules: int | None) -> float:
    if rules is not None:
        return MAX_BYTE_GROWTH
    # In a longer document the number of the changed rule has more digits, in its name
    # and condition and in the name of the rule before it.
    return MAX_BYTE_GROWTH + 0.1


def _operations(document: Document, number: int, key: str) -> dict[str, Callable]:
    ruleset = Ruleset.from_document(document)
    facts = _facts(number)
    assert ruleset.decide(facts).rule == f"r{number}"
    rule = _rule_change(number, key)
    organisation = wire_pb2.SectionChange(
        name="organisation o5",
        text="[organisation o5]\nkeys = key-5\nshare = 3\n",
        after="organisation o4",
    )
    return {
        "decide": lambda: ruleset.decide(facts),
        "patch_rule": lambda: patch_document(document, [rule]),
        "patch_organisation": lambda: patch_document(document, [organisation]),
    }


def _rule_change(number: int, key: str) -> wire_pb2.SectionChange:
    return wire_pb2.SectionChange(
        name=f"rule r{number}",
        text=_rule_text(number, key, limit=9),
        after=f"rule r{number - 1}",
    )


def _update_bytes(document: Document, change: wire_pb2.SectionChange) -> int:
    digest = patch_document(document, [change]).digest
    update = wire_pb2.ConfigUpdate(
        base_revision=46_000, revision=46_001, changes=[change], digest=digest
    )
    return update.ByteSize()


def _cost(name: str, by_size: dict[int, Callable[[], object]]) -> Iterator[Figure]:
    calls = {size: _count_calls(operation) for size, operation in by_size.items()}
    times = {size: _time_us(operation) for size, operation in by_size.items()}
    for size in by_size:
        yield Figure(f"{name}/{size}/calls", calls[size], "calls")
        yield Figure(f"{name}/{size}/time", times[size], "us")
    sizes = list(by_size)
    growth = calls[sizes[-1]] / calls[sizes[0]]
    yield Figure(f"{name}/growth", growth, "ratio", high=MAX_CALL_GROWTH)
    slope = statistics.linear_regression(sizes, list(times.values())).slope
    yield Figure(f"{name}/slope", slope * NS_PER_US, "ns/each")


def _count_calls(operation: Callable[[], object]) -> int:
    """Return the number of Python and C function calls of an operation."""
    operation()
    count = 0

    def count_call(frame: object, event: str, arg: object) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(count_call)
    try:
        operation()
    finally:
        sys.setprofile(None)
    return count


def _time_us(operation: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the median processor time of an operation, in microseconds."""
    samples = []
    gc.disable()
    try:
        for _ in range(repeats):
            start = time.process_time()
            operation()
            samples.append(time.process_time() - start)
    finally:
        gc.enable()
    return statistics.median(samples) * US_PER_S


def _memory() -> Iterator[Figure]:
    document_bytes = _allocated(
        lambda: _document(MEMORY_ORGANISATIONS, 1, "organisation")
    )
    count = MEMORY_ORGANISATIONS
    yield Figure("rules/bytes_per_organisation", document_bytes / count, "bytes")
    recorder_bytes = _allocated(_full_recorder) - _allocated(_empty_recorder)
    yield Figure(
        "reports/bytes_per_organisation",
        recorder_bytes / count,
        "bytes",
        high=MAX_BYTES_PER_ORGANISATION,
    )


def _empty_recorder() -> BurnRecorder:
    return BurnRecorder(clock=SystemClock())


def _full_recorder() -> BurnRecorder:
    recorder = _empty_recorder()
    for number in range(MEMORY_ORGANISATIONS):
        recorder.record_request(f"o{number}", True)
        recorder.record_first_token(f"o{number}", 0.1)
        recorder.record_gap(f"o{number}", 0.01, 20)
    return recorder


def _allocated(build: Callable[[], object]) -> int:
    """Return the bytes that remain allocated while the built object exists."""
    build()  # Warm-up: fills caches that outlive the object.
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        built = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        del built
    finally:
        tracemalloc.stop()
    return after - before
