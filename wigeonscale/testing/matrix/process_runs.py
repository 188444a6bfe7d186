"""Runs with real processes: SIGKILL, SIGSTOP, SIGTERM and damaged files."""

__all__ = ["PROCESS_CELLS", "ProcessCell"]

import asyncio
import itertools
import shutil
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from wigeonscale.errors import RunState
from wigeonscale.testing.matrix import checks
from wigeonscale.testing.matrix.cluster import LAYERS
from wigeonscale.testing.matrix.load import (
    Answer,
    Outcome,
    apply_rules,
    request_completion,
    send_note,
)
from wigeonscale.testing.matrix.processes import ROLES, Processes
from wigeonscale.testing.traces import (
    Violation,
    layer_order_violations,
    refused_but_ran,
)

LONG_STREAM_TOKENS = 600  # the stream lasts about two seconds
MID_STREAM_TOKENS = 20  # a stream with this many tokens counts as mid-stream
FREEZE_S = 4.5  # longer than the lease
CONFIG_CHANGES = 500
ENTRIES = ("e1", "e2")
ANY_RUN_STATE = frozenset(RunState)
NOT_RUN_ONLY = frozenset({RunState.NOT_RUN})


@dataclass(slots=True)
class ClientResults:
    """The answers that the callers of one run received."""

    streams: list[Answer]
    calls: list[Answer]


Run = Callable[[Processes], Awaitable[list[Violation]]]


@dataclass(frozen=True, slots=True)
class ProcessCell:
    """One matrix cell that runs with real processes.

    Attributes:
        fault: Row.
        step: Column.
        runs: Runs of the cell, by name.
    """

    fault: str
    step: str
    runs: dict[str, Run]


async def _traffic(
    system: Processes, results: ClientResults, max_tokens: int = LONG_STREAM_TOKENS
) -> None:
    answers = [Answer(tag=f"p-{time.monotonic_ns()}-{n}") for n in range(4)]
    results.streams += answers
    for answer in answers:
        answer.max_tokens = max_tokens
    streams = [
        request_completion(system, ENTRIES[n % 2], answer=answer)
        for n, answer in enumerate(answers)
    ]
    calls = [
        send_note(system, entry, tag=f"n-{time.monotonic_ns()}") for entry in ENTRIES
    ]
    *_, first, second = await asyncio.gather(*streams, *calls)
    results.calls += [first, second]


async def _wait_mid_stream(results: ClientResults) -> None:
    async with asyncio.timeout(30):
        while sum(len(each.texts) >= MID_STREAM_TOKENS for each in results.streams) < 2:  # noqa: ASYNC110
            await asyncio.sleep(0.005)


async def _check(
    system: Processes, results: ClientResults, allowed_run_states: frozenset[RunState]
) -> list[Violation]:
    await system.wait_until_ready()
    streams_after = [await request_completion(system, entry) for entry in ENTRIES]
    calls_after = [await send_note(system, entry) for entry in ENTRIES]
    reply = await apply_rules(system, await system.revision())
    found = checks.answer_violations(
        results.streams, layers=LAYERS, allowed_run_states=allowed_run_states
    )
    found += checks.answer_violations(
        streams_after + calls_after, layers=LAYERS, allowed_run_states=()
    )
    steps = await system.steps()
    found += layer_order_violations(steps, layers=LAYERS)
    effects = system.effects()
    found += checks.at_most_once_violations(results.calls + calls_after, effects)
    refused = [
        answer.request_id
        for answer in results.streams
        if answer.outcome is Outcome.REFUSED and answer.run == RunState.NOT_RUN
    ]
    found += refused_but_ran(refused, steps=steps)
    keys = {record["key"] for record in effects}
    found += checks.not_run_violations(results.calls, ran=keys)
    if reply.status != 200:
        found.append(Violation("rules", f"not accepted: {reply.body}"))
    return found


async def _node_for_role(system: Processes, role: str) -> str:
    stages = await system.stages()
    roles = {"head": stages[0], "middle": stages[1], "last": stages[-1]}
    if role in roles:
        return roles[role]
    if role == "leader":
        return await system.leader()
    return {"entry": "entry-1", "service": "agent-directory"}[role]


def _freeze_run(role: str, *, mid_stream: bool) -> Run:
    async def run(system: Processes) -> list[Violation]:
        results = ClientResults([], [])
        name = await _node_for_role(system, role)
        traffic = None
        if mid_stream:
            traffic = asyncio.create_task(_traffic(system, results))
            await _wait_mid_stream(results)
        system.signal(name, signal.SIGSTOP)
        traffic = traffic or asyncio.create_task(_traffic(system, results, 24))
        await asyncio.sleep(FREEZE_S)
        system.signal(name, signal.SIGCONT)
        await traffic
        return await _check(system, results, ANY_RUN_STATE)

    return run


def _kill_run(role: str, *, mid_stream: bool) -> Run:
    async def run(system: Processes) -> list[Violation]:
        results = ClientResults([], [])
        name = await _node_for_role(system, role)
        traffic = asyncio.create_task(_traffic(system, results))
        if mid_stream:
            await _wait_mid_stream(results)
        await system.kill(name)
        await traffic
        await system.restart(name)
        return await _check(system, results, ANY_RUN_STATE)

    return run


async def _commit_with_frozen_leader(system: Processes) -> list[Violation]:
    """Change the rules while the leader is frozen, then thaw the deposed leader."""
    results = ClientResults([], [])
    leader, base = await system.leader(), await system.revision()
    system.signal(leader, signal.SIGSTOP)
    reply = await apply_rules(system, base, operation=f"frozen-{time.monotonic_ns()}")
    system.signal(leader, signal.SIGCONT)
    await _traffic(system, results, 24)
    found = await _check(system, results, ANY_RUN_STATE)
    if reply.status != 200 or reply.body["revision"] != base + 1:
        found.append(Violation("rules", f"operator was told {reply}"))
    return found


def _sigterm_run(role: str) -> Run:
    async def run(system: Processes) -> list[Violation]:
        results = ClientResults([], [])
        name = await _node_for_role(system, role)
        traffic = asyncio.create_task(_traffic(system, results))
        await _wait_mid_stream(results)
        code = await system.stop(name)
        await traffic
        await system.restart(name)
        found = await _check(system, results, NOT_RUN_ONLY)
        if code != 0:
            found.append(Violation(name, f"exit code {code} after SIGTERM"))
        return found

    return run


async def _rolling_restart(system: Processes) -> list[Violation]:
    """Restart each daemon in turn under traffic."""
    results, done = ClientResults([], []), asyncio.Event()

    async def send_traffic() -> None:
        while not done.is_set():
            await _traffic(system, results, 100)

    traffic = asyncio.create_task(send_traffic())
    found = []
    for name in [name for role in ROLES for name in system.names(role)]:
        code = await system.stop(name)
        if code != 0:
            found.append(Violation(name, f"exit code {code} after SIGTERM"))
        await system.restart(name)
        await system.wait_until_ready()
    done.set()
    await traffic
    # Ignore requests without a response: a caller whose connection is refused by a
    # stopped entry would use the other entry.
    results.streams = [each for each in results.streams if each.status]
    results.calls = [each for each in results.calls if each.status]
    return found + await _check(system, results, NOT_RUN_ONLY)


async def _restart_in_every_order(system: Processes) -> list[Violation]:
    """Make ``CONFIG_CHANGES`` changes, then restart all roles in every order."""
    for _ in range(CONFIG_CHANGES):
        await apply_rules(system, system.accepted)
    found = []
    for order in itertools.permutations(ROLES):
        await system.restart_all(order)
        found += await _check_revisions(system, " ".join(order))
    return found + await _check(system, ClientResults([], []), ANY_RUN_STATE)


async def _check_revisions(system: Processes, event: str) -> list[Violation]:
    """Check that no replica serves an older revision until all are ready."""
    found = []
    settled = asyncio.create_task(system.wait_until_ready())
    while not settled.done():
        for name in system.controls:
            shown = await system.page(name, "rules")
            if shown and shown["revision"] < system.accepted:
                old = f"{shown['revision']} of {system.accepted}"
                found.append(Violation(name, f"shows revision {old} after {event}"))
        await asyncio.wait([settled], timeout=0.1)
    await settled
    return found


def _corruption_run(damage: str) -> Run:
    async def run(system: Processes) -> list[Violation]:
        leader = await system.leader()
        name = next(each for each in system.controls if each != leader)
        await system.kill(name)
        _damage_files(system, name, damage)
        await system.restart(name)
        found = await _check_revisions(system, damage)
        if damage == "flipped byte" and "corrupt" not in system.log_text(name):
            found.append(Violation(name, "does not name the broken file"))
        return found + await _check(system, ClientResults([], []), ANY_RUN_STATE)

    return run


def _damage_files(system: Processes, name: str, damage: str) -> None:
    folder = system.data(name)
    if damage == "lost disk":
        shutil.rmtree(folder)
        return
    log = max(folder.glob("*log*"), key=lambda path: path.stat().st_size)
    data = bytearray(log.read_bytes())
    if damage == "torn file":
        log.write_bytes(data[:-3])
    else:
        data[len(data) // 2] ^= 0x40
        log.write_bytes(data)


PROCESS_CELLS: tuple[ProcessCell, ...] = (
    ProcessCell(
        "freeze",
        "dispatch",
        {
            role: _freeze_run(role, mid_stream=False)
            for role in ("head", "middle", "entry", "leader")
        },
    ),
    ProcessCell(
        "freeze",
        "decode",
        {
            role: _freeze_run(role, mid_stream=True)
            for role in ("head", "middle", "last", "entry", "leader")
        },
    ),
    ProcessCell(
        "freeze", "outcome", {"service": _freeze_run("service", mid_stream=False)}
    ),
    ProcessCell("freeze", "commit", {"leader": _commit_with_frozen_leader}),
    ProcessCell(
        "kill -9",
        "dispatch",
        {role: _kill_run(role, mid_stream=False) for role in ("head", "leader")},
    ),
    ProcessCell(
        "kill -9",
        "decode",
        {role: _kill_run(role, mid_stream=True) for role in ("head", "middle", "last")},
    ),
    ProcessCell("kill -9", "commit", {"all, any order": _restart_in_every_order}),
    ProcessCell(
        "SIGTERM",
        "decode",
        {role: _sigterm_run(role) for role in ("head", "middle", "entry", "leader")},
    ),
    ProcessCell("SIGTERM", "drain", {"rolling restart": _rolling_restart}),
    ProcessCell(
        "broken files",
        "commit",
        {damage: _corruption_run(damage) for damage in ("lost disk", "torn file")},
    ),
    ProcessCell(
        "broken files", "snapshot", {"flipped byte": _corruption_run("flipped byte")}
    ),
)
