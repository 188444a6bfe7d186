"""Detects that one entry gets more traffic than its processor can handle.

Load pattern: for some seconds the load balancer hands most new connections of a region
to one entry. It would read all requests and answer them late, while the other entries
are idle. Callers whose connection is closed with their request unread lose nothing:
they connect again, to another entry.
"""

__all__ = ["OverloadDetector"]

import logging
from collections.abc import Callable

from wigeonscale.adapters.logs import log_fields

# EWMA weight of the newest lag; the checks come every 20 ms, and later under load.
LAG_EWMA_WEIGHT = 0.2
# Mean lag from which new connections are refused. Streams with events every 25 ms are
# delayed noticeably, and requests wait several times as long before they are read.
REFUSE_LAG_S = 0.1
# Hysteresis: requests in progress still use the processor for seconds.
ACCEPT_LAG_S = 0.03
# Share of the traffic from which on it is likely that other entries have time to spare.
# Entries that are left when two of three have ended have three times an even share.
MIN_SHARE_FACTOR = 4.0

logger = logging.getLogger(__name__)


class OverloadDetector:
    """Decides whether an entry refuses new connections.

    Args:
        share_factor: Returns this entry's share of the traffic as a multiple of an even
            share. If many entries have too much, a refused caller finds no better
            entry, and requests are better admitted or rejected one by one.

    Example:
        >>> detector = OverloadDetector(share_factor=lambda: 5.0)
        >>> for _ in range(20):
        ...     detector.note_lag(0.5)
        >>> detector.refuses_connections
        True
    """

    def __init__(self, *, share_factor: Callable[[], float]):
        self._share_factor = share_factor
        self._lag_s = 0.0
        self._refused = 0
        self.refuses_connections = False

    def note_lag(self, lag_s: float) -> None:
        """Update the decision by the delay of one periodic check.

        Args:
            lag_s: How late the check was, in seconds.
        """
        self._lag_s += LAG_EWMA_WEIGHT * (max(0.0, lag_s) - self._lag_s)
        threshold_s = ACCEPT_LAG_S if self.refuses_connections else REFUSE_LAG_S
        refuses = self._lag_s > threshold_s and self._share_factor() >= MIN_SHARE_FACTOR
        if refuses == self.refuses_connections:
            return
        self.refuses_connections = refuses
        logger.warning(
            "new connections are refused"
            if refuses
            else "new connections are accepted",
            extra=log_fields(lag_s=round(self._lag_s, 3), refused=self._refused),
        )
        self._refused = 0

    def note_refused(self) -> None:
        """Count a refused connection, for the log."""
        self._refused += 1
