"""Simulates a scenario with several values of one of the router's constants."""

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

# Half-width of a 95 % normal confidence interval, in standard errors.
NORMAL_95_QUANTILE = 1.96


@dataclass(frozen=True, slots=True, kw_only=True)
class Comparison:
    """Results of one value of a constant, paired by seed with the baseline value.

    Attributes:
        value: Value of the constant.
        results: One result per seed.
        gain: Mean difference from the baseline in the share of requests answered in
            time.
        spread: Half-width of the 95 % confidence interval of ``gain``; infinite for a
            single seed.
    """

    value: float
    results: tuple[SimulationResult, ...]
    gain: float
    spread: float


@contextmanager
def override_constant(name: str, value: float) -> Iterator[None]:
    """Override a module-level constant of ``wigeonscale`` within a ``with`` block.

    Modules that import the constant by name keep its original value.

    Args:
        name: ``module.NAME``, with the module relative to the ``wigeonscale`` package.
        value: Temporary value; converted to the type of the constant.

    Raises:
        SettingsError: The constant does not exist or is not a number.
    """
    module_name, _, constant_name = name.rpartition(".")
    try:
        module = importlib.import_module(f"wigeonscale.{module_name}")
        original = getattr(module, constant_name)
    except (ImportError, AttributeError, ValueError) as exc:
        raise SettingsError(f"constant {name!r}: {exc}") from exc
    if isinstance(original, bool) or not isinstance(original, int | float):
        raise SettingsError(f"constant {name!r}: is {original!r}; allowed: a number")
    setattr(module, constant_name, type(original)(value))
    try:
        yield
    finally:
        setattr(module, constant_name, original)


def compare(
    scenario: Scenario, name: str, values: Sequence[float], seeds: Sequence[int]
) -> Iterator[Comparison]:
    """Yield a comparison for each value, paired by seed with the first value.

    Args:
        scenario: Scenario to simulate.
        name: Name of the constant, as in :func:`override_constant`.
        values: Values of the constant; the first is the baseline.
        seeds: Seeds; each is simulated with each value.
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
