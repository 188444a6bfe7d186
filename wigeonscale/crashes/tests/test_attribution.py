from wigeonscale.crashes import refusal_s
from wigeonscale.crashes.attribution import Suspect, refusal_s_among
from wigeonscale.testing import AsyncTestCase

THREE = Suspect(frozenset("abc"))
FOUR = Suspect(frozenset("abcd"))
PROVEN = Suspect(frozenset("abcde"), is_proven=True)


class AttributionTest(AsyncTestCase):
    def refusal_s(self, suspect, *others, span_s=9.0):
        return refusal_s_among(suspect, others, span_s=span_s)

    def test_shared_crashes_are_attributed_to_the_suspect_with_most(self):
        self.assertEqual(0.0, self.refusal_s(THREE, FOUR))
        self.assertEqual(refusal_s(4), self.refusal_s(FOUR, THREE))

    def test_tied_suspects_are_refused_for_a_short_time(self):
        self.assertEqual(5.0, self.refusal_s(THREE, Suspect(frozenset("abc"))))

    def test_suspect_with_a_crash_alone_is_not_released_by_another(self):
        """Two deadly suspects may have had their first crashes in common."""
        one, other = Suspect(frozenset("abcd")), Suspect(frozenset("abcef"))
        self.assertEqual(5.0, self.refusal_s(one, other))
        self.assertEqual(refusal_s(5), self.refusal_s(other, one))
        proven = Suspect(frozenset("abcd"), is_proven=True)
        self.assertEqual(0.0, self.refusal_s(proven, other))

    def test_a_suspect_that_has_never_run_is_likelier_than_a_proven_one(self):
        """A popular part occurs in all crashes of a part that crashes servers."""
        self.assertEqual(0.0, self.refusal_s(PROVEN, THREE, Suspect(frozenset("cde"))))
        self.assertEqual(refusal_s(3), self.refusal_s(THREE, PROVEN))

    def test_a_proven_suspect_is_refused_for_a_short_time_that_grows(self):
        times_s = [
            self.refusal_s(Suspect(frozenset("abcdef"[:count]), is_proven=True))
            for count in (2, 3, 4, 5, 6)
        ]
        self.assertEqual([0.0, 1.0, 4.0, 16.0, 64.0], times_s)

    def test_crashes_at_the_same_time_may_have_a_common_cause(self):
        self.assertEqual(5.0, self.refusal_s(THREE, span_s=0.5))
