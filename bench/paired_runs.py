"""Plays of days, paired by way: what a comparison of ways reads and reckons."""

__all__ = [
    "Difference",
    "Play",
    "Way",
    "differences",
    "parse_way",
    "read_report",
    "read_rows",
    "set_constant",
    "show",
]

import argparse
import json
import math
import pathlib
import re
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

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
