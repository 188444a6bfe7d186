"""The estimated wait of a queued request."""

__all__ = ["WaitEstimator"]

from wigeonscale.ports import Clock

SMOOTHING = 0.05
# Mean deviations added to the mean service time: fewer at the start, since what
# was let into the queue with room to spare shall also get its turn.
ADMISSION_DEVIATIONS = 3.0
START_DEVIATIONS = 2.0


class WaitEstimator:
    """Estimates waits from the service times of recent requests.

    Args:
        clock: Clock port.
        initial_s: Assumed service time until the first request finished, in
            seconds; 0 estimates no wait.

    Notes:
        An exponential mean that starts as a plain mean, so that the first
        request does not weigh on it for long, and the mean deviation, as in
        Jacobson, "Congestion avoidance and control", SIGCOMM 1988. Constant time
        and memory.
    """

    def __init__(self, *, clock: Clock, initial_s: float = 0.0):
        self._clock = clock
        self._service_s = initial_s
        self._deviation_s = 0.0
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
        error_s = service_s - self._service_s
        self._service_s += weight * error_s
        self._deviation_s += weight * (abs(error_s) - self._deviation_s)

    def admission_service_s(self, deadline_s: float | None) -> float:
        """Return the seconds of service to reckon with when a request is let in.

        Args:
            deadline_s: Seconds until its deadline; None for none.
        """
        return self._upper_estimate_s(ADMISSION_DEVIATIONS, deadline_s)

    def start_service_s(self, deadline_s: float | None) -> float:
        """Return the seconds of service to reckon with when a request starts.

        Args:
            deadline_s: Seconds from now until its deadline; None for none.
        """
        return self._upper_estimate_s(START_DEVIATIONS, deadline_s)

    def wait(self, queued: float, slots: int) -> float:
        """Return the estimated seconds until a new request starts.

        Args:
            queued: Requests that start before it, when all slots are taken.
            slots: Requests served at once.
        """
        if queued <= 0:
            return 0.0
        return queued * self._service_s / max(1, slots)

    def _upper_estimate_s(self, deviations: float, deadline_s: float | None) -> float:
        upper_s = self._service_s + deviations * self._deviation_s
        if deadline_s is None:
            return upper_s
        # Half of a short deadline stays for waiting, else it could never be met.
        return min(upper_s, max(self._service_s, deadline_s / 2))
