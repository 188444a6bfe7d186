"""Merges the event counts of several entries into one burn report."""

__all__ = ["BurnReport", "BurnRow", "WindowBurn", "merge_exports"]

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

from hdrh.histogram import HdrHistogram
from pydantic import BaseModel, Field

from wigeonscale.reports.objectives import Objective

PERCENTILES = (50.0, 95.0, 99.0)
US_PER_S = 1_000_000

Count = Annotated[int, Field(ge=0)]


class _ObjectiveModel(BaseModel):
    name: str
    target: Annotated[float, Field(gt=0, lt=1)]
    threshold_s: float


class _ExportModel(BaseModel):
    windows: dict[str, int]
    objectives: list[_ObjectiveModel]
    organisations: dict[str, dict[str, dict[str, tuple[Count, Count]]]]
    dropped: int
    times_us: dict[str, str]


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Use of an error budget over one window.

    Attributes:
        events: Number of all events.
        bad: Number of bad events.
        burn: Share of the error budget that was used; 1 is all of it.
    """

    events: int
    bad: int
    burn: float


@dataclass(frozen=True, slots=True)
class BurnRow:
    """Use of the error budget of one objective by one organisation.

    Attributes:
        organisation: Name of the organisation.
        objective: The objective.
        windows: Use of the budget by name of the window.
    """

    organisation: str
    objective: Objective
    windows: dict[str, WindowBurn]

    @property
    def worst(self) -> float:
        """Largest burn of all windows."""
        return max((window.burn for window in self.windows.values()), default=0.0)


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Use of the error budgets of all organisations over several entries.

    Attributes:
        windows: Length of each window by name, in seconds.
        rows: Rows in descending order of their largest burn.
        percentiles: Time in seconds by name of the time and percentile.
        dropped: Number of organisations that entries dropped at their limit.
    """

    windows: dict[str, int]
    rows: tuple[BurnRow, ...]
    percentiles: dict[str, dict[float, float]]
    dropped: int


def merge_exports(exports: Iterable[object]) -> BurnReport:
    """Return one report from the exports of several entries.

    Args:
        exports: Result of ``BurnRecorder.export`` of each entry.

    Raises:
        ValueError: An export is malformed.
    """
    models = [_ExportModel.model_validate(export) for export in exports]
    objectives: dict[str, Objective] = {}
    windows: dict[str, int] = {}
    counts: Counter[tuple[str, str, str, int]] = Counter()
    for model in models:
        windows |= model.windows
        for item in model.objectives:
            objectives[item.name] = Objective(item.name, item.target, item.threshold_s)
        counts.update(_flat_counts(model))
    organisations = {name for model in models for name in model.organisations}
    rows = [
        BurnRow(name, objective, _window_burns(counts, name, objective, windows))
        for name in organisations
        for objective in objectives.values()
    ]
    rows.sort(key=lambda row: (-row.worst, row.organisation, row.objective.name))
    return BurnReport(
        windows=windows,
        rows=tuple(rows),
        percentiles=_percentiles(models),
        dropped=sum(model.dropped for model in models),
    )


def _flat_counts(model: _ExportModel) -> Counter[tuple[str, str, str, int]]:
    flat: Counter[tuple[str, str, str, int]] = Counter()
    for organisation, by_objective in model.organisations.items():
        for objective, by_window in by_objective.items():
            for window, totals in by_window.items():
                for index, total in enumerate(totals):
                    flat[organisation, objective, window, index] += total
    return flat


def _window_burns(
    counts: Counter[tuple[str, str, str, int]],
    organisation: str,
    objective: Objective,
    windows: dict[str, int],
) -> dict[str, WindowBurn]:
    burns = {}
    for window in windows:
        events, bad = (
            counts[organisation, objective.name, window, index] for index in (0, 1)
        )
        burns[window] = WindowBurn(events, bad, objective.burn(events, bad))
    return burns


def _percentiles(models: list[_ExportModel]) -> dict[str, dict[float, float]]:
    merged: dict[str, HdrHistogram] = {}
    for model in models:
        for name, encoded in model.times_us.items():
            histogram = HdrHistogram.decode(encoded)
            if name in merged:
                merged[name].add(histogram)
            else:
                merged[name] = histogram
    return {
        name: {
            percentile: histogram.get_value_at_percentile(percentile) / US_PER_S
            for percentile in PERCENTILES
        }
        for name, histogram in merged.items()
        if histogram.get_total_count()
    }
