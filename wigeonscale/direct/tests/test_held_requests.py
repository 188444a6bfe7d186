from wigeonscale.direct import AdmissionQueue
from wigeonscale.errors import WigeonscaleError
from wigeonscale.limits import derive_service_level
from wigeonscale.testing import AsyncTestCase, ManualClock


class HoldTest(AsyncTestCase):
    """Requests in the queue that leave free capacity to more urgent classes."""

    def setUp(self):
        super().setUp()
        self.queue = AdmissionQueue(clock=ManualClock())

    def enqueue(self, priority):
        return self.queue.enqueue(organisation="", priority=priority, running=50)

    def next_of(self, *tickets, **fields):
        return [each for each in tickets if self.queue.is_next(each, **fields)]

    def test_others_go_first(self):
        """Guards against a held request at the head of the queue."""
        held, urgent = self.enqueue(2), self.enqueue(0)
        self.queue.hold(held, 2)
        self.assertEqual([urgent], self.next_of(held, urgent))
        self.queue.release(urgent, admitted=True)
        self.assertEqual([held], self.next_of(held))
        self.queue.release(held, admitted=True)
        self.assertEqual(0, len(self.queue))
        self.assertTrue(self.queue.is_clear_for(9))

    def test_order_of_held_requests(self):
        """Guards against held requests overtaking their class or a more urgent one.

        Two classes may leave the same capacity free, and without an order the one that
        can wait longer gets more of the rest.
        """
        tickets = [self.enqueue(2) for _ in range(3)]
        other = self.enqueue(1)
        for ticket in (*tickets, tickets[0]):
            self.queue.hold(ticket, 2)
        self.queue.hold(other, 1)
        self.assertEqual([other], self.next_of(*tickets, other))
        self.assertEqual(
            [tickets[0], other],
            self.next_of(*tickets, other, is_below_floor=lambda: True),
        )
        self.queue.release(other, admitted=True)
        self.assertEqual([tickets[0]], self.next_of(*tickets))
        self.queue.release(tickets[0], admitted=True)
        self.assertEqual([tickets[1]], self.next_of(*tickets))

    def test_floor_is_looked_up_only_if_it_matters(self):
        # Guards against a look-up for each request in each check. With outdated totals,
        # it counts the own demand again.
        tickets = [self.enqueue(2) for _ in range(3)]
        urgent = self.enqueue(0)
        asked = []
        for held in ([], tickets[:1], tickets, [urgent]):
            for ticket in held:
                self.queue.hold(ticket, 0 if ticket == urgent else 2)
            for ticket in (*tickets, urgent):
                self.queue.is_next(
                    ticket, is_below_floor=lambda each=ticket: asked.append(each)
                )
        self.assertEqual([tickets[0]], asked)

    def test_new_requests_do_not_overtake_their_class(self):
        """Guards against held requests that wait for ever behind new ones."""
        self.queue.hold(self.enqueue(1), 1)
        clear = [priority for priority in range(3) if self.queue.is_clear_for(priority)]
        self.assertEqual([0], clear)
        self.enqueue(2)
        self.assertFalse(self.queue.is_clear_for(0))

    def test_late_request_is_held_again(self):
        """Guards against a ticket that is lost between held and late."""
        held, late = self.enqueue(2), self.enqueue(0)
        self.queue.hold(held, 2)
        self.queue.demote(held)
        self.queue.demote(late)
        self.assertEqual(2, len(self.queue))
        self.assertEqual([held], self.next_of(held, late))
        self.queue.hold(held, 2)
        self.assertEqual([late], self.next_of(held, late))
        self.queue.release(held, admitted=None)
        self.assertEqual(1, len(self.queue))

    def test_held_requests_reject_no_other(self):
        """Guards against a full queue of requests that the reserve holds back."""
        for _ in range(30):
            self.queue.hold(self.enqueue(2), 2)
        self.assertEqual(30, len(self.queue))
        self.enqueue(0)

    def enqueue_class(self, priority, *, running):
        return self.queue.enqueue(
            organisation="",
            priority=priority,
            running=running,
            level=derive_service_level(0.5, 0.2),
        )

    def test_held_requests_use_up_the_bound_of_their_own_class_only(self):
        """Guards against an urgent class rejected for held requests of another.

        A class whose held requests are not bounded would wait to be rejected.
        """
        for _ in range(8):
            self.queue.hold(self.enqueue_class(2, running=10), 2)
        self.assertRaises(WigeonscaleError, self.enqueue_class, 2, running=10)
        urgent = [self.enqueue_class(0, running=10) for _ in range(8)]
        self.assertEqual([urgent[0]], self.next_of(*urgent))

    def test_held_and_late_requests_of_several_lanes(self):
        """Guards against a lane that is blocked by a held request of its class."""
        held, second = (self.enqueue_class(2, running=10) for _ in range(2))
        self.queue.hold(held, 2)
        urgent = self.enqueue_class(0, running=10)
        self.assertEqual([urgent], self.next_of(held, second, urgent))
        self.queue.demote(urgent)
        self.assertEqual([second], self.next_of(held, second, urgent))
        self.queue.hold(second, 2)
        self.assertEqual([urgent], self.next_of(held, second, urgent))
        self.queue.release(urgent, admitted=None)
        self.assertEqual([held], self.next_of(held, second))
        for ticket in (held, second):
            self.queue.release(ticket, admitted=True)
        self.assertEqual(0, len(self.queue))
