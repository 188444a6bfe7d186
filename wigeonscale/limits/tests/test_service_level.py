from wigeonscale.limits import ServiceLevel, derive_service_level
from wigeonscale.testing import AsyncTestCase

TARGETS_S = (0.0, 0.05, 0.2, 0.5, 0.502, 0.6, 1.203, 5.0, 30.0)


class ServiceLevelTest(AsyncTestCase):
    def test_usual_targets_give_the_waits_of_services_without_classes(self):
        # Guards against another behaviour of routes for which the constants were made.
        self.assertEqual(
            ServiceLevel(on_time_wait_s=0.25, patience_s=1.5),
            derive_service_level(0.5, 0.2),
        )

    def test_late_target_waits_longer(self):
        # Guards against the rejection of a caller who stays for 4.8 s after 1.5 s, and
        # the demotion of a response due in 1,203 ms after 0.25 s.
        level = derive_service_level(1.203, 0.3)
        self.assertAlmostEqual(0.953, level.on_time_wait_s)
        self.assertAlmostEqual(4.312, level.patience_s)

    def test_long_pause_target_keeps_the_caller(self):
        # Guards against giving up by the first target alone: the caller disconnects
        # after eight pauses of 0.5 s.
        level = derive_service_level(0.5, 0.5)
        self.assertEqual(0.25, level.on_time_wait_s)
        self.assertEqual(3.5, level.patience_s)

    def test_short_target_still_waits(self):
        # Guards against a wait of zero or less, which demotes every request at once.
        self.assertAlmostEqual(0.1, derive_service_level(0.2, 0.0).on_time_wait_s)

    def test_no_target(self):
        # Guards against a target of 0 s being taken as a response due at once.
        self.assertEqual(derive_service_level(0.5, 0.0), derive_service_level(0.0, 0.0))

    def test_gives_up_after_the_on_time_wait_and_before_the_disconnect(self):
        # Guards against a request that is rejected while it could be in time, and a
        # response to a caller who has left.
        for target_s in TARGETS_S:
            level = derive_service_level(target_s, 0.0)
            self.assertTrue(0 < level.on_time_wait_s < level.patience_s, target_s)
            self.assertTrue(level.patience_s <= max(2.0, 4 * target_s) - 0.5, target_s)
