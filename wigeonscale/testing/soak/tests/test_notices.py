"""Daemon processes obey the notices of backend servers.

Each test sends requests to an entry one after the other. A notice in one response is
therefore known to the entry at the next request, however busy the machine is.
"""

from wigeonscale.testing.soak.tests.support import DeploymentCase

REQUESTS = 25
# Retry delay and limit that last longer than the test.
LONG_RETRY_AFTER_S = 600.0
LOW_LIMIT_PER_S = 0.01
# Allowed by the users' rule for a limit of almost no request per window.
MAX_REQUESTS_IN_WINDOW = 5
WINDOW_S = 4.0


class NoticesTest(DeploymentCase):
    async def send_requests(self, entry, kind):
        for _ in range(REQUESTS):
            await self.load.call(self.session, entry, kind)

    async def preferred_server(self, kind, entry):
        """Return the server to which an entry sends most of its requests."""
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
        """Let a server give a notice, then send further requests.

        Returns:
            The server, and the number of later requests from each entry to it.
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

    async def test_retry_delay_admits_one_request_of_each_entry(self):
        for kind in ("stream", "safe"):
            _, counts = await self.requests_after(kind, self.set_retry_after)
            self.assertTrue(max(counts) <= 1, f"{kind}: {counts} sends")

    async def test_leaving_admits_one_request_of_each_entry(self):
        for kind in ("stream", "safe"):
            _, counts = await self.requests_after(kind, self.set_leaving)
            self.assertTrue(max(counts) <= 1, f"{kind}: {counts} sends")

    async def test_limit_holds_over_all_entries(self):
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
