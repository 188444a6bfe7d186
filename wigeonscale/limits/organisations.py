"""Concurrency and rate limits per organisation, divided equally among entries."""

__all__ = ["OrganisationLimits", "Permit"]

import math
from collections.abc import Callable
from dataclasses import dataclass

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.limits.estimate import WaitEstimator
from wigeonscale.ports import Clock

BURST_S = 1.0
MIN_RECORDS_TO_SWEEP = 64
INITIAL_SERVICE_S = 1.0
# Tolerance for rounding errors of the leaky bucket, which must not refuse a request
# that has just become due.
BURST_TOLERANCE = 1e-9


class Permit:
    """Permission for one request in progress; to be returned with :meth:`release`.

    Args:
        release: Called once, on the first release.
    """

    def __init__(self, *, release: Callable[[], None]):
        self._release: Callable[[], None] | None = release

    def release(self) -> None:
        """Return the permit; further calls do nothing."""
        release, self._release = self._release, None
        if release is not None:
            release()

    def __enter__(self) -> "Permit":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.release()


@dataclass(slots=True)
class _Usage:
    estimator: WaitEstimator
    updated: float
    in_progress: int = 0
    # Level of the leaky bucket, in requests; it drains at ``rate``.
    used: float = 0.0
    rate: float = 0.0

    def drain(self, now: float) -> None:
        self.used = max(0.0, self.used - (now - self.updated) * self.rate)
        self.updated = now

    def is_idle(self, now: float) -> bool:
        self.drain(now)
        return self.in_progress == 0 and self.used == 0.0


class OrganisationLimits:
    """Enforces limits on concurrent requests and on requests per second.

    Each entry enforces the limit divided by the number of entries that it currently
    knows, so that no request waits for another process.

    Args:
        clock: Clock port.
        entry_count: Returns the number of entries that serve callers.

    Notes:
        Amortised constant time per request. Memory is one record per organisation
        with requests in progress or a bucket not yet drained, and at most as many
        idle ones.
    """

    def __init__(self, *, clock: Clock, entry_count: Callable[[], int] = lambda: 1):
        self._clock = clock
        self._entry_count = entry_count
        self._usages: dict[str, _Usage] = {}
        self._sweep_at = MIN_RECORDS_TO_SWEEP

    def acquire(
        self, organisation: str, *, concurrency: int = 0, rate: float = 0.0
    ) -> Permit:
        """Acquire a permit for one request.

        Args:
            organisation: Name of the caller's organisation.
            concurrency: Limit on its concurrent requests over all entries; 0 for no
                limit.
            rate: Limit on its requests per second over all entries; 0 for no limit.

        Returns:
            The permit, to be released when the request has ended.

        Raises:
            WigeonscaleError: ``LIMIT_EXCEEDED`` with ``retry_after``.
        """
        now = self._clock.now()
        usage = self._usage(organisation, now)
        entry_count = max(1, self._entry_count())
        self._check_concurrency(organisation, usage, concurrency, entry_count)
        self._check_rate(organisation, usage, rate, entry_count, now)
        usage.in_progress += 1
        return Permit(release=lambda: self._release(usage, now))

    def in_progress(self, organisation: str) -> int:
        """Return the organisation's requests in progress at this entry."""
        usage = self._usages.get(organisation)
        return usage.in_progress if usage else 0

    def __len__(self) -> int:
        return len(self._usages)

    def _usage(self, organisation: str, now: float) -> _Usage:
        usage = self._usages.get(organisation)
        if usage is None:
            self._sweep(now)
            estimator = WaitEstimator(clock=self._clock, initial_s=INITIAL_SERVICE_S)
            usage = self._usages[organisation] = _Usage(
                estimator=estimator, updated=now
            )
        return usage

    def _sweep(self, now: float) -> None:
        if len(self._usages) < self._sweep_at:
            return
        idle = [name for name, usage in self._usages.items() if usage.is_idle(now)]
        for name in idle:
            del self._usages[name]
        self._sweep_at = max(MIN_RECORDS_TO_SWEEP, 2 * len(self._usages))

    def _check_concurrency(
        self, organisation: str, usage: _Usage, concurrency: int, entry_count: int
    ) -> None:
        if concurrency <= 0:
            return
        # Rounded up: the total may exceed the limit by less than the number of
        # entries, but no entry refuses all requests of the organisation.
        local_limit = math.ceil(concurrency / entry_count)
        if usage.in_progress >= local_limit:
            raise WigeonscaleError(
                ErrorKind.LIMIT_EXCEEDED,
                f"organisation {organisation} has {usage.in_progress} requests in "
                f"progress at this entry, its share of {concurrency} is {local_limit}",
                retry_after=usage.estimator.wait(1, local_limit),
            )

    def _check_rate(
        self,
        organisation: str,
        usage: _Usage,
        rate: float,
        entry_count: int,
        now: float,
    ) -> None:
        if rate <= 0.0:
            return
        local_limit = rate / entry_count
        burst = max(1.0, local_limit * BURST_S)
        usage.rate = local_limit
        usage.drain(now)
        if usage.used + 1.0 > burst + BURST_TOLERANCE:
            raise WigeonscaleError(
                ErrorKind.LIMIT_EXCEEDED,
                f"organisation {organisation} exceeds its share of {local_limit:g} "
                f"requests per second at this entry",
                retry_after=(usage.used + 1.0 - burst) / local_limit,
            )
        usage.used += 1.0

    def _release(self, usage: _Usage, started: float) -> None:
        usage.in_progress -= 1
        usage.estimator.finished(self._clock.now() - started)
