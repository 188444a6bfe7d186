r"""Compares ways of one decision: deployments x days x seeds x ways, in pairs.

A way is a commit, or a commit with other values of named constants, such as
``HEAD:wigeonscale/direct/stalls.py:STALL_TIMEOUT_S=0.2``. Each way gets a checkout of
its own below ``--work``; each play is one run of the users' bench (``--bench``), whose
report becomes one JSON line in ``--rows``. A row that is there is not played again, so
that a stopped comparison goes on where it was. The processor time of plays is not
charged.

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
    Play,
    Way,
    parse_way,
    read_report,
    read_rows,
    set_constant,
    show,
)


async def check_out(way: Way, repository: pathlib.Path, work: pathlib.Path) -> None:
    """Make the checkout of a way, unless it is there."""
    folder = work / way.name
    if folder.exists():
        return
    await _run("git", "-C", repository, "worktree", "prune")
    await _run(
        "git", "-C", repository, "worktree", "add", "--detach", folder, way.revision
    )
    for file, name, value in way.constants:
        path = folder / file
        path.write_text(set_constant(path.read_text(), name, value))


async def play(
    args: argparse.Namespace, way: Way, site: pathlib.Path, day: str, seed: int
) -> Play:
    """Play one day and return it."""
    folder = args.work / way.name
    report = args.work / f"{way.name}-{site.stem}-{pathlib.Path(day).stem}-{seed}.json"
    why = f"comparison of ways: {way.name}"
    words = [args.bench, "run", site, day, "--seed", seed, "--no-cpu"]
    await _run(*words, "--report", report, "--why", why, cwd=folder)
    return read_report(
        json.loads(report.read_text()),
        site=site.stem,
        day=pathlib.Path(day).stem,
        seed=seed,
        way=way.name,
    )


async def _run(*words: object, cwd: pathlib.Path | None = None) -> None:
    process = await asyncio.create_subprocess_exec(
        *map(str, words),
        cwd=cwd,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
    )
    _, errors = await process.communicate()
    if process.returncode:
        # A day with a broken rule ends so, too; its report says which.
        print(errors.decode(errors="replace")[-500:], file=sys.stderr)


def keep_journal(
    work: pathlib.Path, ways: Iterable[Way], journal: pathlib.Path
) -> None:
    """Copy what the bench has noted in the checkouts of the ways."""
    for way in ways:
        for path in (work / way.name / "journal").rglob("*"):
            target = journal / path.relative_to(work / way.name / "journal")
            if path.is_file() and not target.exists():
                target.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy2(path, target)


async def compare(args: argparse.Namespace) -> list[Play]:
    """Play what is missing, and return all plays of the ways."""
    args.work.mkdir(parents=True, exist_ok=True)
    for way in args.way:
        await check_out(way, args.repository, args.work)
    done = {(each.case, each.way) for each in read_rows(args.rows)}
    slots = asyncio.Semaphore(args.jobs)

    async def one(way: Way, site: pathlib.Path, day: str, seed: int) -> None:
        case = (site.stem, pathlib.Path(day).stem, seed)
        if (case, way.name) in done:
            return
        async with slots:
            try:
                row = await play(args, way, site, day, seed)
            except (OSError, ValueError, KeyError) as exc:
                print(f"{way.name} {case}: no report: {exc!r}", file=sys.stderr)
                return
        with args.rows.open("a") as stream:
            stream.write(json.dumps(asdict(row)) + "\n")

    await asyncio.gather(
        *[
            one(way, site, day, seed)
            for seed in args.seed
            for site in args.site
            for day in args.day
            for way in args.way
        ]
    )
    keep_journal(args.work, args.way, args.repository / "journal")
    names = {way.name for way in args.way}
    return [each for each in read_rows(args.rows) if each.way in names]


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    found = argparse.ArgumentParser(prog="python -m bench.ways", description=__doc__)
    found.formatter_class = argparse.RawDescriptionHelpFormatter
    path = pathlib.Path
    found.add_argument("--bench", required=True, type=path, help="the users' bench")
    found.add_argument("--repository", default=path.cwd(), type=path)
    found.add_argument("--work", required=True, type=path, help="folder of checkouts")
    found.add_argument("--rows", required=True, type=path, help="file of JSON lines")
    found.add_argument("--site", required=True, action="append", type=path)
    found.add_argument("--day", required=True, action="append", help="name or file")
    found.add_argument("--seed", required=True, action="append", type=int)
    found.add_argument("--way", required=True, action="append", type=parse_way)
    found.add_argument("--jobs", default=4, type=int, help="plays at a time")
    return found


def main() -> int:
    """Compare, and print the tables."""
    args = parser().parse_args()
    for name in ("bench", "repository", "work", "rows"):
        setattr(args, name, getattr(args, name).resolve())
    args.site = [site.resolve() for site in args.site]
    plays = asyncio.run(compare(args))
    print(show(plays, [way.name for way in args.way]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
