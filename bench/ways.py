r"""Compares variants of the code in paired runs of the users' benchmark.

A variant (``--way``) is a commit, or a commit in which named constants have other
values, such as ``HEAD:wigeonscale/direct/stalls.py:STALL_TIMEOUT_S=0.2``. Every
combination of deployment (``--site``), scenario day (``--day``), seed and variant is
run once. Each variant has its own checkout in the folder ``--work``. Each run calls the
users' benchmark (``--bench``) and appends its report to ``--rows`` as one JSON line.
Runs that have a row already are skipped, so that an interrupted comparison can be
resumed. Runs are not charged for processor time (``--no-cpu``).

Example:
    python -m bench.ways --bench PATH --work ../ways --rows rows.jsonl \
        --site a.toml --day trouble-1 --seed 1 --seed 2 \
        --way old=HEAD --way new=HEAD:wigeonscale/direct/stalls.py:STALL_TIMEOUT_S=0.2
"""

__all__ = ["compare", "main"]

import argparse
import asyncio
import json
import pathlib
import shutil
import sys
from collections.abc import Iterable
from dataclasses import asdict

from bench.paired_runs import (
    DayRun,
    Variant,
    format_tables,
    parse_variant,
    read_report,
    read_rows,
    set_constant,
)


async def check_out(
    variant: Variant, repository: pathlib.Path, work: pathlib.Path
) -> None:
    """Create the checkout of a variant unless its folder exists."""
    folder = work / variant.name
    if folder.exists():
        return
    await _run("git", "-C", repository, "worktree", "prune")
    await _run(
        "git", "-C", repository, "worktree", "add", "--detach", folder, variant.revision
    )
    for file, name, value in variant.constants:
        path = folder / file
        path.write_text(set_constant(path.read_text(), name, value))


async def run_day(
    args: argparse.Namespace, variant: Variant, site: pathlib.Path, day: str, seed: int
) -> DayRun:
    """Run one day under one variant and return its result."""
    folder = args.work / variant.name
    report = (
        args.work / f"{variant.name}-{site.stem}-{pathlib.Path(day).stem}-{seed}.json"
    )
    reason = f"comparison of ways: {variant.name}"
    command = [args.bench, "run", site, day, "--seed", seed, "--no-cpu"]
    await _run(*command, "--report", report, "--why", reason, cwd=folder)
    return read_report(
        json.loads(report.read_text()),
        site=site.stem,
        day=pathlib.Path(day).stem,
        seed=seed,
        way=variant.name,
    )


async def _run(*command: object, cwd: pathlib.Path | None = None) -> None:
    process = await asyncio.create_subprocess_exec(
        *map(str, command),
        cwd=cwd,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
    )
    _, errors = await process.communicate()
    if process.returncode:
        # A day in which a rule was broken also exits non-zero; its report names the
        # rule.
        print(errors.decode(errors="replace")[-500:], file=sys.stderr)


def copy_journals(
    work: pathlib.Path, variants: Iterable[Variant], journal: pathlib.Path
) -> None:
    """Copy the journal entries that the benchmark wrote in the checkouts."""
    for variant in variants:
        for path in (work / variant.name / "journal").rglob("*"):
            target = journal / path.relative_to(work / variant.name / "journal")
            if path.is_file() and not target.exists():
                target.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy2(path, target)


async def compare(args: argparse.Namespace) -> list[DayRun]:
    """Run the missing combinations and return all runs of the variants."""
    args.work.mkdir(parents=True, exist_ok=True)
    for variant in args.way:
        await check_out(variant, args.repository, args.work)
    done = {(each.case, each.way) for each in read_rows(args.rows)}
    slots = asyncio.Semaphore(args.jobs)

    async def run_if_missing(
        variant: Variant, site: pathlib.Path, day: str, seed: int
    ) -> None:
        case = (site.stem, pathlib.Path(day).stem, seed)
        if (case, variant.name) in done:
            return
        async with slots:
            try:
                row = await run_day(args, variant, site, day, seed)
            except (OSError, ValueError, KeyError) as exc:
                print(f"{variant.name} {case}: no report: {exc!r}", file=sys.stderr)
                return
        with args.rows.open("a") as stream:
            stream.write(json.dumps(asdict(row)) + "\n")

    await asyncio.gather(
        *[
            run_if_missing(variant, site, day, seed)
            for seed in args.seed
            for site in args.site
            for day in args.day
            for variant in args.way
        ]
    )
    copy_journals(args.work, args.way, args.repository / "journal")
    names = {variant.name for variant in args.way}
    return [each for each in read_rows(args.rows) if each.way in names]


def build_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(prog="python -m bench.ways", description=__doc__)
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    path = pathlib.Path
    parser.add_argument(
        "--bench", required=True, type=path, help="command of the users' benchmark"
    )
    parser.add_argument("--repository", default=path.cwd(), type=path)
    parser.add_argument(
        "--work", required=True, type=path, help="folder for the checkouts"
    )
    parser.add_argument(
        "--rows", required=True, type=path, help="file for the results, as JSON lines"
    )
    parser.add_argument("--site", required=True, action="append", type=path)
    parser.add_argument(
        "--day", required=True, action="append", help="name or file of a scenario day"
    )
    parser.add_argument("--seed", required=True, action="append", type=int)
    parser.add_argument("--way", required=True, action="append", type=parse_variant)
    parser.add_argument("--jobs", default=4, type=int, help="concurrent runs")
    return parser


def main() -> int:
    """Run the comparison and print its tables."""
    args = build_parser().parse_args()
    for name in ("bench", "repository", "work", "rows"):
        setattr(args, name, getattr(args, name).resolve())
    args.site = [site.resolve() for site in args.site]
    runs = asyncio.run(compare(args))
    print(format_tables(runs, [variant.name for variant in args.way]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
