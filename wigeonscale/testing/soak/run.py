"""One run of the soak: start, load under faults, recover, judge."""

__all__ = ["SoakResult", "run_soak"]

import asyncio
import pathlib
import random
from dataclasses import dataclass

from wigeonscale.testing.soak.backends import Backend
from wigeonscale.testing.soak.deployment import Deployment
from wigeonscale.testing.soak.faults import draw_faults, inject
from wigeonscale.testing.soak.ledger import Ledger
from wigeonscale.testing.soak.load import KINDS, Load, new_session
from wigeonscale.testing.soak.notices import draw_notices, say

ENGINES = 4
PLAIN = 2
CALLERS = 6
# Far above what a busy machine needs; a run that gets here is broken.
LIMIT_S = 60.0


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What became of one run.

    Attributes:
        seed: Its seed.
        answers: Answers by status, or by what came instead.
        broken: Broken promises, in words.
    """

    seed: int
    answers: dict
    broken: tuple[str, ...]


async def run_soak(seed: int, *, seconds: float, folder: pathlib.Path) -> SoakResult:
    """Play one seed.

    Args:
        seed: Decides faults, targets and load, not their exact timing.
        seconds: Length of the load under faults.
        folder: Empty folder for settings, data and logs, which are kept.
    """
    rng = random.Random(seed)
    ledger = Ledger()
    dep = Deployment(folder=folder)
    engines: dict[str, Backend] = {}
    backends = [
        Backend(
            service=service,
            controls=dep.control_addresses,
            ledger=ledger,
            engines=engines,
            rng=rng,
        )
        for service in ["model"] * ENGINES + ["plain"] * PLAIN
    ]
    load = Load(dep=dep, ledger=ledger, rng=rng)
    try:
        for node in dep.nodes:
            await dep.start(node)
        for backend in backends:
            await backend.start()
        async with new_session() as session:
            await load.change(session, 1)
            await _until_served(load, session, dep, ledger, "at first")
            notices = draw_notices(seed, seconds=seconds, backends=len(backends))
            await _under_faults(rng, load, dep, backends, seconds, ledger, notices)
            await _until_served(load, session, dep, ledger, "after the faults")
            await _until_read(load, session, ledger)
            ledger.check_crashes()
            ledger.notices.check_limits()
    finally:
        for backend in backends:
            await backend.close()
        await dep.close()
    return SoakResult(
        seed, dict(ledger.answers), (*ledger.broken, *ledger.notices.broken)
    )


async def _under_faults(rng, load, dep, backends, seconds, ledger, notices) -> None:
    faults = draw_faults(
        rng, seconds=seconds, nodes=len(dep.nodes), backends=len(backends)
    )
    disks = asyncio.Lock()
    loads = [asyncio.create_task(load.call_for_ever()) for _ in range(CALLERS)]
    loads.append(asyncio.create_task(load.change_for_ever()))
    loads.append(asyncio.create_task(load.crash_for_ever()))

    async def later(fault) -> None:
        await asyncio.sleep(fault.at_s)
        await inject(fault, dep=dep, backends=backends, disks=disks)

    async def say_later(notice) -> None:
        await asyncio.sleep(notice.at_s)
        await say(notice, backends[notice.target], ledger.notices)

    try:
        await asyncio.gather(
            *(later(fault) for fault in faults),
            *(say_later(notice) for notice in notices),
        )
    finally:
        for task in loads:
            task.cancel()
        for outcome in await asyncio.gather(*loads, return_exceptions=True):
            if not isinstance(outcome, asyncio.CancelledError):
                ledger.broken.append(f"the load failed: {outcome!r}")


async def _until_served(load, session, dep, ledger, when) -> None:
    """Wait until each entry serves each kind; a promise is broken if it never does."""
    for entry in dep.entries:
        for kind in KINDS:
            try:
                async with asyncio.timeout(LIMIT_S):
                    while not await load.call(session, entry, kind):
                        await asyncio.sleep(0.1)
            except TimeoutError:
                ledger.broken.append(f"{entry.name} serves no {kind} {when}")


async def _until_read(load, session, ledger) -> None:
    try:
        async with asyncio.timeout(LIMIT_S):
            while await load.read(session) is None:
                await asyncio.sleep(0.1)
    except TimeoutError:
        ledger.broken.append("no replica tells the configuration after the faults")
