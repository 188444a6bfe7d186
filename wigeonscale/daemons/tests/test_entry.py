"""Tests of the entry daemon's composition."""

from wigeonscale.entry.tests.support import EntryCase
from wigeonscale.errors import ErrorKind, WigeonscaleError


class EntryDaemonTest(EntryCase):
    async def test_limit_of_an_organisation_is_shared_over_the_entries(self):
        self.control.entries = 2
        limits = self.entry.organisation_limits
        for _ in range(2):
            limits.acquire("korrektur", concurrency=4)
        exc = self.assertRaises(
            WigeonscaleError, limits.acquire, "korrektur", concurrency=4
        )
        self.assertIs(ErrorKind.LIMIT_EXCEEDED, exc.kind)
