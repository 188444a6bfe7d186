"""Counts of all and of bad events over a short and a long sliding window."""

__all__ = ["LONG", "SHORT", "WINDOWS", "EventCounts", "Window"]

import functools
from array import array
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Window:
    """A sliding window, divided into time slots.

    Attributes:
        name: Name in reports.
        slot_s: Length of one slot, in seconds.
        slots: Number of complete slots in the window, besides the current slot.
    """

    name: str
    slot_s: int
    slots: int

    @property
    def seconds(self) -> int:
        """Length in seconds; counts cover up to one slot more."""
        return self.slot_s * self.slots


SHORT = Window("short", 60, 5)
LONG = Window("long", 600, 6)
WINDOWS = (SHORT, LONG)
COUNTS_PER_SLOT = 2  # all events, bad events
MAX_COUNT = 2**32 - 1


class EventCounts:
    """Event counts of one organisation, for several objectives.

    Args:
        objectives: Number of objectives counted.

    Notes:
        The counts are ring buffers of slots in one array of 32-bit counters, so that
        30,000 organisations fit in the memory of an entry. Counters saturate at their
        largest value.
    """

    __slots__ = ("_counts", "_objectives")

    def __init__(self, *, objectives: int):
        self._objectives = objectives
        total_slots = sum(window.slots + 1 for window in WINDOWS)
        size = len(WINDOWS) + total_slots * objectives * COUNTS_PER_SLOT
        self._counts = array("I", bytes(size * array("I").itemsize))

    def add(self, now: float, objective: int, events: int, bad: int) -> None:
        """Count events.

        Args:
            now: Time in seconds; must not decrease between calls.
            objective: Index of the objective.
            events: Number of events.
            bad: Number of bad events among them.
        """
        counts = self._counts
        for index, (window, base) in enumerate(_ring_buffers(self._objectives)):
            slot = self._advance(index, window, base, now)
            offset = base + self._offset(slot, objective)
            counts[offset] = min(counts[offset] + events, MAX_COUNT)
            counts[offset + 1] = min(counts[offset + 1] + bad, MAX_COUNT)

    def totals(self, now: float, objective: int) -> list[tuple[int, int]]:
        """Return (events, bad events) of each window.

        Args:
            now: Time in seconds; must not decrease between calls.
            objective: Index of the objective.
        """
        window_totals = []
        for index, (window, base) in enumerate(_ring_buffers(self._objectives)):
            self._advance(index, window, base, now)
            offsets = [
                base + self._offset(slot, objective) for slot in range(window.slots + 1)
            ]
            events = sum(self._counts[offset] for offset in offsets)
            window_totals.append(
                (events, sum(self._counts[offset + 1] for offset in offsets))
            )
        return window_totals

    def _offset(self, slot: int, objective: int) -> int:
        return (slot * self._objectives + objective) * COUNTS_PER_SLOT

    def _advance(self, index: int, window: Window, base: int, now: float) -> int:
        """Clear the expired slots and return the index of the current slot."""
        newest = int(now // window.slot_s)
        size = window.slots + 1
        stride = self._objectives * COUNTS_PER_SLOT
        stale = min(newest - self._counts[index], size)
        for number in range(newest - stale + 1, newest + 1):
            offset = base + number % size * stride
            self._counts[offset : offset + stride] = array("I", bytes(4 * stride))
        self._counts[index] = newest
        return newest % size


@functools.cache
def _ring_buffers(objectives: int) -> tuple[tuple[Window, int], ...]:
    """Return each window with the index of its first counter."""
    ring_buffers = []
    base = len(WINDOWS)
    for window in WINDOWS:
        ring_buffers.append((window, base))
        base += (window.slots + 1) * objectives * COUNTS_PER_SLOT
    return tuple(ring_buffers)
