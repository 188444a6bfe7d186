import pathlib

import fixtures
from testscenarios import WithScenarios

from wigeonscale.config import Peer, load_settings
from wigeonscale.errors import ErrorKind, SettingsError
from wigeonscale.testing import AsyncTestCase

NODE = "[node]\nname = n1\ndomain = aarhus-a\n"
ENTRY = NODE + (
    "[entry]\nlisten = 127.0.0.1:8000\nhttp = 127.0.0.1:8001\n"
    "control = 127.0.0.1:7001, 127.0.0.1:7002\n"
)
AGENT = NODE + (
    "[agent]\ngrpc = 127.0.0.1:0\nhttp = [::1]:0\ncontrol = 127.0.0.1:7001\n"
    "kind = engine\nbackend = http://127.0.0.1:9000\n"
)
CONTROL = NODE + (
    "[control]\ngrpc = 127.0.0.1:7001\nhttp = 127.0.0.1:7101\ndata = /tmp/c1\n"
    "peers = n1@127.0.0.1:7001, n2@127.0.0.1:7002\n"
)


def load(case, text, role):
    """Load settings from a text through a temporary file."""
    folder = pathlib.Path(case.useFixture(fixtures.TempDir()).path)
    path = folder / "node.ini"
    path.write_text(text)
    return load_settings(str(path), role)


class LoadTest(AsyncTestCase):
    def test_entry_defaults(self):
        cfg = load(self, ENTRY, "entry")
        self.assertEqual(
            ("n1", "aarhus-a", "default"), (cfg.name, cfg.domain, cfg.region)
        )
        self.assertEqual(("127.0.0.1:7001", "127.0.0.1:7002"), cfg.control)
        self.assertEqual(
            (1048576, 16, 3.0), (cfg.body_limit_bytes, cfg.subset, cfg.lease_s)
        )

    def test_log_section(self):
        self.assertEqual(
            "DEBUG", load(self, ENTRY + "[log]\nlevel=DEBUG", "entry").log_level
        )

    def test_agent(self):
        cfg = load(self, AGENT + "slots = 4\n", "agent")
        self.assertEqual(("engine", 4, "[::1]:0"), (cfg.kind, cfg.slots, cfg.http))

    def test_control_peers(self):
        cfg = load(self, CONTROL, "control")
        self.assertEqual(Peer("n2", "127.0.0.1:7002"), cfg.peers[1])

    def test_control_placement(self):
        keys = "spares = 2\ndomain_share = 0\nsettle_s = 1\nrebuild_after_s = 60\n"
        cfg = load(self, CONTROL + keys + "drain_s = 5\n", "control")
        self.assertEqual((2, 0.0), (cfg.spares, cfg.domain_share))
        times = (cfg.settle_s, cfg.rebuild_after_s, cfg.drain_s)
        self.assertEqual((1.0, 60.0, 5.0), times)

    def test_every_problem_is_reported_with_its_file(self):
        text = ENTRY.replace("aarhus-a", "a b") + "subset = 0\nlese_s = 3\n"
        exc = self.assertRaises(SettingsError, load, self, text, "entry")
        lines = exc.message.splitlines()
        self.assertEqual(3, len(lines))
        self.assertTrue(all("node.ini: [" in line for line in lines))

    def test_missing_file(self):
        exc = self.assertRaises(SettingsError, load_settings, "/nowhere/x.ini", "entry")
        self.assertIn("/nowhere/x.ini", exc.message)

    def test_unknown_role(self):
        exc = self.assertRaises(SettingsError, load_settings, "x.ini", "proxy")
        self.assertIn("'proxy': allowed: entry, agent, control", exc.message)


def wrong(base, old, new, *named):
    """Return a scenario of an invalid settings text and words of its error message."""
    assert old in base
    role = base.split("]")[1].rpartition("[")[2]
    return (f"{role}: {new.strip()}"), {
        "text": base.replace(old, new),
        "role": role,
        "named": named,
    }


class WrongSettingsTest(WithScenarios, AsyncTestCase):
    scenarios = [
        wrong(ENTRY, "127.0.0.1:8000", "localhost:80", "[entry] listen", "ip:port"),
        wrong(ENTRY, "127.0.0.1:8000", "127.0.0.1:65536", "listen", "65536"),
        wrong(
            ENTRY, "127.0.0.1:7001,", "127.0.0.1:7002,", "control", "without duplicates"
        ),
        wrong(ENTRY, "127.0.0.1:7001,", "127.0.0.1:0,", "control"),
        wrong(ENTRY, "listen = 127.0.0.1:8000\n", "", "[entry] listen: missing"),
        wrong(ENTRY, "[entry]", "[entry]\nlease_s = nan", "'nan'", "0.1 to 60"),
        wrong(ENTRY, "[entry]", "[entry]\nsubset = 1.5", "'1.5'", "1 to 1000"),
        wrong(ENTRY, "[entry]", "[entry]\nheartbeat_s = 2", "sixth of lease_s = 3"),
        wrong(ENTRY, "[entry]", "[entry]\nhttp = 127.0.0.1:1", "not an INI", "http"),
        wrong(ENTRY, "[entry]", "[entry]\nsubsets = 3", "unknown key; perhaps subset"),
        wrong(ENTRY, "[entry]", "[DEFAULT]\n[entry]", "[DEFAULT]: unknown section"),
        wrong(ENTRY, "[entry]", "[agent]\nslots = 1\n[entry]", "[agent]: unknown"),
        wrong(ENTRY, "name = n1", "name = a b", "[node] name = 'a b'"),
        wrong(ENTRY, "[entry]", "[log]\nlevel = LOUD\n[entry]", "[log] level = 'LOUD'"),
        wrong(AGENT, "kind = engine", "kind = service", "[agent] service: missing"),
        wrong(
            AGENT, "kind = engine", "kind = gpu", "'gpu'; allowed: engine or service"
        ),
        wrong(AGENT, "http://127.0.0.1:9000", "https://h/x", "backend = 'https://h/x'"),
        wrong(CONTROL, "n1@", "n3@", "a list with this node, 'n1'"),
        wrong(CONTROL, "n2@", "n1@", "each name once"),
        wrong(CONTROL, "n2@127", "127", "peers", "name@ip:port"),
        wrong(CONTROL, "data = /tmp/c1", "data =", "[control] data = ''"),
        wrong(
            CONTROL, "[control]", "[control]\nheartbeat_s = 0.6", "twice heartbeat_s"
        ),
        wrong(CONTROL, "[control]", "[control]\ndown_after_s = 2.9", "lease_s = 3"),
        wrong(CONTROL, "[control]", "[control]\nspares = -1", "0 to 1000"),
        wrong(CONTROL, "[control]", "[control]\nhttps = yes", "no without a [tls]"),
        wrong(
            CONTROL, "[control]", "[control]\nhttps = on", "'on'; allowed: yes or no"
        ),
        wrong(
            ENTRY, "[entry]", "[tls]\nca = /x\n[entry]", "[tls] ca = '/x'", "key = ''"
        ),
        wrong(CONTROL, "[control]", "[control]\ndomain_share = 1.1", "0 to 1"),
        wrong(CONTROL, "[control]", "[control]\ndrain_s = inf", "0 to 86400"),
        wrong(
            CONTROL, "[control]", "[control]\nadmin_token_digest = x", "64 lower-case"
        ),
    ]

    def test_invalid_value_is_reported(self):
        exc = self.assertRaises(SettingsError, load, self, self.text, self.role)
        self.assertEqual(ErrorKind.INVALID_SETTINGS, exc.kind)
        for words in self.named:
            self.assertIn(words, exc.message)
