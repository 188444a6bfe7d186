"""Plays a scenario with a constant of the product at several values."""

__all__ = ["Comparison", "compare", "override_constant"]

import importlib
import math
import statistics
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

from wigeonscale.errors import SettingsError
from wigeonscale.lab.results import SimulationResult
from wigeonscale.lab.scenario import Scenario
from wigeonscale.lab.simulation import simulate

# Half the width of a normal confidence interval of 95 in 100.
NORMAL_95_QUANTILE = 1.96


@dataclass(frozen=True, slots=True, kw_only=True)
class Comparison:
    """What one value of a constant gives beside the first one, seed by seed.

    Attributes:
        value: The value.
        figures: One for each seed.
        gain: Mean difference of the shares in time.
        spread: Half the width of the confidence interval of that mean; infinite for a
            single seed.
    """

    value: float
    results: tuple[SimulationResult, ...]
    gain: float
    spread: float


@contextmanager
def override_constant(name: str, value: float) -> Iterator[None]:
    """Give a constant of the product another value for a while.

    Args:
        name: ``module.NAME``, the module without the package's name.
        value: Its value.

    Raises:
        SettingsError: There is no such number.
    """
    module_name, _, constant_name = name.rpartition(".")
    try:
        module = importlib.import_module(f"wigeonscale.{module_name}")
        before = getattr(module, constant_name)
    except (ImportError, AttributeError, ValueError) as exc:
        raise SettingsError(f"constant {name!r}: {exc}") from exc
    if isinstance(before, bool) or not isinstance(before, int | float):
        raise SettingsError(f"constant {name!r}: is {before!r}; allowed: a number")
    setattr(module, constant_name, type(before)(value))
    try:
        yield
    finally:
        setattr(module, constant_name, before)


def compare(
    scenario: Scenario, name: str, values: Sequence[float], seeds: Sequence[int]
) -> Iterator[Comparison]:
    """Yield a comparison for each value, paired by seed with the first value.

    Args:
        scenario: What is played.
        name: The constant, see :func:`constant`.
        values: Its values; the first is the one to compare with.
        seeds: Seeds, each played with each value.
    """
    baseline: tuple[SimulationResult, ...] = ()
    for value in values:
        with override_constant(name, value):
            results = tuple(simulate(scenario, seed=seed) for seed in seeds)
        baseline = baseline or results
        gains = [
            each.in_time_share() - other.in_time_share()
            for each, other in zip(results, baseline, strict=True)
        ]
        yield Comparison(
            value=value,
            results=results,
            gain=statistics.fmean(gains),
            spread=_confidence_half_width(gains),
        )


def _confidence_half_width(gains: Sequence[float]) -> float:
    if len(gains) < 2:
        return math.inf
    return NORMAL_95_QUANTILE * statistics.stdev(gains) / math.sqrt(len(gains))
