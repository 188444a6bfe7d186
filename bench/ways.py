r"""Compares ways of one decision: deployments x days x seeds x ways, in pairs.

A way is a commit, or a commit with other values of named constants, such as
``HEAD:wigeonscale/direct/stalls.py:QUIET_S=0.2``. Each way gets a checkout of its own
below ``--work``; each play is one run of the users' bench (``--bench``), whose report
becomes one JSON line in ``--rows``. A row that is there is not played again, so that a
stopped comparison goes on where it was. The processor time of plays is not charged.

Example:
    python -m bench.ways --bench PATH --work ../ways --rows rows.jsonl \
        --site a.toml --day trouble-1 --seed 1 --seed 2 \
        --way old=HEAD --way new=HEAD:wigeonscale/direct/stalls.py:QUIET_S=0.2
"""

__all__ = ["Difference", "Play", "Way", "differences", "parse_way", "set_constant"]

import argparse
import asyncio
import json
import math
import pathlib
import re
import shutil
import statistics
import sys
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass

# Two-sided 95 % points of Student's t by degrees of freedom; beyond the last, 1.96.
T_95 = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18)
T_95_MANY = 1.96
WAY_PATTERN = re.compile(
    r"^(?P<name>[\w.-]+)=(?P<revision>[^:]+)(?P<constants>(:.*)?)$"
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Way:
    """One way of a decision.

    Attributes:
        name: Its name in rows and tables.
        revision: Commit that it starts from.
        constants: File, name and value of each constant that differs there.
    """

    name: str
    revision: str
    constants: tuple[tuple[str, str, str], ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Play:
    """One play of a day.

    Attributes:
        site: Name of the deployment's file, without its folder.
        day: Name of the day.
        seed: Its seed.
        way: Name of the way.
        worth: Figure of the whole day, prices taken off.
        parts: Parts of that figure by name, before prices.
        prices: Sum of the prices.
        broken: Rules that were broken; empty for none.
    """

    site: str
    day: str
    seed: int
    way: str
    worth: float
    parts: dict[str, float]
    prices: float
    broken: str = ""

    @property
    def case(self) -> tuple[str, str, int]:
        """What pairs it with the plays of other ways."""
        return self.site, self.day, self.seed


@dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """Mean of the paired differences of a way from the first one.

    Attributes:
        way: Name of the way.
        site: Deployment; empty for all together.
        pairs: How many pairs.
        mean: Mean difference in worth.
        spread: Half of the 95 % interval; infinite for one pair.
    """

    way: str
    site: str
    pairs: int
    mean: float
    spread: float

    @property
    def is_shown(self) -> bool:
        """Whether the interval lies on one side of 0."""
        return abs(self.mean) > self.spread


def parse_way(text: str) -> Way:
    """Return the way that an argument names.

    Args:
        text: ``NAME=REVISION`` and, for each constant, ``:FILE:CONSTANT=VALUE``.

    Raises:
        argparse.ArgumentTypeError: It reads otherwise.

    Example:
        >>> parse_way("new=HEAD:a.py:LIMIT_S=0.2").constants
        (('a.py', 'LIMIT_S', '0.2'),)
    """
    match = WAY_PATTERN.match(text)
    if match is None:
        raise argparse.ArgumentTypeError(f"{text!r} is not NAME=REVISION[:FILE:C=V]")
    words = match["constants"].split(":")[1:]
    constants = []
    for file, setting in zip(words[::2], words[1::2], strict=False):
        name, is_set, value = setting.partition("=")
        if not is_set:
            raise argparse.ArgumentTypeError(f"{setting!r} is not CONSTANT=VALUE")
        constants.append((file, name, value))
    if len(words) % 2:
        raise argparse.ArgumentTypeError(f"{words[-1]!r}: a file without a constant")
    return Way(
        name=match["name"], revision=match["revision"], constants=tuple(constants)
    )


def set_constant(source: str, name: str, value: str) -> str:
    """Return source code with another value of a constant of one line.

    Raises:
        ValueError: No such constant stands there, or more than one.
    """
    changed, count = re.subn(
        rf"^{re.escape(name)} = .*$", f"{name} = {value}", source, flags=re.MULTILINE
    )
    if count != 1:
        raise ValueError(f"{count} lines set {name}")
    return changed


def differences(plays: Iterable[Play], ways: Sequence[str]) -> list[Difference]:
    """Return how the other ways differ from the first, by site and over all.

    Args:
        plays: All plays; those without a partner are left out.
        ways: Names; the first is the one that the others are compared with.
    """
    by_way: dict[str, dict[tuple[str, str, int], Play]] = {name: {} for name in ways}
    for play in plays:
        if play.way in by_way:
            by_way[play.way][play.case] = play
    first = by_way[ways[0]]
    found = []
    for way in ways[1:]:
        cases = sorted(first.keys() & by_way[way].keys())
        sites = sorted({case[0] for case in cases})
        for site in [*sites, ""]:
            gains = [
                by_way[way][case].worth - first[case].worth
                for case in cases
                if not site or case[0] == site
            ]
            if gains:
                found.append(_difference(way, site, gains))
    return found


def _difference(way: str, site: str, gains: Sequence[float]) -> Difference:
    count = len(gains)
    if count < 2:
        spread = math.inf
    else:
        t = T_95[count - 2] if count - 2 < len(T_95) else T_95_MANY
        spread = t * statistics.stdev(gains) / math.sqrt(count)
    return Difference(
        way=way, site=site, pairs=count, mean=statistics.fmean(gains), spread=spread
    )


def read_report(report: dict, *, site: str, day: str, seed: int, way: str) -> Play:
    """Return the play that a report of the bench tells of."""
    broken = [f"{rule} {count}" for rule, count in report["breaks"].items() if count]
    if report["fault"]:
        broken.append(str(report["fault"]))
    return Play(
        site=site,
        day=day,
        seed=seed,
        way=way,
        worth=report["G"],
        parts={name: value for name, _, value in report["parts"]},
        prices=sum(price for _, _, price in report["prices"]),
        broken="; ".join(broken),
    )


def read_rows(path: pathlib.Path) -> list[Play]:
    """Return the plays of a file of rows; none if there is no file."""
    if not path.exists():
        return []
    return [Play(**json.loads(line)) for line in path.read_text().splitlines()]


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


def show(plays: Sequence[Play], ways: Sequence[str]) -> str:
    """Return the tables of a comparison as text."""
    lines = [f"{'site':32}{'day':12}{'seed':>5} " + "".join(f"{w:>12}" for w in ways)]
    by_case: dict[tuple[str, str, int], dict[str, Play]] = {}
    for each in plays:
        by_case.setdefault(each.case, {})[each.way] = each
    for (site, day, seed), row in sorted(by_case.items()):
        cells = [
            f"{row[way].worth:.3f}{'!' if row[way].broken else ''}"
            if way in row
            else "-"
            for way in ways
        ]
        lines.append(
            f"{site:32}{day:12}{seed:>5} " + "".join(f"{c:>12}" for c in cells)
        )
    for each in differences(plays, ways):
        verdict = "" if each.is_shown else "  no difference shown"
        lines.append(
            f"{each.way} - {ways[0]}, {each.site or 'all'}: {each.mean:+.3f}"
            f" +- {each.spread:.3f} ({each.pairs} pairs){verdict}"
        )
    return "\n".join(lines)


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
