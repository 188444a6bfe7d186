"""Tests of claims: granted once, released only by their own dispatch."""

from wigeonscale.errors import ErrorKind
from wigeonscale.state.tests.support import Machine
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2 as wire


class ClaimsTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.machine = Machine()
        self.machine.announce("a")

    def record(self, key="k"):
        return self.machine.state.claims.find("o", key)

    def test_second_claim_gets_the_existing_record(self):
        first = self.machine.claim(dispatch="d1")
        second = self.machine.claim(dispatch="d2")
        self.assertEqual((True, False), (first.granted, second.granted))
        self.assertEqual("", second.kind)
        self.assertEqual("d1", second.claim.claim.dispatch_id)

    def test_retried_claim_is_granted_until_its_outcome(self):
        self.machine.claim(dispatch="d1")
        self.assertTrue(self.machine.claim(dispatch="d1").granted)
        self.machine.outcome(state=wire.RAN)
        self.assertFalse(self.machine.claim(dispatch="d1").granted)

    def test_different_request_with_the_same_key_is_refused(self):
        self.machine.claim(digest=b"x")
        result = self.machine.claim(digest=b"y", dispatch="d2")
        self.assertEqual(ErrorKind.IDEMPOTENCY_KEY_REUSED, result.kind)
        self.assertFalse(result.granted)

    def test_claim_by_an_unannounced_incarnation_is_refused(self):
        result = self.machine.claim(incarnation=2)
        self.assertEqual(ErrorKind.STALE_INCARNATION, result.kind)
        self.assertIsNone(self.record())

    def test_claim_without_key_or_dispatch_is_refused(self):
        for fields in ({"key": ""}, {"dispatch": ""}):
            result = self.machine.claim(**fields)
            self.assertEqual(ErrorKind.BAD_REQUEST, result.kind)

    def test_only_its_own_dispatch_releases_a_claim(self):
        self.machine.claim(dispatch="d1")
        self.machine.outcome(dispatch="d2", not_run=True)
        self.assertEqual(wire.CLAIMED, self.record().state)
        self.machine.outcome(dispatch="d1", not_run=True)
        self.assertIsNone(self.record())
        self.assertTrue(self.machine.claim(dispatch="d3").granted)

    def test_final_state_of_a_claim_does_not_change(self):
        for state in (wire.RAN, wire.FAILED, wire.UNKNOWN):
            key = f"k{state}"
            self.machine.claim(key)
            self.machine.outcome(key, state=state)
            for later in ({"not_run": True}, {"state": wire.FAILED}):
                result = self.machine.outcome(key, **later)
                self.assertEqual(state, result.claim.state)
                self.assertEqual(state, self.record(key).state)

    def test_outcome_needs_a_final_state(self):
        self.machine.claim()
        for state in (wire.CLAIM_STATE_UNSPECIFIED, wire.CLAIMED):
            result = self.machine.outcome(state=state)
            self.assertEqual(ErrorKind.BAD_REQUEST, result.kind)

    def test_end_of_incarnation_makes_its_claims_unknown(self):
        self.machine.announce("b")
        self.machine.claim("running")
        self.machine.claim("ran")
        self.machine.outcome("ran", state=wire.RAN)
        self.machine.claim("elsewhere", agent="b")
        end = wire.EndIncarnation(agent_id="a", incarnation=1)
        self.machine.run(end_incarnation=end)
        states = [self.record(k).state for k in ("running", "ran", "elsewhere")]
        self.assertEqual([wire.UNKNOWN, wire.RAN, wire.CLAIMED], states)
        self.assertFalse(self.machine.claim("running", dispatch="d9").granted)

    def test_restart_makes_claims_unknown(self):
        self.machine.claim()
        self.machine.announce("a", 2)
        self.assertEqual(wire.UNKNOWN, self.record().state)

    def test_claims_expire_by_age_in_any_state(self):
        self.machine.run(wall_ms=1000, expire=wire.ExpireClaims())
        self.machine.claim("old")
        self.machine.claim("old-unknown")
        self.machine.outcome("old-unknown", state=wire.UNKNOWN)
        self.machine.run(wall_ms=5000, expire=wire.ExpireClaims())
        self.machine.claim("new")
        self.machine.run(expire=wire.ExpireClaims(before_wall_ms=5000))
        left = [self.record(k) is not None for k in ("old", "old-unknown", "new")]
        self.assertEqual([False, False, True], left)

    def test_expiry_is_bounded_by_the_state_machine_time(self):
        self.machine.run(wall_ms=1000, expire=wire.ExpireClaims())
        self.machine.claim()
        self.machine.run(expire=wire.ExpireClaims(before_wall_ms=9000))
        self.assertIsNotNone(self.record())
