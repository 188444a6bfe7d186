"""Backend servers say how they are, to the daemons as processes.

In each test an entry is asked one request after another, so that what it was told by an
answer that its caller has is known to it at the next one, however busy the machine is.
"""

from wigeonscale.testing.soak.tests.support import DeploymentCase

REQUESTS = 25
# Rests and limits that outlast the test.
LONG_RETRY_AFTER_S = 600.0
LOW_LIMIT_PER_S = 0.01
# By the users' rule, for a limit that allows next to none in the window.
MAX_REQUESTS_IN_WINDOW = 5
WINDOW_S = 4.0


class NoticesTest(DeploymentCase):
    async def send_requests(self, entry, kind):
        for _ in range(REQUESTS):
            await self.load.call(self.session, entry, kind)

    async def preferred_server(self, kind, entry):
        """Return the server that an entry begins its requests at."""
        await self.wait_until_served(kind)
        for backend in self.backends:
            backend.arrivals.clear()
        await self.send_requests(entry, kind)
        return max(self.backends, key=lambda backend: len(backend.arrivals))

    def requests_from(self, entry, backend):
        return [
            request_id
            for request_id, _ in backend.arrivals
            if self.load.sent_to[request_id] == entry.name
        ]

    async def requests_after(self, kind, notice):
        """Let a server say something, and ask on.

        Returns:
            The server, and how many requests of each entry reach it from then on.
        """
        backend = await self.preferred_server(kind, self.dep.entries[0])
        notice(backend)
        backend.arrivals.clear()
        for entry in self.dep.entries:
            await self.send_requests(entry, kind)
        self.assertEqual([], self.checker.violations)
        self.assertTrue(self.checker.answers[200] >= REQUESTS * 2)
        counts = [len(self.requests_from(entry, backend)) for entry in self.dep.entries]
        return backend, counts

    async def test_one_that_asks_for_rest_is_asked_once_by_each_entry(self):
        for kind in ("stream", "safe"):
            _, counts = await self.requests_after(kind, self.set_retry_after)
            self.assertTrue(max(counts) <= 1, f"{kind}: {counts} sends")

    async def test_one_that_leaves_is_asked_once_by_each_entry(self):
        for kind in ("stream", "safe"):
            _, counts = await self.requests_after(kind, self.set_leaving)
            self.assertTrue(max(counts) <= 1, f"{kind}: {counts} sends")

    async def test_one_that_names_a_limit_gets_no_more_of_all_entries(self):
        for kind in ("stream", "safe"):
            backend, _ = await self.requests_after(kind, self.set_limit)
            times = [at for _, at in backend.arrivals]
            most = max(sum(end - WINDOW_S < at <= end for at in times) for end in times)
            self.assertTrue(
                most <= MAX_REQUESTS_IN_WINDOW, f"{kind}: {most} sends in a window"
            )

    def set_retry_after(self, backend):
        backend.retry_after_s = LONG_RETRY_AFTER_S

    def set_leaving(self, backend):
        backend.notice_headers = {"Server-Leaving": "1"}

    def set_limit(self, backend):
        backend.notice_headers = {"Server-Limit": str(LOW_LIMIT_PER_S)}
