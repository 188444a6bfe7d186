"""Results of benchmark runs and their paired differences between variants."""

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

# Two-sided 95 % quantiles of Student's t for 1, 2, ... degrees of freedom; beyond the
# end of the table the quantile of the normal distribution is used.
T_95 = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18)
NORMAL_95 = 1.96
VARIANT_PATTERN = re.compile(
    r"^(?P<name>[\w.-]+)=(?P<revision>[^:]+)(?P<constants>(:.*)?)$"
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Variant:
    """One variant of the code.

    Attributes:
        name: Its name in rows and tables.
        revision: Commit that is checked out.
        constants: File, name and new value of each constant that is changed.
    """

    name: str
    revision: str
    constants: tuple[tuple[str, str, str], ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class DayRun:
    """Result of one run of a day, as stored in a row.

    Attributes:
        site: Name of the deployment's file, without folder and suffix.
        day: Name of the scenario day.
        seed: Seed of the run.
        way: Name of the variant.
        worth: Score of the whole day after subtraction of the prices.
        parts: Parts of the score by name, before prices.
        prices: Sum of the prices.
        broken: Rules that were broken, with counts; empty for none.
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
        """Deployment, day and seed, by which runs of different variants are paired."""
        return self.site, self.day, self.seed


@dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """Mean paired difference of a variant from the first variant.

    Attributes:
        variant: Name of the variant.
        site: Deployment; empty for all deployments together.
        pairs: Number of pairs.
        mean: Mean difference in worth.
        half_width: Half the width of the 95 % confidence interval; infinite for a
            single pair.
    """

    variant: str
    site: str
    pairs: int
    mean: float
    half_width: float

    @property
    def is_significant(self) -> bool:
        """Whether the confidence interval excludes 0."""
        return abs(self.mean) > self.half_width


def parse_variant(text: str) -> Variant:
    """Parse a ``--way`` argument.

    Args:
        text: ``NAME=REVISION`` and, for each constant, ``:FILE:CONSTANT=VALUE``.

    Raises:
        argparse.ArgumentTypeError: The text does not have this form.

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
        raise argparse.ArgumentTypeError(f"{words[-1]!r}: file without CONSTANT=VALUE")
    return Variant(
        name=match["name"], revision=match["revision"], constants=tuple(constants)
    )


def set_constant(source: str, name: str, value: str) -> str:
    """Return source code with the value of a one-line constant replaced.

    Raises:
        ValueError: The constant is not set on exactly one line.
    """
    changed, count = re.subn(
        rf"^{re.escape(name)} = .*$", f"{name} = {value}", source, flags=re.MULTILINE
    )
    if count != 1:
        raise ValueError(f"{count} lines set {name}; expected exactly 1")
    return changed


def differences(runs: Iterable[DayRun], variants: Sequence[str]) -> list[Difference]:
    """Return the differences of the other variants from the first.

    Args:
        runs: All runs; runs without a counterpart are ignored.
        variants: Names of variants; the first is the baseline.

    Returns:
        One difference per variant and deployment, then one over all deployments.
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
    """Return the run that a report of the users' benchmark describes."""
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
    """Read the runs of a file of JSON lines; none if the file does not exist."""
    if not path.exists():
        return []
    return [DayRun(**json.loads(line)) for line in path.read_text().splitlines()]


def format_tables(runs: Sequence[DayRun], variants: Sequence[str]) -> str:
    """Return the table of scores and the list of differences as text."""
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
