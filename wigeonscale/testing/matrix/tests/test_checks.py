"""Each check detects a constructed violation and accepts correct records."""

import dataclasses

from wigeonscale.errors import RunState
from wigeonscale.testing import AsyncTestCase
from wigeonscale.testing.fake_engine import expected_tokens
from wigeonscale.testing.matrix import checks
from wigeonscale.testing.matrix.load import Answer, Outcome

LAYERS = 3
ANY_RUN_STATE = frozenset(RunState)


def whole(**changes) -> Answer:
    """Return a complete answer with the given fields replaced."""
    answer = Answer(tag="page-1", max_tokens=4, outcome=Outcome.WHOLE, status=200)
    answer.texts = expected_tokens(answer.prompt, LAYERS, 4)
    answer.declared = 4
    return dataclasses.replace(answer, **changes)


def refused(**changes) -> Answer:
    """Return a valid refusal with the given fields replaced."""
    fields = {"status": 503, "run": "not-run", "kind": "overloaded"}
    fields |= {"retry_after": True, "texts": [], "declared": None}
    return whole(outcome=Outcome.REFUSED, **fields | changes)


def note(**changes) -> Answer:
    """Return the answer to an executed note with the given fields replaced."""
    fields = {"tag": "note-1", "outcome": Outcome.WHOLE, "status": 200, "body": b"b"}
    return Answer(**fields | changes)


EFFECT = {"key": "note-1"}


class ChecksTest(AsyncTestCase):
    def answers(self, *answers, allowed_run_states=ANY_RUN_STATE):
        return checks.answer_violations(
            answers, layers=LAYERS, allowed_run_states=allowed_run_states
        )

    def test_wrong_answers_are_detected(self):
        texts = whole().texts
        planted = {
            "a token missing": whole(texts=texts[:2] + texts[3:]),
            "a token twice": whole(texts=texts[:2] + texts[1:]),
            "another's answer": whole(tag="page-2"),
            "too short": whole(texts=texts[:3], declared=3),
            "wrong count": whole(declared=5),
            "cut": whole(outcome=Outcome.CUT, texts=texts[:2]),
            "no run state": refused(run=""),
            "not run after tokens": refused(texts=texts[:1]),
            "no word when to come back": refused(retry_after=False),
        }
        for name, answer in planted.items():
            self.assertEqual(1, len(self.answers(answer)), name)
        self.assertEqual([], self.answers(whole(), refused(), note()))
        self.assertEqual([], self.answers(refused(run="ran", texts=texts[:2])))

    def test_refusals_not_allowed_during_the_fault_are_detected(self):
        answers = refused(), refused(run="unknown")
        self.assertEqual(1, len(self.answers(*answers, allowed_run_states={"not-run"})))
        self.assertEqual(2, len(self.answers(*answers, allowed_run_states=())))

    def test_refused_work_that_ran_is_detected(self):
        def find(*answers):
            return checks.not_run_violations(answers, ran={"page-1"})

        self.assertEqual(1, len(find(refused())))
        self.assertEqual([], find(refused(tag="page-2"), refused(run="ran")))
        # Two callers share a key: one was refused as not run, the other one got the
        # answer, so the effect is no violation.
        self.assertEqual([], find(refused(), whole()))

    def test_repeated_missing_and_changed_effects_are_detected(self):
        def find(answers, effects=(EFFECT,)):
            return len(checks.at_most_once_violations(answers, list(effects)))

        unknown = note(
            outcome=Outcome.REFUSED, status=409, run="unknown", kind="outcome-unknown"
        )
        self.assertEqual(0, find([note(), note()]))
        self.assertEqual(1, find([note()], [EFFECT, EFFECT]))
        self.assertEqual(1, find([note()], []))
        # A call of unknown outcome may later turn out to have run, but a later claim
        # that it did not run is a violation.
        self.assertEqual(0, find([unknown, note()]))
        self.assertEqual(1, find([unknown, refused(tag="note-1")]))
        self.assertEqual(1, find([note(), note(body=b"c")]))

    def test_stale_orders_are_detected(self):
        newer, older = (3, 9, "load"), (2, 11, "load")
        self.assertEqual(1, len(checks.order_violations({"a": [newer, older]})))
        self.assertEqual([], checks.order_violations({"a": [older, newer, newer]}))

    def test_decreasing_or_late_revisions_are_detected(self):
        def find(*observed):
            moments = [
                checks.RevisionObservation(name, rev, min_revision)
                for name, rev, min_revision in observed
            ]
            return len(checks.revision_violations(moments))

        self.assertEqual(1, find(("e1", 4, 0), ("e1", 3, 0)))
        self.assertEqual(1, find(("e1", 4, 5)))
        # A restarted process has another name; it must still reach the minimum
        # revision.
        self.assertEqual(0, find(("e1", 4, 4), ("e2", 3, 3), ("e1", 5, 5)))

    def test_new_work_at_a_drained_server_is_detected(self):
        def find(seconds, back=None, **changes):
            record = {"engine": "a", "sequence": "d#1", "position": 0}
            record |= {"at_ns": int(seconds * 1e9)} | changes
            undrained_ns = {"a": int(back * 1e9)} if back else {}
            return checks.work_after_drain(
                [record], drained_at_ns={"a": 0}, undrained_at_ns=undrained_ns
            )

        self.assertEqual(1, len(find(3.1)))
        self.assertEqual(1, len(find(3.1, back=4.0)))
        self.assertEqual([], find(5.0, back=4.0))
        self.assertEqual([], find(2.9))
        self.assertEqual([], find(9.0, position=5))
        self.assertEqual([], find(9.0, engine="b"))
