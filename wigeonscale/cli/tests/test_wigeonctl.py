import asyncio
import contextlib
import io
import json
import pathlib

import fixtures
from aiohttp import web
from aiohttp.test_utils import TestServer

from wigeonscale.cli import wigeonctl
from wigeonscale.reports import BurnRecorder, burn_routes
from wigeonscale.rules import parse_document
from wigeonscale.rules.tests.samples import SMALL
from wigeonscale.testing import AsyncTestCase, ManualClock

APPLY = ("POST", "/admin/rules/apply")
SHOW = ("GET", "/admin/rules")
STATUS = ("GET", "/admin/status")
DROP_CONNECTION = "drop the connection after reading the request"
IN_FORCE = (200, {"revision": 4, "digest": "d" * 64, "document": SMALL})


def refusal(status, kind, **fields):
    return status, {"error": {"kind": kind, "message": f"said {kind}", **fields}}


NOT_LEADER = refusal(421, "not-leader")


class FakeControl:
    """A control replica with scripted responses; the last one repeats."""

    def __init__(self, **pages):
        self.script = {}
        self.bodies = []

    async def start(self, case):
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._answer)
        server = TestServer(app, host="127.0.0.1")
        await server.start_server()
        case.addCleanup(server.close)
        return f"127.0.0.1:{server.port}"

    async def _answer(self, req):
        body = await req.json() if req.method == "POST" else None
        if body is not None:
            self.bodies.append(body)
        answers = self.script.get((req.method, req.path), [(404, {})])
        answer = answers.pop(0) if len(answers) > 1 else answers[0]
        if answer is DROP_CONNECTION:
            req.transport.close()
            return web.Response()
        return web.json_response(answer[1], status=answer[0])


class WigeonctlTest(AsyncTestCase):
    async def prepare(self):
        self.folder = pathlib.Path(self.useFixture(fixtures.TempDir()).path)
        self.first, self.second = FakeControl(), FakeControl()
        self.addresses = [await self.first.start(self), await self.second.start(self)]
        self.rules = self.folder / "rules.ini"
        self.rules.write_text(SMALL.replace("limit = 40", "limit = 41"))

    async def run_command(self, *argv):
        """Run wigeonctl; return exit code, standard output and error output."""
        out, err = io.StringIO(), io.StringIO()
        control = ["--control", ",".join(self.addresses), "--timeout", "1"]
        local = "check" in argv or "decisions" in argv
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            full = [*argv, *([] if local else control)]
            code = await asyncio.to_thread(wigeonctl.main, full)
        return code, out.getvalue(), err.getvalue()

    async def test_apply_goes_to_the_leader(self):
        self.first.script = {SHOW: [IN_FORCE], APPLY: [NOT_LEADER]}
        self.second.script = {APPLY: [(200, {"revision": 5, "index": 9})]}
        code, out, _ = await self.run_command("rules", "apply", str(self.rules))
        self.assertEqual(0, code)
        self.assertIn("revision 5 accepted, made from revision 4", out)
        self.assertIn("changed [rule press]", out)
        self.assertEqual(4, self.second.bodies[0]["base_revision"])
        # Only the changed section is sent, with the digest of the whole document.
        (change,) = self.second.bodies[0]["changes"]
        self.assertEqual("rule press", change["name"])
        wanted = parse_document(self.rules.read_text())
        self.assertEqual(wanted.digest, self.second.bodies[0]["digest"])
        self.assertNotIn("document", self.second.bodies[0])

    async def test_lost_answer_is_resent_with_the_same_operation_id(self):
        self.first.script = {APPLY: [DROP_CONNECTION]}
        self.second.script = {APPLY: [(200, {"revision": 5, "index": 9})]}
        code, _, _ = await self.run_command(
            "rules", "apply", str(self.rules), "--base", "4"
        )
        self.assertEqual(0, code)
        self.assertEqual(self.first.bodies[0], self.second.bodies[0])

    async def test_lost_answers_are_an_unknown_outcome(self):
        self.first.script = {SHOW: [IN_FORCE], APPLY: [DROP_CONNECTION]}
        self.second.script = {APPLY: [NOT_LEADER]}
        code, _, err = await self.run_command(
            "rules", "apply", str(self.rules), "--operation-id", "op-1"
        )
        self.assertEqual(3, code)
        self.assertIn("outcome unknown", err)
        self.assertIn("--operation-id op-1 --base 4", err)
        self.assertEqual({"op-1"}, {body["operation_id"] for body in self.first.bodies})

    async def test_other_refusal_leaves_the_outcome_of_a_lost_answer_unknown(self):
        self.first.script = {APPLY: [DROP_CONNECTION]}
        self.second.script = {APPLY: [refusal(403, "forbidden")]}
        apply = ("rules", "apply", str(self.rules), "--base", "4")
        self.assertEqual(3, (await self.run_command(*apply))[0])

    async def test_conflict_is_refused(self):
        conflict = refusal(409, "revision-conflict")
        self.first.script = {SHOW: [IN_FORCE], APPLY: [conflict]}
        code, out, _ = await self.run_command(
            "rules", "apply", str(self.rules), "--json"
        )
        self.assertEqual(1, code)
        self.assertEqual("revision-conflict", json.loads(out)["error"]["kind"])

    async def test_internal_error_of_a_change_is_unknown(self):
        self.first.script = {APPLY: [refusal(500, "internal")]}
        apply = ("rules", "apply", str(self.rules), "--base", "4")
        self.assertEqual(3, (await self.run_command(*apply))[0])

    async def test_body_too_large_is_refused(self):
        self.first.script = {APPLY: [(413, "Maximum request body size exceeded")]}
        apply = ("rules", "apply", str(self.rules), "--base", "4")
        code, _, err = await self.run_command(*apply)
        self.assertEqual(1, code)
        self.assertIn("refused (body-too-large)", err)

    async def test_no_quorum_not_run_is_refused(self):
        for fake in (self.first, self.second):
            fake.script = {APPLY: [refusal(503, "no-quorum", run="not-run")]}
        apply = ("rules", "apply", str(self.rules), "--base", "4")
        self.assertEqual(1, (await self.run_command(*apply))[0])

    async def test_invalid_file_is_not_sent(self):
        self.rules.write_text(SMALL.replace("limit = 40", "limit = many"))
        code, _, err = await self.run_command("rules", "apply", str(self.rules))
        self.assertEqual(2, code)
        self.assertIn("rules.ini: line 27: [rule press] limit = 'many'", err)
        self.assertEqual([], self.first.bodies)

    async def test_equal_document_is_not_sent(self):
        self.first.script = {SHOW: [IN_FORCE]}
        self.rules.write_text(SMALL)
        code, out, _ = await self.run_command("rules", "apply", str(self.rules))
        self.assertEqual((0, []), (code, self.first.bodies))
        self.assertIn("nothing to change: revision 4", out)

    async def test_check(self):
        code, out, _ = await self.run_command("rules", "check", str(self.rules))
        self.assertEqual(0, code)
        self.assertIn("2 organisations, 1 pipelines, 1 services, 3 rules", out)
        role = ("--role", "entry")
        code, _, err = await self.run_command("config", "check", "/no/x.ini", *role)
        self.assertEqual(2, code)
        self.assertIn("/no/x.ini", err)

    async def test_no_replica_listens(self):
        self.addresses = ["127.0.0.1:1"]
        code, _, err = await self.run_command("backends")
        self.assertEqual(1, code)
        self.assertIn("127.0.0.1:1", err)

    async def test_wrong_control_addresses(self):
        self.addresses = ["localhost:80"]
        code, _, err = await self.run_command("status")
        self.assertEqual(2, code)
        self.assertIn("'localhost:80'", err)

    async def test_drain_and_undo(self):
        self.first.script = {("POST", "/admin/drain"): [(200, {"revision": 4})]}
        await self.run_command("drain", "a1")
        await self.run_command("drain", "a1", "--undo")
        self.assertEqual(
            [True, False], [body["draining"] for body in self.first.bodies]
        )

    async def test_history_and_rollback(self):
        kept = {"revision": 3, "wall_ms": 0, "operator": "", "sections": ["rule a"]}
        self.first.script = {
            ("GET", "/admin/rules/history"): [(200, {"revisions": [kept]})],
            ("POST", "/admin/rules/rollback"): [(200, {"revision": 5})],
        }
        _, out, _ = await self.run_command("rules", "history")
        self.assertIn("3  1970-01-01 00:00:00  -         rule a", out)
        _, out, _ = await self.run_command("rules", "rollback", "3")
        self.assertIn("revision 5 accepted, as revision 3 was", out)

    def status_page(self, watchers):
        keys = ("term", "commit_index", "applied_index", "claims")
        page = dict.fromkeys(keys, 1) | {"node_id": "c1", "role": "leader"}
        return 200, page | {"revision": 5, "fresh": True, "watchers": watchers}

    async def test_status_shows_who_is_behind(self):
        watcher = {"node_id": "e1", "role": "entry", "applied_revision": 3}
        watcher["http_address"] = "127.0.0.1:9"
        self.first.script = {STATUS: [self.status_page([watcher])]}
        code, out, err = await self.run_command("status")
        self.assertEqual(0, code)
        self.assertIn("2 behind", out)
        self.assertIn(f"unreachable: answer 404 of {self.addresses[1]}", err)

    async def test_decisions_of_log_files(self):
        log = self.folder / "e1.log"
        record = {"time": "2026-01-01T00:00:01Z", "message": "i-7 is lost"}
        log.write_text(f"{json.dumps(record)}\nno log line\n")
        command = ("report", "decisions", str(log), "--every", "5")
        code, out, err = await self.run_command(*command)
        self.assertEqual(0, code)
        self.assertRegex(out, r"N is lost +1 +1")
        self.assertIn("1 lines are no log lines", err)
        code, out, _ = await self.run_command(*command, "--json")
        self.assertEqual(
            [{"kind": "N is lost", "counts": [1]}], json.loads(out)["rows"]
        )

    async def test_decisions_of_empty_and_missing_files(self):
        empty = self.folder / "empty.log"
        empty.write_text("")
        code, out, _ = await self.run_command("report", "decisions", str(empty))
        self.assertEqual((0, "no decisions"), (code, out.strip()))
        code, _, err = await self.run_command("report", "decisions", "/nowhere.log")
        self.assertEqual(2, code)
        self.assertIn("'/nowhere.log'", err)

    async def test_burn_is_merged_and_lists_missing_entries(self):
        recorder = BurnRecorder(clock=ManualClock())
        recorder.record_request("press", False)
        app = web.Application()
        app.add_routes(burn_routes(recorder))
        entry = TestServer(app, host="127.0.0.1")
        await entry.start_server()
        self.addCleanup(entry.close)
        names = {"node_id": "e", "role": "entry", "applied_revision": 5}
        addresses = [f"127.0.0.1:{entry.port}", "127.0.0.1:1"]
        page = self.status_page([names | {"http_address": at} for at in addresses])
        self.first.script = self.second.script = {STATUS: [page]}
        code, out, err = await self.run_command("report", "burn")
        self.assertEqual(0, code)
        self.assertIn("over 1 entries", out)
        self.assertRegex(out, r"press +success +99.9 % +1 +1 +1000.00")
        self.assertIn("partial: no answer from 127.0.0.1:1", err)
        picture = str(self.folder / "b.nonsense")
        burn = ("report", "burn", "--picture", picture)
        self.assertEqual(2, (await self.run_command(*burn))[0])
