"""Records of requests: metrics, service level indicators and one log line each."""

__all__ = ["RequestLog", "record"]

import logging
from dataclasses import dataclass, field

from wigeonscale.adapters import METRICS, OK, log_fields
from wigeonscale.errors import ERROR_RESPONSES, ErrorKind
from wigeonscale.limits import Permit
from wigeonscale.reports import DEFAULT_OBJECTIVES, BurnRecorder

logger = logging.getLogger(__name__)

MIN_SERVER_ERROR_STATUS = 500
GAP_OBJECTIVE_S = next(
    obj.threshold_s for obj in DEFAULT_OBJECTIVES if obj.name == "gap"
)


@dataclass(slots=True)
class Gaps:
    """Count and sum of the times between two writes of tokens."""

    count: int = 0
    total_s: float = 0.0

    def add(self, seconds: float) -> None:
        """Add one gap."""
        self.count += 1
        self.total_s += seconds


@dataclass(slots=True)
class RequestLog:
    """Record of one request.

    Attributes:
        started: Clock time of arrival, in seconds.
        dispatch_ids: Ids of its dispatches so far.
        organisation: Organisation of the caller; empty until authenticated.
        rule: Name of the matching rule.
        kind: Error kind, or ``ok``.
        tokens: Number of tokens written.
        first_token_s: Time to the first token in seconds; None before it.
        last_token: Clock time of the last write of tokens, in seconds.
        gaps: Gaps within the service level objective.
        late_gaps: Gaps longer than the objective.
        permits: Permits to release at the end of the request.
    """

    started: float
    dispatch_ids: list[str] = field(default_factory=list)
    organisation: str = ""
    rule: str = ""
    kind: str = OK
    tokens: int = 0
    first_token_s: float | None = None
    last_token: float = 0.0
    gaps: Gaps = field(default_factory=Gaps)
    late_gaps: Gaps = field(default_factory=Gaps)
    permits: list[Permit] = field(default_factory=list)

    @property
    def request_id(self) -> str:
        """Id with which the answer can be resumed; empty before a dispatch."""
        return self.dispatch_ids[-1] if self.dispatch_ids else ""

    def record_write(self, count: int, now: float) -> None:
        """Record a write of tokens.

        Args:
            count: Number of tokens.
            now: Current clock time, in seconds.
        """
        if self.first_token_s is None:
            self.first_token_s = now - self.started
        else:
            gap_s = now - self.last_token
            (self.gaps if gap_s <= GAP_OBJECTIVE_S else self.late_gaps).add(gap_s)
        self.last_token = now
        self.tokens += count

    @property
    def is_good(self) -> bool:
        """Whether the request succeeded or failed through a fault of the caller."""
        if self.kind == OK:
            return True
        is_caller_error = ERROR_RESPONSES[self.kind].status < MIN_SERVER_ERROR_STATUS
        return is_caller_error and self.kind is not ErrorKind.OUTCOME_UNKNOWN


def record(log: RequestLog, now: float, recorder: BurnRecorder) -> None:
    """Record a finished request.

    Args:
        log: Record of the request.
        now: Current clock time, in seconds.
        recorder: Receives the service level indicators.
    """
    elapsed_s = now - log.started
    METRICS.requests.add(organisation=log.organisation, kind=log.kind)
    METRICS.request_s.observe(elapsed_s)
    if log.first_token_s is not None:
        _record_tokens(log, recorder)
    if log.organisation:
        recorder.record_request(log.organisation, log.is_good)
    logger.info(
        "request",
        extra=log_fields(
            request_id=log.request_id,
            organisation=log.organisation,
            kind=log.kind,
            outcome="whole" if log.kind == OK else "failed",
            rule=log.rule,
            tokens=log.tokens,
            dispatches=len(log.dispatch_ids),
            elapsed_s=round(elapsed_s, 4),
        ),
    )


def _record_tokens(log: RequestLog, recorder: BurnRecorder) -> None:
    organisation = log.organisation
    METRICS.tokens.add(log.tokens, organisation=organisation)
    METRICS.first_token_s.observe(log.first_token_s)
    recorder.record_first_token(organisation, log.first_token_s)
    for gaps in (log.gaps, log.late_gaps):
        if gaps.count:
            # The mean of gaps on one side of the objective is on the same side, so one
            # observation of the mean classifies all of them correctly.
            mean_s = gaps.total_s / gaps.count
            METRICS.token_gap_s.observe(mean_s)
            recorder.record_gap(organisation, mean_s, gaps.count)
