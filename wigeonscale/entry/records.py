"""What is recorded of each request: metrics, service levels and one log line."""

__all__ = ["RequestLog", "record"]

import logging
from dataclasses import dataclass, field

from wigeonscale.adapters import METRICS, OK, log_fields
from wigeonscale.errors import ANSWERS, ErrorKind
from wigeonscale.limits import Permit
from wigeonscale.reports import DEFAULT_OBJECTIVES, BurnRecorder

logger = logging.getLogger(__name__)

SERVER_FAULT = 500
LATE_GAP_S = next(obj.threshold_s for obj in DEFAULT_OBJECTIVES if obj.name == "gap")


@dataclass(slots=True)
class Gaps:
    """Times between two writes of tokens, in seconds."""

    count: int = 0
    total_s: float = 0.0

    def add(self, seconds: float) -> None:
        """Count one gap."""
        self.count += 1
        self.total_s += seconds


@dataclass(slots=True)
class RequestLog:
    """What is recorded of one request.

    Attributes:
        started: Instant of its arrival.
        dispatch_ids: Ids of its dispatches so far.
        organisation: Organisation of the caller; empty before it is known.
        rule: Rule that decided.
        kind: Error kind, or ``ok``.
        tokens: Tokens written.
        first_token_s: Seconds to the first token, or None.
        last_token: Instant of the last write of tokens.
        gaps: Gaps within the objective.
        late_gaps: Longer gaps.
        permits: Limits to give back at the end.
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
        """Id of the work, under which the answer can be taken up, or empty."""
        return self.dispatch_ids[-1] if self.dispatch_ids else ""

    def note_tokens(self, count: int, now: float) -> None:
        """Count tokens that were just written.

        Args:
            count: How many.
            now: Reading of the clock.
        """
        if self.first_token_s is None:
            self.first_token_s = now - self.started
        else:
            gap_s = now - self.last_token
            (self.gaps if gap_s <= LATE_GAP_S else self.late_gaps).add(gap_s)
        self.last_token = now
        self.tokens += count

    @property
    def is_good(self) -> bool:
        """Whether the request ended well, or badly by the caller's own doing."""
        if self.kind == OK:
            return True
        own_doing = ANSWERS[self.kind].status < SERVER_FAULT
        return own_doing and self.kind is not ErrorKind.OUTCOME_UNKNOWN


def record(log: RequestLog, now: float, recorder: BurnRecorder) -> None:
    """Record a finished request.

    Args:
        log: What is known of it.
        now: Reading of the clock.
        recorder: Takes the service levels.
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
            # The mean of gaps on one side of the objective stays on that side.
            mean_s = gaps.total_s / gaps.count
            METRICS.token_gap_s.observe(mean_s)
            recorder.record_gap(organisation, mean_s, gaps.count)
