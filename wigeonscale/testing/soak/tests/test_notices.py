"""Backend servers say how they are, to the daemons as processes.

In each test an entry is asked one request after another, so that what it was told by an
answer that its caller has is known to it at the next one, however busy the machine is.
"""

from wigeonscale.testing.soak.tests.support import DeploymentCase

REQUESTS = 25
# Rests and limits that outlast the test.
LONG_S = 600.0
LOW_PER_S = 0.01
# By the users' rule, for a limit that allows next to none in the window.
BORNE = 5
WINDOW_S = 4.0


class NoticesTest(DeploymentCase):
    async def ask(self, entry, kind):
        for _ in range(REQUESTS):
            await self.load.call(self.session, entry, kind)

    async def first_of(self, kind, entry):
        """Return the server that an entry begins its requests at."""
        await self.until_served(kind)
        for backend in self.backends:
            backend.arrived.clear()
        await self.ask(entry, kind)
        return max(self.backends, key=lambda backend: len(backend.arrived))

    def sent_by(self, entry, backend):
        return [
            request_id
            for request_id, _ in backend.arrived
            if self.load.sent_to[request_id] == entry.name
        ]

    async def play(self, kind, says):
        """Let a server say something, and ask on.

        Returns:
            The server, and how many requests of each entry reach it from then on.
        """
        backend = await self.first_of(kind, self.dep.entries[0])
        says(backend)
        backend.arrived.clear()
        for entry in self.dep.entries:
            await self.ask(entry, kind)
        self.assertEqual([], self.ledger.broken)
        self.assertTrue(self.ledger.answers[200] >= REQUESTS * 2)
        sends = [len(self.sent_by(entry, backend)) for entry in self.dep.entries]
        return backend, sends

    async def test_one_that_asks_for_rest_is_asked_once_by_each_entry(self):
        for kind in ("stream", "safe"):
            _, sends = await self.play(kind, self.rest)
            self.assertTrue(max(sends) <= 1, f"{kind}: {sends} sends")

    async def test_one_that_leaves_is_asked_once_by_each_entry(self):
        for kind in ("stream", "safe"):
            _, sends = await self.play(kind, self.leave)
            self.assertTrue(max(sends) <= 1, f"{kind}: {sends} sends")

    async def test_one_that_names_a_limit_gets_no_more_of_all_entries(self):
        for kind in ("stream", "safe"):
            backend, _ = await self.play(kind, self.name_limit)
            instants = [at for _, at in backend.arrived]
            most = max(
                sum(end - WINDOW_S < at <= end for at in instants) for end in instants
            )
            self.assertTrue(most <= BORNE, f"{kind}: {most} sends in a window")

    def rest(self, backend):
        backend.rest_s = LONG_S

    def leave(self, backend):
        backend.says = {"Server-Leaving": "1"}

    def name_limit(self, backend):
        backend.says = {"Server-Limit": str(LOW_PER_S)}
