from types import SimpleNamespace

from testscenarios import WithScenarios

from wigeonscale.daemons.control import ControlDaemon
from wigeonscale.daemons.direct_control import DirectControl
from wigeonscale.testing import AsyncTestCase


class ReadinessTest(WithScenarios, AsyncTestCase):
    """Guards against the stop of a replica while another one may not vote yet."""

    scenarios = [
        ("with agents", {"daemon": ControlDaemon}),
        ("without agents", {"daemon": DirectControl}),
    ]

    def is_ready(self, *, may_vote=True, is_fresh=True, stopping=False):
        return self.daemon.is_ready(
            SimpleNamespace(
                _stopping=stopping,
                replica=SimpleNamespace(may_vote=may_vote),
                hub=SimpleNamespace(is_fresh=lambda: is_fresh),
            )
        )

    async def test_ready_only_as_a_voter_that_is_up_to_date(self):
        self.assertTrue(self.is_ready())
        self.assertFalse(self.is_ready(may_vote=False))
        self.assertFalse(self.is_ready(is_fresh=False))
        self.assertFalse(self.is_ready(stopping=True))
