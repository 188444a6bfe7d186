"""Requests in the moment in which restarted entries get the configuration."""

import random

from wigeonscale.direct.admission import choose_path_for
from wigeonscale.direct.choice import FULL_SHARE
from wigeonscale.direct.runs import Run
from wigeonscale.direct.tests.support import ENGINE, MODEL, EntryHarness, engine
from wigeonscale.ports.exchange import GenerationSize
from wigeonscale.routes import Repeat
from wigeonscale.testing import AsyncTestCase

ENTRIES = 29
# Requests of all callers that returned within the last second. The engines have
# capacity for all of them.
RETURNING_REQUESTS = 150
LAYERS = 5
SIZES = GenerationSize(prompt_tokens=100, max_tokens=40, expected_tokens=20)


class ColdStartTest(AsyncTestCase):
    """After a power failure of all entries, the engines are empty.

    Callers return within a second, and a hash spreads them unevenly over the entries.
    An entry with many of them must not assume that the others have as many and reject
    requests.
    """

    async def prepare(self):
        servers = [
            engine(f"{domain}{first}", first, first + LAYERS, domain=domain)
            for domain in "ab"
            for first in (0, LAYERS)
        ]
        self.entries = [
            EntryHarness(*servers, entry_count=ENTRIES, domain="ab"[number % 2])
            for number in range(ENTRIES)
        ]
        rng = random.Random(3)
        weights = [rng.uniform(0.2, 3.0) for _ in self.entries]
        self.receivers = rng.choices(self.entries, weights, k=RETURNING_REQUESTS)
        self.used = {server.backend_id: 0.0 for server in servers}

    def send(self, harness):
        """Start one request; return whether there was capacity for it."""
        job = harness.job(Repeat.STREAM, service=MODEL, generation=SIZES)
        choice = choose_path_for(harness.ctx, job, lost=(), ran_on=())
        if choice.full:
            return False
        tokens = job.req.generation.prompt_tokens + job.req.generation.expected_tokens
        layers = {p.backend_id: float(tokens * p.layers.count) for p in choice.path}
        harness.tracker.begin(Run(tuple(layers), layers))
        for name, token_layers in layers.items():
            self.used[name] += token_layers
        return True

    async def test_no_rejections_while_engines_are_empty(self):
        served = sum(self.send(harness) for harness in self.receivers)
        self.assertEqual(RETURNING_REQUESTS, served)
        free_mb = ENGINE.accelerators["k"].size_mb - LAYERS * ENGINE.layer_mb
        capacity = free_mb * 1e6 / (ENGINE.token_bytes / ENGINE.layers)
        self.assertTrue(max(self.used.values()) <= FULL_SHARE * capacity)
