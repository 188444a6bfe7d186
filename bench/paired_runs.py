"""Plays of days, paired by way: what a comparison of ways reads and reckons."""

__all__ = [
    "DayRun",
    "Difference",
    "Variant",
    "differences",
    "format_tables",
    "parse_variant",
    "read_report",
    "read_rows",
    "set_constant",
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
NORMAL_95 = 1.96
VARIANT_PATTERN = re.compile(
    r"^(?P<name>[\w.-]+)=(?P<revision>[^:]+)(?P<constants>(:.*)?)$"
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Variant:
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
class DayRun:
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
        variant: Name of the variant.
        site: Deployment; empty for all together.
        pairs: How many pairs.
        mean: Mean difference in worth.
        spread: Half of the 95 % interval; infinite for one pair.
    """

    variant: str
    site: str
    pairs: int
    mean: float
    half_width: float

    @property
    def is_significant(self) -> bool:
        """Whether the interval lies on one side of 0."""
        return abs(self.mean) > self.half_width


def parse_variant(text: str) -> Variant:
    """Return the way that an argument names.

    Args:
        text: ``NAME=REVISION`` and, for each constant, ``:FILE:CONSTANT=VALUE``.

    Raises:
        argparse.ArgumentTypeError: It reads otherwise.

    Example:
        >>> parse_variant("new=HEAD:a.py:LIMIT_S=0.2").constants
        (('a.py', 'LIMIT_S', '0.2'),)
    """
    match = VARIANT_PATTERN.match(text)
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
    return Variant(
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


def differences(runs: Iterable[DayRun], variants: Sequence[str]) -> list[Difference]:
    """Return how the other ways differ from the first, by site and over all.

    Args:
        runs: All runs; those without a partner are left out.
        variants: Names; the first is the one that the others are compared with.
    """
    by_variant: dict[str, dict[tuple[str, str, int], DayRun]] = {
        name: {} for name in variants
    }
    for run in runs:
        if run.way in by_variant:
            by_variant[run.way][run.case] = run
    first = by_variant[variants[0]]
    result = []
    for variant in variants[1:]:
        cases = sorted(first.keys() & by_variant[variant].keys())
        sites = sorted({case[0] for case in cases})
        for site in [*sites, ""]:
            gains = [
                by_variant[variant][case].worth - first[case].worth
                for case in cases
                if not site or case[0] == site
            ]
            if gains:
                result.append(_difference(variant, site, gains))
    return result


def _difference(variant: str, site: str, gains: Sequence[float]) -> Difference:
    count = len(gains)
    if count < 2:
        half_width = math.inf
    else:
        t = T_95[count - 2] if count - 2 < len(T_95) else NORMAL_95
        half_width = t * statistics.stdev(gains) / math.sqrt(count)
    return Difference(
        variant=variant,
        site=site,
        pairs=count,
        mean=statistics.fmean(gains),
        half_width=half_width,
    )


def read_report(report: dict, *, site: str, day: str, seed: int, way: str) -> DayRun:
    """Return the play that a report of the bench tells of."""
    broken = [f"{rule} {count}" for rule, count in report["breaks"].items() if count]
    if report["fault"]:
        broken.append(str(report["fault"]))
    return DayRun(
        site=site,
        day=day,
        seed=seed,
        way=way,
        worth=report["G"],
        parts={name: value for name, _, value in report["parts"]},
        prices=sum(price for _, _, price in report["prices"]),
        broken="; ".join(broken),
    )


def read_rows(path: pathlib.Path) -> list[DayRun]:
    """Return the plays of a file of rows; none if there is no file."""
    if not path.exists():
        return []
    return [DayRun(**json.loads(line)) for line in path.read_text().splitlines()]


def format_tables(runs: Sequence[DayRun], variants: Sequence[str]) -> str:
    """Return the tables of a comparison as text."""
    lines = [
        f"{'site':32}{'day':12}{'seed':>5} " + "".join(f"{w:>12}" for w in variants)
    ]
    by_case: dict[tuple[str, str, int], dict[str, DayRun]] = {}
    for each in runs:
        by_case.setdefault(each.case, {})[each.way] = each
    for (site, day, seed), row in sorted(by_case.items()):
        cells = [
            f"{row[variant].worth:.3f}{'!' if row[variant].broken else ''}"
            if variant in row
            else "-"
            for variant in variants
        ]
        lines.append(
            f"{site:32}{day:12}{seed:>5} " + "".join(f"{c:>12}" for c in cells)
        )
    for each in differences(runs, variants):
        verdict = "" if each.is_significant else "  no difference shown"
        lines.append(
            f"{each.variant} - {variants[0]}, {each.site or 'all'}: {each.mean:+.3f}"
            f" +- {each.half_width:.3f} ({each.pairs} pairs){verdict}"
        )
    return "\n".join(lines)
