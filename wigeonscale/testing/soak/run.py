"""One run of the soak test: start, load under faults, recovery and checks."""

__all__ = ["SoakResult", "run_soak"]

import asyncio
import pathlib
import random
from dataclasses import dataclass

from wigeonscale.testing.soak.backends import Backend
from wigeonscale.testing.soak.deployment import CONTROLS, ENTRIES, Deployment
from wigeonscale.testing.soak.faults import draw_faults, inject
from wigeonscale.testing.soak.freezes import (
    apply_freeze,
    draw_freezes,
    draw_planned_work,
)
from wigeonscale.testing.soak.invariants import InvariantChecker
from wigeonscale.testing.soak.load import BATCH, Load, new_session
from wigeonscale.testing.soak.notices import apply_notice, draw_notices

ENGINES = 4
PLAIN_SERVERS = 2
# Indices of the backend servers of each service.
SERVICES = (range(ENGINES), range(ENGINES, ENGINES + PLAIN_SERVERS))
DAEMONS = len(CONTROLS) + len(ENTRIES)
CALLERS = 8
# Connections to entries that stay open and are used until the entry closes them.
KEPT_CONNECTIONS = 24
# Every third seed has traffic classes. None of REGRESSION_SEEDS has: they failed
# without.
SEEDS_PER_CLASSES = 3
# Far more than a busy machine needs; reaching it is a violation.
TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The result of one run.

    Attributes:
        seed: Its seed.
        answers: Number of answers by status; also of callers that got nothing, and of
            responses without their end.
        violations: Descriptions of the violations found.
    """

    seed: int
    answers: dict
    violations: tuple[str, ...]


async def run_soak(
    seed: int,
    *,
    seconds: float,
    folder: pathlib.Path,
    has_classes: bool | None = None,
    is_planned: bool = False,
) -> SoakResult:
    """Run one seed.

    Args:
        seed: Determines faults and targets, but not their exact timing.
        seconds: Duration of the load under faults.
        folder: Empty folder for settings, data and logs, which are kept.
        has_classes: Whether the generations have traffic classes, and bursts of the
            less urgent class are sent; None to derive it from the seed.
        is_planned: Whether there is only planned work, with freezes and notices of
            backend servers. Few lost responses are excused then.
    """
    if has_classes is None:
        has_classes = seed % SEEDS_PER_CLASSES == 0
    rng = random.Random(seed)
    # Heartbeats and callers draw when they run, so they have generators of their own.
    faults = draw_faults(
        rng, seconds=seconds, nodes=DAEMONS, backends=ENGINES + PLAIN_SERVERS
    )
    checker = InvariantChecker()
    dep = Deployment(folder=folder)
    engines: dict[str, Backend] = {}
    backends = [
        Backend(
            service=service,
            controls=dep.control_addresses,
            checker=checker,
            engines=engines,
            rng=random.Random(rng.random()),
        )
        for service in ["model"] * ENGINES + ["plain"] * PLAIN_SERVERS
    ]
    load = Load(
        dep=dep,
        checker=checker,
        rng=random.Random(rng.random()),
        has_classes=has_classes,
        has_crashes=not is_planned,
    )
    try:
        for node in dep.nodes:
            await dep.start(node)
        for backend in backends:
            await backend.start()
        async with new_session() as session:
            await load.change(session, 1)
            await _wait_until_served(load, session, dep, checker, "at first")
            notices = draw_notices(seed, seconds=seconds, backends=len(backends))
            freezes = draw_freezes(seed, seconds=seconds, services=SERVICES)
            planned = draw_planned_work(
                seed,
                freezes,
                entries=range(len(CONTROLS), DAEMONS),
                nodes=DAEMONS,
            )
            if is_planned:
                faults = []
            await _run_load_with_faults(
                [*faults, *planned], load, dep, backends, checker, notices, freezes
            )
            await _wait_until_served(load, session, dep, checker, "after the faults")
            await _wait_until_read(load, session, checker)
            checker.check_crashes()
            checker.notices.check_limits()
    finally:
        for backend in backends:
            await backend.close()
        await dep.close()
    violations = (
        *checker.violations,
        *checker.notices.violations,
        *checker.responses.violations(),
        *dep.unexpected_exits,
    )
    return SoakResult(seed, dict(checker.answers), violations)


async def _run_load_with_faults(
    faults, load, dep, backends, checker, notices, freezes
) -> None:
    control_lock = asyncio.Lock()
    loads = [asyncio.create_task(load.run_callers()) for _ in range(CALLERS)]
    for number in range(KEPT_CONNECTIONS):
        entry = dep.entries[number % len(dep.entries)]
        loads.append(asyncio.create_task(load.run_kept_connection(entry)))
    loads.append(asyncio.create_task(load.run_operator()))
    loads.append(asyncio.create_task(load.run_slow_caller()))
    if load.has_crashes:
        loads.append(asyncio.create_task(load.run_crashing_caller()))
        loads.append(asyncio.create_task(load.run_crashing_part_caller()))
    if BATCH in load.kinds:
        loads.append(asyncio.create_task(load.run_bursts()))

    async def inject_later(fault) -> None:
        await asyncio.sleep(fault.start_s)
        violation = await inject(
            fault, dep=dep, backends=backends, control_lock=control_lock
        )
        if violation is not None:
            checker.violations.append(violation)

    async def apply_later(notice) -> None:
        await asyncio.sleep(notice.start_s)
        await apply_notice(notice, backends[notice.target], checker.notices)

    async def freeze_later(freeze) -> None:
        await asyncio.sleep(freeze.start_s)
        await apply_freeze(freeze, backends)

    try:
        await asyncio.gather(
            *(inject_later(fault) for fault in faults),
            *(apply_later(notice) for notice in notices),
            *(freeze_later(freeze) for freeze in freezes),
        )
    finally:
        for task in loads:
            task.cancel()
        for outcome in await asyncio.gather(*loads, return_exceptions=True):
            if not isinstance(outcome, asyncio.CancelledError):
                checker.violations.append(f"the load failed: {outcome!r}")


async def _wait_until_served(load, session, dep, checker, when) -> None:
    """Wait until each entry serves each kind of request; a timeout is a violation."""

    async def wait(entry, kind) -> None:
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await dep.wait_until_ready(entry)
                while not await load.call(session, entry, kind):
                    await asyncio.sleep(0.1)
        except TimeoutError:
            checker.violations.append(f"{entry.name} serves no {kind} {when}")

    await asyncio.gather(
        *(wait(entry, kind) for entry in dep.entries for kind in load.kinds)
    )


async def _wait_until_read(load, session, checker) -> None:
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while await load.read(session) is None:
                await asyncio.sleep(0.1)
    except TimeoutError:
        checker.violations.append("no replica tells the configuration after the faults")
