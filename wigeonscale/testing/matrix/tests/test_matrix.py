"""The quick cells of the matrix whose results do not depend on machine speed."""

import fixtures
import testscenarios

from wigeonscale.errors import RunState
from wigeonscale.testing import AsyncTestCase, rpcs_ended
from wigeonscale.testing.matrix.cluster import Cluster
from wigeonscale.testing.matrix.faults import FAULTS
from wigeonscale.testing.matrix.load import apply_rules
from wigeonscale.testing.matrix.table import cells
from wigeonscale.testing.matrix.trial import Trial, wait_until_ready

SLOW_MACHINE_TIMEOUT_S = 30.0
QUICK = {
    "kill": ("prefill", "decode", "outcome"),
    "lost disk": ("commit",),
    "racing operators": ("commit",),
    "resend": ("claim", "commit"),
}


class QuickCellsTest(testscenarios.WithScenarios, AsyncTestCase):
    scenarios = [
        (fault, {"fault": fault, "steps": steps}) for fault, steps in QUICK.items()
    ]

    async def prepare(self):
        self.addCleanup(rpcs_ended)
        folder = self.useFixture(fixtures.TempDir()).path
        self.cluster = Cluster(folder=folder)
        self.addCleanup(self.cluster.close)
        await self.cluster.start()
        await apply_rules(self.cluster, 0)

    async def test_cells_have_no_violations(self):
        chosen = [c for c in cells() if c.fault == self.fault and c.step in self.steps]
        self.assertEqual(len(self.steps), len(chosen))
        for variant, role in [run for cell in chosen for run in cell.runs]:
            await wait_until_ready(self.cluster)
            trial = Trial(
                cluster=self.cluster,
                fault=FAULTS[self.fault],
                role=role,
                recovery_timeout_s=SLOW_MACHINE_TIMEOUT_S,
            )
            # On a slow machine a healthy agent may be suspected of failure.
            trial.allowed_run_states = frozenset(RunState)
            self.addCleanup(trial.close)
            await variant.run(trial)
            await trial.end_fault()
            found = [str(violation) for violation in await trial.finish()]
            self.assertEqual([], found, f"{variant.name} at {role}")
