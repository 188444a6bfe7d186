from wigeonscale.direct.fleet import BackendServer
from wigeonscale.lab.engines import SimulatedEngine, SimulatedRun, advance, start
from wigeonscale.layers import LayerRange, Part
from wigeonscale.routes import Accelerator, EngineProfile
from wigeonscale.testing import AsyncTestCase

MODEL = EngineProfile(
    layers=10,
    layer_mb=100.0,
    token_bytes=1e6,
    slots=3,
    step_ms=1.0,
    read_tokens_per_s=100_000.0,
    usual_prompt=100.0,
    usual_answer=20.0,
    accelerators={"k": Accelerator(name="k", size_mb=550.0, pace=1.0, read_factor=1.0)},
)


def engine(name, first, end):
    server = BackendServer(
        backend_id=name,
        service="model",
        address=name,
        domain="a",
        accelerator="k",
        layers=LayerRange(first, end),
    )
    return SimulatedEngine(server=server, profile=MODEL)


class EnginesTest(AsyncTestCase):
    """Two engines of five layers each; memory for 100 tokens in all five layers."""

    PATH = (Part("low", LayerRange(0, 5)), Part("up", LayerRange(5, 10)))

    def setUp(self):
        super().setUp()
        self.engines = {"low": engine("low", 0, 5), "up": engine("up", 5, 10)}

    def begin(self, prompt_tokens, answer_tokens=10):
        run = SimulatedRun(prompt_tokens=prompt_tokens, answer_tokens=answer_tokens)
        return run, start(run, self.PATH, self.engines)

    def test_capacity_is_memory_not_taken_by_layers(self):
        self.assertEqual(500.0, self.engines["low"].capacity)

    def test_engine_without_memory_for_prompt_is_returned(self):
        self.assertEqual(None, self.begin(60)[1])
        self.assertEqual("low", self.begin(60)[1])
        self.assertEqual(300.0, self.engines["up"].used)

    def test_first_engine_refuses_runs_beyond_its_slots(self):
        for _ in range(MODEL.slots):
            self.assertEqual(None, self.begin(1)[1])
        self.assertEqual("low", self.begin(1)[1])

    def test_lost_engine_refuses_runs(self):
        self.engines["up"].is_lost = True
        self.assertEqual("up", self.begin(1)[1])

    def test_run_is_prefilled_then_generates_to_its_end(self):
        run, _ = self.begin(50, answer_tokens=5)
        # 0.5 ms of prefill, then 1.2 ms per token for all layers and two short hops.
        done, preempted = advance([run], self.engines, now=0.004, step_s=0.004)
        self.assertEqual(([], 0), (done, preempted))
        self.assertAlmostEqual(3.5 / 1.2, run.generated_tokens)
        self.assertEqual(0.004, run.first_token_at)
        done, _ = advance([run], self.engines, now=0.008, step_s=0.004)
        self.assertEqual([run], done)
        self.assertEqual(0.0, self.engines["low"].used)

    def test_newest_run_is_preempted_when_memory_runs_out(self):
        old, _ = self.begin(60, answer_tokens=30)
        new, refusing_backend = self.begin(38, answer_tokens=30)
        self.assertIsNone(refusing_backend)
        _, preempted = advance([old, new], self.engines, now=0.01, step_s=0.01)
        self.assertEqual(1, preempted)
        self.assertTrue(new.is_preempted and new.is_late)
        self.assertFalse(old.is_late)
        # It resumes once the other run has ended, and its tokens are prefilled again.
        for step in range(10):
            done, _ = advance([old, new], self.engines, now=0.01 * step, step_s=0.01)
            if old in done:
                break
        advance([new], self.engines, now=0.2, step_s=0.0001)
        self.assertFalse(new.is_preempted)
        self.assertTrue(new.prefill_left_ms > 0)
