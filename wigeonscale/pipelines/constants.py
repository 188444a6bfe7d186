"""Limits and timeouts of dispatches and pipeline steps, shared by both ends."""

__all__ = [
    "ENGINE_CALLS_IN_FLIGHT",
    "ENGINE_STEP_TIMEOUT_S",
    "ENTRY_TIMEOUT_S",
    "EXTRA_ITERATIONS",
    "INITIAL_CREDIT_TOKENS",
    "INITIAL_PREFILL_POSITIONS",
    "LEAVING_GRACE_S",
    "LINK_IDLE_S",
    "MAX_ENDED_SEQUENCES",
    "MAX_FIXED_COST_SHARE",
    "MAX_POSITIONS_PER_ITERATION",
    "MAX_PREFILL_DELAY_S",
    "MAX_SEQUENCES_PER_ITERATION",
    "MIN_PREFILL_POSITIONS",
    "PROBE_AFTER_S",
    "RECENT_USE_S",
    "RECONNECT_AFTER_S",
    "REPAIR_BACKOFF_S",
    "SEQUENCE_IDLE_S",
]

INITIAL_CREDIT_TOKENS = 256
"""Tokens that may be sent after ``Open`` or ``Attach`` before the first ``Credit``."""

MAX_SEQUENCES_PER_ITERATION = 256
"""Maximum number of sequences in one engine iteration."""

MAX_POSITIONS_PER_ITERATION = 65_536
"""Maximum number of token positions in one engine iteration.

A position takes about 20 bytes, so a request stays far below the message size limit.
"""

ENTRY_TIMEOUT_S = 3.0
"""Seconds without a message after which an entry no longer counts as a live reader.

Entries that wait for answers send a ping about once a second.
"""

EXTRA_ITERATIONS = 1
"""Iterations in flight beyond one per stage, so that no stage idles during a hop."""

MAX_FIXED_COST_SHARE = 0.2
"""Fixed share of the iteration time above which no extra iterations are started.

With three stages, one extra iteration makes each iteration a quarter smaller. This
hides hops worth about 6 % of the time but wastes a quarter of the fixed share.
"""

ENGINE_CALLS_IN_FLIGHT = 2
"""Concurrent calls to one engine; the second hides the latency of the first reply."""

ENGINE_STEP_TIMEOUT_S = 20.0
"""Timeout of an engine call, in seconds."""

MAX_PREFILL_DELAY_S = 0.03
"""Maximum delay of the tokens of running streams by prefill, in seconds.

The delay is counted over one round of the iterations in flight, at any stage.
"""

INITIAL_PREFILL_POSITIONS = 128
"""Prompt positions per iteration until the cost of a position has been measured."""

MIN_PREFILL_POSITIONS = 32
"""Minimum number of positions of a prompt chunk."""

PROBE_AFTER_S = 0.2
"""Seconds without a message after which a link sends a probe to its peer."""

RECONNECT_AFTER_S = 0.5
"""Seconds without a message after which a link opens a new connection."""

REPAIR_BACKOFF_S = 0.25
"""Initial backoff before a failed sequence is retried on the same epoch, in seconds."""

SEQUENCE_IDLE_S = 120.0
"""Seconds without a step after which a stage drops a sequence."""

LEAVING_GRACE_S = 2.0
"""Seconds for which a leaving stage still starts sequences of its old chain."""

LINK_IDLE_S = 60.0
"""Seconds without open requests after which a link closes its connection."""

MAX_ENDED_SEQUENCES = 4096
"""Ended sequences whose last result a stage keeps to answer resent steps."""

RECENT_USE_S = 3.0
"""Seconds after its last step during which a sequence delays the stop of its stage."""
