"""The estimated wait of a queued request."""

__all__ = ["WaitEstimator"]

from wigeonscale.ports import Clock

SMOOTHING = 0.05
MIN_SAMPLES = 20


class WaitEstimator:
    """Estimates waits from the service times of recent requests.

    Args:
        clock: Clock port.
        initial_s: Assumed service time until the first request finished, in
            seconds; 0 estimates no wait.

    Notes:
        An exponential mean that starts as a plain mean, so that the first
        request does not weigh on it for long. Constant time and memory.
    """

    def __init__(self, *, clock: Clock, initial_s: float = 0.0):
        self._clock = clock
        self._service_s = initial_s
        self._count = 0

    @property
    def service_s(self) -> float:
        """Mean seconds from start to end of a request."""
        return self._service_s

    def finished(self, service_s: float) -> None:
        """Count one finished request.

        Args:
            service_s: Seconds from its start to its end.
        """
        self._count += 1
        weight = max(SMOOTHING, 1.0 / self._count)
        self._service_s += weight * (service_s - self._service_s)

    def wait(self, queued: float, slots: int) -> float:
        """Return the estimated seconds until a new request starts.

        Args:
            queued: Requests that start before it, when all slots are taken.
            slots: Requests served at once.
        """
        if queued <= 0:
            return 0.0
        return queued * self._service_s / max(1, slots)
