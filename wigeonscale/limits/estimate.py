"""Estimates of queueing and service times."""

__all__ = ["WaitEstimator"]

from wigeonscale.ports import Clock

SMOOTHING = 0.05
# Mean deviations added to the mean service time. Fewer are added when a request
# starts, so that a request admitted with a margin is also started.
ADMISSION_DEVIATIONS = 3.0
START_DEVIATIONS = 2.0


class WaitEstimator:
    """Estimates queueing time from the service times of recent requests.

    Args:
        clock: Clock port.
        initial_s: Service time assumed until the first request has finished, in
            seconds; with 0 the estimated wait is 0.

    Notes:
        Keeps an exponential moving average that starts as a plain mean, so that the
        first sample does not dominate it, and the mean deviation, as in Jacobson,
        "Congestion avoidance and control", SIGCOMM 1988. Constant time and memory.
    """

    def __init__(self, *, clock: Clock, initial_s: float = 0.0):
        self._clock = clock
        self._service_s = initial_s
        self._deviation_s = 0.0
        self._count = 0

    @property
    def service_s(self) -> float:
        """Mean service time, in seconds."""
        return self._service_s

    def finished(self, service_s: float) -> None:
        """Record the service time of a finished request.

        Args:
            service_s: Service time, in seconds.
        """
        self._count += 1
        weight = max(SMOOTHING, 1.0 / self._count)
        error_s = service_s - self._service_s
        self._service_s += weight * error_s
        self._deviation_s += weight * (abs(error_s) - self._deviation_s)

    def admission_service_s(self, deadline_s: float | None) -> float:
        """Return the service time to assume when a request is admitted, in seconds.

        Args:
            deadline_s: Seconds until its deadline; None for no deadline.
        """
        return self._upper_estimate_s(ADMISSION_DEVIATIONS, deadline_s)

    def start_service_s(self, deadline_s: float | None) -> float:
        """Return the service time to assume when a request starts, in seconds.

        Args:
            deadline_s: Seconds until its deadline; None for no deadline.
        """
        return self._upper_estimate_s(START_DEVIATIONS, deadline_s)

    def wait(self, queued: float, slots: int) -> float:
        """Return the estimated queueing time of a new request, in seconds.

        Args:
            queued: Requests that start before it, if all slots are taken.
            slots: Requests served concurrently.
        """
        if queued <= 0:
            return 0.0
        return queued * self._service_s / max(1, slots)

    def _upper_estimate_s(self, deviations: float, deadline_s: float | None) -> float:
        upper_s = self._service_s + deviations * self._deviation_s
        if deadline_s is None:
            return upper_s
        # Leaves half of a short deadline for queueing. Otherwise the deviations alone
        # could exceed the deadline, and such requests would never be admitted.
        return min(upper_s, max(self._service_s, deadline_s / 2))
