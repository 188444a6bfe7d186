"""Trials of refused prompt parts and requests, one at a time over all entries.

A part is refused for long if it has never run without a crash, but that may only mean
that no run with it has had the time: the servers crash under another part, or under
certain requests, that arrive more often than a run takes to go on. So a part is tried
soon after its last crash, before its refusal has expired, a few times.

Requests with a part arrive at all entries. If each entry sent one of them as soon as
the refusal has expired, a part that still crashes servers would crash as many as there
are entries. So an entry asks control, which grants one trial at a time. Whole requests
are tried in the same way, but never early.
"""

__all__ = ["TRIAL_INTERVAL_S", "Trials", "early_trial_at"]

import secrets
from collections.abc import Container

from wigeonscale.crashes.records import ConfirmedCrashes
from wigeonscale.ports import Clock

# A trial that is granted must be sent within this time.
TRIAL_GRANT_S = 3.0
# The next trial is granted after this long: the grant, and the time in which control
# detects that a server has ended.
TRIAL_INTERVAL_S = 6.0
# Retry-After of a request that is refused while its entry asks for the trial.
TRIAL_RETRY_AFTER_S = 0.3
# After this long without a grant, an entry tries a request, or a part that has run
# before, on its own: control may have no majority, or an older version that grants no
# trials.
GRANT_TIMEOUT_S = 2.0
ID_BYTES = 6
# Early trials that end with a crash, after which a part stays refused. By the users'
# rule a part may crash three servers after the fifth.
MAX_EARLY_TRIALS = 3
# The same if the request also has a part that has run without a crash: the refused one
# is then not the one that all requests share. The limit is lower for a part that had
# crashed five servers before any trial.
MAX_ACCOMPANIED_EARLY_TRIALS = 2
MAX_LATE_EARLY_TRIALS = 1
LATE_CRASHES = 5
# The first early trial is this long after the last crash, so that runs with the part
# that have started before are over.
EARLY_TRIAL_DELAY_S = 1.0
# The same if the request also has a part that has run. Its crash may interrupt all
# requests of a small site for seconds, so the site recovers first.
ACCOMPANIED_EARLY_TRIAL_DELAY_S = 16.0
# Each failed trial multiplies that delay by this.
EARLY_TRIAL_GROWTH_FACTOR = 4.0


def early_trial_at(
    record: ConfirmedCrashes, last_crash_at: float, *, is_accompanied: bool = False
) -> float | None:
    """Return when a part may be tried though its refusal has not expired.

    Args:
        record: Crashes of the part as control knows them.
        last_crash_at: Local instant of its last crash.
        is_accompanied: Whether the request also has a part that has run before.

    Returns:
        A local instant; None if it must not be tried early.

    Example:
        >>> from wigeonscale.crashes.records import ConfirmedCrashes
        >>> record = ConfirmedCrashes(frozenset("abc"), 0.0, 9.0, failed_trials=1)
        >>> early_trial_at(record, 9.0)
        13.0
    """
    if record.failed_trials is None:
        return None
    limit, delay_s = MAX_EARLY_TRIALS, EARLY_TRIAL_DELAY_S
    if is_accompanied:
        delay_s = ACCOMPANIED_EARLY_TRIAL_DELAY_S
        is_late = len(record.backends) - record.failed_trials >= LATE_CRASHES
        limit = MAX_LATE_EARLY_TRIALS if is_late else MAX_ACCOMPANIED_EARLY_TRIALS
    if record.failed_trials >= limit:
        return None
    return last_crash_at + delay_s * EARLY_TRIAL_GROWTH_FACTOR**record.failed_trials


class Trials:
    """The trials that one entry asks for, has and has sent.

    Args:
        clock: Clock port.

    Attributes:
        id: Identifies this entry to control, until its process ends.
    """

    def __init__(self, *, clock: Clock):
        self.id = secrets.token_hex(ID_BYTES)
        self._clock = clock
        self._asked_at: dict[bytes, float] = {}
        self._waits_since: dict[bytes, float] = {}
        self._sent_at: dict[bytes, float] = {}
        self._unreported: set[bytes] = set()

    def wait_s(
        self, key: bytes, record: ConfirmedCrashes | None, *, is_tried_alone: bool
    ) -> float:
        """Return how long a request must wait for a trial; 0 if it may be sent.

        Args:
            key: Key of a refused part whose refusal has expired.
            record: Its crashes as control knows them; None before it does.
            is_tried_alone: Whether it is tried if control does not answer.
        """
        now = self._clock.now()
        since_sent_s = now - self._sent_at.get(key, float("-inf"))
        if since_sent_s < TRIAL_INTERVAL_S:
            return TRIAL_INTERVAL_S - since_sent_s
        if self.is_granted(key, record):
            return 0.0
        waits_since = self._waits_since.setdefault(key, now)
        if is_tried_alone and now - waits_since > GRANT_TIMEOUT_S:
            return 0.0
        return TRIAL_RETRY_AFTER_S

    def is_granted(self, key: bytes, record: ConfirmedCrashes | None) -> bool:
        """Return whether this entry has a trial that it has not sent yet.

        Args:
            key: Key of a refused part.
            record: Its crashes as control knows them; None before it does.
        """
        if record is None or record.trial != self.id:
            return False
        now = self._clock.now()
        sent_at = self._sent_at.get(key, float("-inf"))
        if sent_at >= record.trial_at or now - sent_at < TRIAL_INTERVAL_S:
            return False
        return now - record.trial_at <= TRIAL_GRANT_S

    def restart_wait(self, key: bytes) -> None:
        """Wait for a grant anew, as control has changed the record of a part."""
        self._waits_since.pop(key, None)

    def note_crash(self, key: bytes) -> None:
        """Record that a part has crashed a server, which ends its trials."""
        self._asked_at.pop(key, None)

    def ask(self, key: bytes, record: ConfirmedCrashes) -> bool:
        """Ask control for a trial, unless another entry has one.

        Args:
            key: Key of a refused part whose refusal has expired.
            record: Its crashes.

        Returns:
            Whether control was not asked recently.
        """
        now = self._clock.now()
        if record.trial and now - record.trial_at < TRIAL_INTERVAL_S:
            return False
        if now - self._asked_at.get(key, float("-inf")) <= TRIAL_INTERVAL_S:
            return False
        self._asked_at[key] = now
        self._unreported.add(key)
        return True

    def take_unreported(self) -> tuple[bytes, ...]:
        """Return the keys to ask control for."""
        keys, self._unreported = tuple(self._unreported), set()
        return keys

    def restore(self, keys: tuple[bytes, ...]) -> None:
        """Ask for trials again."""
        self._unreported.update(keys)

    def note_sent(self, key: bytes) -> None:
        """Record that a request with a refused part is sent."""
        self._sent_at[key] = self._clock.now()
        self._asked_at.pop(key, None)
        self._waits_since.pop(key, None)

    def note_not_run(self, key: bytes) -> None:
        """Record that the request that was sent with a part did not run."""
        self._sent_at.pop(key, None)

    def retain(self, keys: Container[bytes]) -> None:
        """Forget all parts except those given.

        Args:
            keys: Keys of all parts that may be refused.
        """
        for key in {*self._sent_at, *self._asked_at, *self._waits_since}:
            if key not in keys:
                self.discard(key)

    def discard(self, key: bytes) -> None:
        """Forget a part that is no longer refused."""
        self._sent_at.pop(key, None)
        self._asked_at.pop(key, None)
        self._waits_since.pop(key, None)
        self._unreported.discard(key)
