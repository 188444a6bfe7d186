from demo.checks import check_outcomes
from demo.deployment import LAYERS, Deployment
from demo.load import Kind, Outcome, Task
from wigeonscale.testing import AsyncTestCase
from wigeonscale.testing.fake_engine import expected_tokens

PROMPT = "one page"


def stream_outcome(tokens, **fields):
    task = Task(number=1, kind=Kind.STREAM, prompt=PROMPT, max_tokens=4)
    seen = {"requests": 1, "statuses": [200], "runs": [""], "declared": 4}
    return Outcome(task=task, tokens=tokens, **(seen | fields))


class CheckOutcomesTest(AsyncTestCase):
    """Each check reports an injected fault."""

    def problems(self, *outcomes):
        return check_outcomes(list(outcomes), Deployment(folder=None)).problems

    def setUp(self):
        super().setUp()
        self.tokens = expected_tokens(PROMPT, LAYERS, 4)

    def test_complete_answer_passes(self):
        self.assertEqual([], self.problems(stream_outcome(self.tokens)))

    def test_missing_duplicate_and_swapped_tokens_are_reported(self):
        swapped = [self.tokens[1], self.tokens[0], *self.tokens[2:]]
        for tokens in (self.tokens[:-1], [*self.tokens, self.tokens[-1]], swapped):
            self.assertEqual(1, len(self.problems(stream_outcome(tokens))))

    def test_answer_without_last_event_is_reported(self):
        outcome = stream_outcome(self.tokens, declared=None)
        self.assertEqual(1, len(self.problems(outcome)))

    def test_refusal_without_not_run_header_is_reported(self):
        task = Task(number=2, kind=Kind.REFUSED_KEY)
        outcome = Outcome(task=task, requests=1, statuses=[401], runs=["unknown"])
        self.assertEqual(1, len(self.problems(outcome)))

    def test_note_that_never_ran_is_reported(self):
        task = Task(number=3, kind=Kind.NOTE_TWICE)
        outcome = Outcome(task=task, requests=2, statuses=[200, 200], runs=["", ""])
        self.assertEqual(1, len(self.problems(outcome)))
