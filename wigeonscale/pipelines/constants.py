"""Constants that both ends of a dispatch and of a pipeline step agree on."""

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
"""Tokens that an ``Open`` or ``Attach`` allows before the first ``Credit``."""

MAX_SEQUENCES_PER_ITERATION = 256
"""Most sequences in one engine iteration."""

MAX_POSITIONS_PER_ITERATION = 65_536
"""Most token positions in one iteration.

At some 20 bytes a position an iteration stays far below the message limit.
"""

ENTRY_TIMEOUT_S = 3.0
"""Seconds without a message after which an entry no longer counts as a reader.

Entries that wait for answers ask for a word about once a second.
"""

EXTRA_ITERATIONS = 1
"""Iterations in flight beyond one per stage, so that no stage waits for a hop."""

MAX_FIXED_COST_SHARE = 0.2
"""Share of an iteration's time that its size does not change, above which none are.

An extra iteration over three stages makes each a quarter smaller. That hides hops
worth about 6 % of the time, and wastes a quarter of the share that is flat.
"""

ENGINE_CALLS_IN_FLIGHT = 2
"""Calls open to one engine; the second hides the first one's way back."""

ENGINE_STEP_TIMEOUT_S = 20.0
"""Seconds after which an engine call counts as failed."""

MAX_PREFILL_DELAY_S = 0.03
"""Seconds by which prompts in work may delay the tokens of running streams.

The delay is that of one round of the iterations in flight, at any stage.
"""

INITIAL_PREFILL_POSITIONS = 128
"""Positions of a prompt in one iteration while their cost is not known."""

MIN_PREFILL_POSITIONS = 32
"""Fewest positions that a part of a prompt is cut to."""

PROBE_AFTER_S = 0.2
"""Seconds without a message after which a link asks its peer for a sign of life."""

RECONNECT_AFTER_S = 0.5
"""Seconds without a message after which a link opens another connection."""

REPAIR_BACKOFF_S = 0.25
"""Seconds before a failed sequence is tried again on the same chain epoch."""

SEQUENCE_IDLE_S = 120.0
"""Seconds after which a stage forgets a sequence that got no step."""

LEAVING_GRACE_S = 2.0
"""Seconds for which a leaving stage still begins sequences of its old chain."""

LINK_IDLE_S = 60.0
"""Seconds without a step after which a link closes its connection."""

MAX_ENDED_SEQUENCES = 4096
"""Ended sequences whose last answer a stage keeps for a resend."""

RECENT_USE_S = 3.0
"""Seconds after its last step for which a stopping stage waits for a sequence."""
