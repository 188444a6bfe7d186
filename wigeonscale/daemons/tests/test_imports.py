import asyncio
import sys

from wigeonscale.testing import AsyncTestCase

# Packages that a direct entry needs. Any other package costs memory in each of hundreds
# of processes, and delays the start after a power loss.
PACKAGES = {
    "adapters",
    "cli",
    "config",
    "crashes",
    "daemons",
    "direct",
    "errors",
    "layers",
    "limits",
    "membership",
    "platform",
    "ports",
    "routes",
    "wire",
}
SCRIPT = """
import sys
import wigeonscale.cli.daemon, wigeonscale.daemons.direct_entry
print(*sorted({n.split(".")[1] for n in sys.modules if n.startswith("wigeonscale.")}))
"""


class ImportsTest(AsyncTestCase):
    async def test_direct_entry_imports_only_the_packages_it_uses(self):
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", SCRIPT, stdout=asyncio.subprocess.PIPE
        )
        loaded, _ = await process.communicate()
        self.assertEqual(0, process.returncode)
        self.assertEqual(PACKAGES, set(loaded.decode().split()))
