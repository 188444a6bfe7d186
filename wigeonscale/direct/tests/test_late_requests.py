from collections import Counter

from wigeonscale.direct import AdmissionQueue
from wigeonscale.direct.admission_queue import MAX_QUEUE_WAIT_S, ON_TIME_WAIT_S
from wigeonscale.testing import AsyncTestCase, ManualClock

STEP_S = 0.05
RUNNING = 12


class LateRequestsTest(AsyncTestCase):
    """Guards against requests that wait for long only to be rejected.

    More requests arrive than engines have capacity for, and new ones go first.
    """

    async def play(self, *, arrivals_per_s, admissions_per_s, seconds):
        """Return the outcomes of all requests with the time that each had waited."""
        clock = ManualClock()
        queue = AdmissionQueue(clock=clock)
        waiting = {}
        outcomes = []
        arrivals = admissions = 0.0
        for _ in range(int(seconds / STEP_S)):
            arrivals += arrivals_per_s * STEP_S
            while arrivals >= 1:
                arrivals -= 1
                ticket = queue.enqueue(organisation="", priority=1, running=RUNNING)
                waiting[ticket] = clock.now(), False
            admissions += admissions_per_s * STEP_S
            while admissions >= 1:
                admissions -= 1
                for ticket in [each for each in waiting if queue.is_next(each)]:
                    queue.release(ticket, admitted=True)
                    outcomes.append(("admitted", clock.now() - waiting.pop(ticket)[0]))
            for ticket, (since, is_late) in list(waiting.items()):
                waited_s = clock.now() - since
                may_wait = waited_s < MAX_QUEUE_WAIT_S
                if may_wait and not is_late and waited_s >= ON_TIME_WAIT_S:
                    may_wait = queue.demote(ticket) is not False
                    waiting[ticket] = since, True
                if not may_wait:
                    queue.release(ticket, admitted=False)
                    outcomes.append(("rejected", waited_s))
                    del waiting[ticket]
            await clock.advance(STEP_S)
        return outcomes

    async def test_few_wait_in_vain_under_overload(self):
        outcomes = await self.play(arrivals_per_s=4, admissions_per_s=2.5, seconds=20)
        counts = Counter(outcome for outcome, _ in outcomes)
        in_vain = sum(
            outcome == "rejected" and waited_s >= MAX_QUEUE_WAIT_S
            for outcome, waited_s in outcomes
        )
        self.assertTrue(in_vain <= 0.25 * counts["rejected"], (in_vain, counts))
        # No capacity is left unused.
        self.assertTrue(counts["admitted"] >= 48, counts)

    async def test_all_wait_after_a_short_outage(self):
        """Callers without a retry are served late rather than never."""
        clock = ManualClock()
        queue = AdmissionQueue(clock=clock)
        tickets = [
            queue.enqueue(organisation="", priority=1, running=100) for _ in range(20)
        ]
        await clock.advance(ON_TIME_WAIT_S)
        self.assertTrue(all(queue.demote(ticket) for ticket in tickets))

    async def test_disconnected_caller_is_no_sign_of_overload(self):
        queue = AdmissionQueue(clock=ManualClock())
        first, second, third = (
            queue.enqueue(organisation="", priority=1, running=100) for _ in range(3)
        )
        self.assertTrue(queue.demote(first))
        queue.release(first, admitted=None)
        self.assertTrue(queue.demote(second))
        self.assertTrue(queue.demote(third))

    async def test_all_may_wait_again_after_the_overload(self):
        clock = ManualClock()
        queue = AdmissionQueue(clock=clock)
        tickets = [
            queue.enqueue(organisation="", priority=1, running=100) for _ in range(4)
        ]
        self.assertTrue(queue.demote(tickets[0]))
        queue.release(tickets[0], admitted=False)
        self.assertFalse(queue.demote(tickets[1]))
        self.assertFalse(queue.demote(tickets[2]))
        await clock.advance(2.1)
        self.assertTrue(queue.demote(tickets[2]))
        self.assertTrue(queue.demote(tickets[3]))
