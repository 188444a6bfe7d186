"""Starts a deployment, sends it a load, checks every answer and stops it.

Usage: ``python -m demo``. The last line says PASS or FAIL; the exit code is 0
only for PASS.
"""

__all__ = ["main"]

import asyncio
import os
import pathlib
import sys
import time

from demo.checks import Verdict, check_outcomes
from demo.deployment import RULES, Deployment, deploy, stop_order, wait_ready
from demo.load import Outcome, make_tasks, run_tasks
from demo.processes import stop_all

TASKS_BEFORE_CHANGE = 112
TASKS_AFTER_CHANGE = 112
PIPELINES_TIMEOUT_S = 30.0
PIPELINES_POLL_INTERVAL_S = 0.2
CHANGED_RULES = RULES.replace("the archive is closed", "the archive has moved")


def main() -> int:
    """Run the demonstration and return the exit code."""
    folder = pathlib.Path("run") / f"demo-{time.strftime('%H%M%S')}-{os.getpid()}"
    folder.mkdir(parents=True)
    print(f"demo: settings, logs and traces in {folder}", flush=True)
    return asyncio.run(_run(folder.resolve()))


async def _run(folder: pathlib.Path) -> int:
    dep = Deployment(folder=folder)
    try:
        await deploy(dep)
        outcomes = await _run_load(dep)
    except (TimeoutError, RuntimeError) as exc:
        await stop_all(stop_order(dep))
        print(f"demo: FAIL {type(exc).__name__}: {exc}")
        return 1
    unclean_stops = await stop_all(stop_order(dep))
    verdict = check_outcomes(outcomes, dep)
    verdict.problems += [f"did not stop cleanly: {name}" for name in unclean_stops]
    return _report(verdict, leftovers=len(unclean_stops))


async def _run_load(dep: Deployment) -> list[Outcome]:
    await _apply_rules(dep, RULES, "rules-1")
    for address in dep.health:
        await wait_ready(f"{address}/readyz")
    await _wait_pipelines(dep)
    print("demo: ready, sending the first half", flush=True)
    outcomes = await run_tasks(make_tasks(TASKS_BEFORE_CHANGE), dep.entries)
    await _apply_rules(dep, CHANGED_RULES, "rules-2")
    print("demo: rules changed, sending the second half", flush=True)
    second = make_tasks(TASKS_AFTER_CHANGE, first=TASKS_BEFORE_CHANGE)
    outcomes += await run_tasks(second, dep.entries)
    print(await _run_wigeonctl(dep, "report", "burn"), flush=True)
    return outcomes


async def _apply_rules(dep: Deployment, text: str, name: str) -> None:
    path = dep.folder / f"{name}.rules"
    path.write_text(text)
    print((await _run_wigeonctl(dep, "rules", "apply", str(path))).strip(), flush=True)


async def _wait_pipelines(dep: Deployment) -> None:
    deadline = time.monotonic() + PIPELINES_TIMEOUT_S
    while (await _run_wigeonctl(dep, "pipelines", "--json")).count('"ready": true') < 2:
        if time.monotonic() > deadline:
            state = await _run_wigeonctl(dep, "pipelines") + await _run_wigeonctl(
                dep, "backends"
            )
            raise TimeoutError(f"pipelines are not ready:\n{state}")
        await asyncio.sleep(PIPELINES_POLL_INTERVAL_S)


async def _run_wigeonctl(dep: Deployment, *args: str) -> str:
    proc = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "wigeonscale.cli.wigeonctl",
        *args,
        env=os.environ | {"WIGEONCTL_CONTROL": ",".join(dep.controls)},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    out, _ = await proc.communicate()
    if proc.returncode != 0:
        raise RuntimeError(f"wigeonctl {' '.join(args)}: {out.decode().strip()}")
    return out.decode()


def _report(verdict: Verdict, *, leftovers: int) -> int:
    for problem in verdict.problems:
        print(f"demo: {problem}")
    passed = not verdict.problems and verdict.repeated_effects == 0
    print(
        f"demo: {'PASS' if passed else 'FAIL'} requests={verdict.requests}"
        f" whole={verdict.whole}"
        f" layer_order={verdict.ordered}/{verdict.sequences}"
        f" repeated_effects={verdict.repeated_effects}"
        f" unknown={verdict.unknown} leftovers={leftovers}"
    )
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
