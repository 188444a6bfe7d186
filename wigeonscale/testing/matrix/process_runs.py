"""Runs with whole processes: real kills, freezes and stops, and broken files."""

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

LONG = 600  # tokens: a stream that goes on for about two seconds
SEEN = 20  # tokens after which a stream is in the middle
FREEZE_S = 4.5  # longer than the lease
CHANGES = 500
ENTRIES = ("e1", "e2")
ANY = frozenset(RunState)
NOT_RUN = frozenset({RunState.NOT_RUN})


@dataclass(slots=True)
class CallersWord:
    """What callers of one run were told."""

    streams: list[Answer]
    calls: list[Answer]


Run = Callable[[Processes], Awaitable[list[Violation]]]


@dataclass(frozen=True, slots=True)
class ProcessCell:
    """One cell that is run with whole processes.

    Attributes:
        fault: Row.
        step: Column.
        runs: What is run, by name.
    """

    fault: str
    step: str
    runs: dict[str, Run]


async def _traffic(
    system: Processes, told: CallersWord, max_tokens: int = LONG
) -> None:
    answers = [Answer(tag=f"p-{time.monotonic_ns()}-{n}") for n in range(4)]
    told.streams += answers
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
    told.calls += [first, second]


async def _mid_stream(told: CallersWord) -> None:
    async with asyncio.timeout(30):
        while sum(len(each.texts) >= SEEN for each in told.streams) < 2:  # noqa: ASYNC110
            await asyncio.sleep(0.005)


async def _check(
    system: Processes, told: CallersWord, allows: frozenset[RunState]
) -> list[Violation]:
    await system.wait_until_ready()
    after = [await request_completion(system, entry) for entry in ENTRIES]
    again = [await send_note(system, entry) for entry in ENTRIES]
    reply = await apply_rules(system, await system.revision())
    found = checks.answer_violations(told.streams, layers=LAYERS, allows=allows)
    found += checks.answer_violations(after + again, layers=LAYERS, allows=())
    steps = await system.steps()
    found += layer_order_violations(steps, layers=LAYERS)
    effects = system.effects()
    found += checks.at_most_once_violations(told.calls + again, effects)
    refused = [
        answer.request_id
        for answer in told.streams
        if answer.outcome is Outcome.REFUSED and answer.run == RunState.NOT_RUN
    ]
    found += refused_but_ran(refused, steps=steps)
    keys = {record["key"] for record in effects}
    found += checks.not_run_violations(told.calls, ran=keys)
    if reply.status != 200:
        found.append(Violation("rules", f"not accepted: {reply.body}"))
    return found


async def _role(system: Processes, role: str) -> str:
    stages = await system.stages()
    roles = {"head": stages[0], "middle": stages[1], "last": stages[-1]}
    if role in roles:
        return roles[role]
    if role == "leader":
        return await system.leader()
    return {"entry": "entry-1", "service": "agent-directory"}[role]


def _frozen(role: str, *, mid_stream: bool) -> Run:
    async def run(system: Processes) -> list[Violation]:
        told = CallersWord([], [])
        name = await _role(system, role)
        traffic = None
        if mid_stream:
            traffic = asyncio.create_task(_traffic(system, told))
            await _mid_stream(told)
        system.signal(name, signal.SIGSTOP)
        traffic = traffic or asyncio.create_task(_traffic(system, told, 24))
        await asyncio.sleep(FREEZE_S)
        system.signal(name, signal.SIGCONT)
        await traffic
        return await _check(system, told, ANY)

    return run


def _killed(role: str, *, mid_stream: bool) -> Run:
    async def run(system: Processes) -> list[Violation]:
        told = CallersWord([], [])
        name = await _role(system, role)
        traffic = asyncio.create_task(_traffic(system, told))
        if mid_stream:
            await _mid_stream(told)
        await system.kill(name)
        await traffic
        await system.restart(name)
        return await _check(system, told, ANY)

    return run


async def _frozen_commit(system: Processes) -> list[Violation]:
    """Freeze the leader, change the rules, and thaw it as the old leader."""
    told = CallersWord([], [])
    leader, base = await system.leader(), await system.revision()
    system.signal(leader, signal.SIGSTOP)
    reply = await apply_rules(system, base, operation=f"frozen-{time.monotonic_ns()}")
    system.signal(leader, signal.SIGCONT)
    await _traffic(system, told, 24)
    found = await _check(system, told, ANY)
    if reply.status != 200 or reply.body["revision"] != base + 1:
        found.append(Violation("rules", f"operator was told {reply}"))
    return found


def _stopped(role: str) -> Run:
    async def run(system: Processes) -> list[Violation]:
        told = CallersWord([], [])
        name = await _role(system, role)
        traffic = asyncio.create_task(_traffic(system, told))
        await _mid_stream(told)
        code = await system.stop(name)
        await traffic
        await system.restart(name)
        found = await _check(system, told, NOT_RUN)
        if code != 0:
            found.append(Violation(name, f"exit code {code} after SIGTERM"))
        return found

    return run


async def _rolling_restart(system: Processes) -> list[Violation]:
    """Stop and start each daemon in turn while traffic flows."""
    told, done = CallersWord([], []), asyncio.Event()

    async def keep_asking() -> None:
        while not done.is_set():
            await _traffic(system, told, 100)

    traffic = asyncio.create_task(keep_asking())
    found = []
    for name in [name for role in ROLES for name in system.names(role)]:
        code = await system.stop(name)
        if code != 0:
            found.append(Violation(name, f"exit code {code} after SIGTERM"))
        await system.restart(name)
        await system.wait_until_ready()
    done.set()
    await traffic
    # A caller whose connection is refused by a stopped entry asks the other one.
    told.streams = [each for each in told.streams if each.status]
    told.calls = [each for each in told.calls if each.status]
    return found + await _check(system, told, NOT_RUN)


async def _restarted_in_every_order(system: Processes) -> list[Violation]:
    """After 500 changes kill all and start them, in every order of the roles."""
    for _ in range(CHANGES):
        await apply_rules(system, system.accepted)
    found = []
    for order in itertools.permutations(ROLES):
        await system.restart_all(order)
        found += await _watch_revisions(system, " ".join(order))
    return found + await _check(system, CallersWord([], []), ANY)


async def _watch_revisions(system: Processes, what: str) -> list[Violation]:
    """Look at every page until all is settled: nothing older may show."""
    found = []
    settled = asyncio.create_task(system.wait_until_ready())
    while not settled.done():
        for name in system.controls:
            shown = await system.page(name, "rules")
            if shown and shown["revision"] < system.accepted:
                old = f"{shown['revision']} of {system.accepted}"
                found.append(Violation(name, f"shows revision {old} after {what}"))
        await asyncio.wait([settled], timeout=0.1)
    await settled
    return found


def _broken_files(what: str) -> Run:
    async def run(system: Processes) -> list[Violation]:
        leader = await system.leader()
        name = next(each for each in system.controls if each != leader)
        await system.kill(name)
        _break(system, name, what)
        await system.restart(name)
        found = await _watch_revisions(system, what)
        if what == "flipped byte" and "corrupt" not in system.log_text(name):
            found.append(Violation(name, "does not name the broken file"))
        return found + await _check(system, CallersWord([], []), ANY)

    return run


def _break(system: Processes, name: str, what: str) -> None:
    folder = system.data(name)
    if what == "lost disk":
        shutil.rmtree(folder)
        return
    log = max(folder.glob("*log*"), key=lambda path: path.stat().st_size)
    data = bytearray(log.read_bytes())
    if what == "torn file":
        log.write_bytes(data[:-3])
    else:
        data[len(data) // 2] ^= 0x40
        log.write_bytes(data)


PROCESS_CELLS: tuple[ProcessCell, ...] = (
    ProcessCell(
        "freeze",
        "dispatch",
        {
            role: _frozen(role, mid_stream=False)
            for role in ("head", "middle", "entry", "leader")
        },
    ),
    ProcessCell(
        "freeze",
        "decode",
        {
            role: _frozen(role, mid_stream=True)
            for role in ("head", "middle", "last", "entry", "leader")
        },
    ),
    ProcessCell("freeze", "outcome", {"service": _frozen("service", mid_stream=False)}),
    ProcessCell("freeze", "commit", {"leader": _frozen_commit}),
    ProcessCell(
        "kill -9",
        "dispatch",
        {role: _killed(role, mid_stream=False) for role in ("head", "leader")},
    ),
    ProcessCell(
        "kill -9",
        "decode",
        {role: _killed(role, mid_stream=True) for role in ("head", "middle", "last")},
    ),
    ProcessCell("kill -9", "commit", {"all, any order": _restarted_in_every_order}),
    ProcessCell(
        "SIGTERM",
        "decode",
        {role: _stopped(role) for role in ("head", "middle", "entry", "leader")},
    ),
    ProcessCell("SIGTERM", "drain", {"rolling restart": _rolling_restart}),
    ProcessCell(
        "broken files",
        "commit",
        {what: _broken_files(what) for what in ("lost disk", "torn file")},
    ),
    ProcessCell(
        "broken files", "snapshot", {"flipped byte": _broken_files("flipped byte")}
    ),
)
