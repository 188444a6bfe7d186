"""Tests of the admin API over HTTP."""

import hashlib
import json
from unittest import mock

import aiohttp
from google.protobuf import json_format
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonscale.adapters.health import bound_address, start_http
from wigeonscale.control import Admin, admin
from wigeonscale.control.admin_requests import ApplyRequest
from wigeonscale.control.tests.support import ControlFixture
from wigeonscale.errors import ErrorKind
from wigeonscale.replication import Role
from wigeonscale.rules import diff_documents, editing, parse_document
from wigeonscale.state.tests.support import DOCUMENT
from wigeonscale.testing import AsyncTestCase

TOKEN = "secret"


class AdminTest(AsyncTestCase):
    token_digest = ""

    async def prepare(self):
        self.fixture = ControlFixture()
        self.addCleanup(self.fixture.hub.close)
        pages = Admin(
            node_id="c1",
            state=self.fixture.state,
            replica=self.fixture.replica,
            hub=self.fixture.hub,
            commands=self.fixture.commands,
            token_digest=self.token_digest,
        )
        runner = await start_http("127.0.0.1:0", pages.routes(), lambda: True)
        self.addCleanup(runner.cleanup)
        self.http = aiohttp.ClientSession(f"http://{bound_address(runner)}")
        self.addCleanup(self.http.close)

    async def get(self, page, **kwargs):
        async with self.http.get(f"/admin/{page}", **kwargs) as answer:
            return answer.status, await answer.json()

    async def post(self, page, **body):
        async with self.http.post(f"/admin/{page}", json=body) as answer:
            return answer.status, await answer.json()

    async def apply(self, document=DOCUMENT, *, base=0, operation="op"):
        return await self.post(
            "rules/apply",
            base_revision=base,
            operation_id=operation,
            document=document,
            operator="ann",
        )

    async def test_apply_show_history(self):
        self.assertEqual((200, 1), await self.status_and_revision(self.apply()))
        _, shown = await self.get("rules")
        self.assertEqual((1, DOCUMENT), (shown["revision"], shown["document"]))
        _, history = await self.get("rules/history")
        (revision,) = history["revisions"]
        self.assertEqual("ann", revision["operator"])
        self.assertEqual(["pipeline proof", "rule all"], revision["sections"])

    async def status_and_revision(self, asked):
        status, body = await asked
        return status, body["revision"]

    async def status_and_kind(self, asked):
        status, body = await asked
        return status, body["error"]["kind"]

    async def test_retried_apply_returns_first_result(self):
        first = await self.apply()
        await self.apply(DOCUMENT + "[service s]\n", base=1, operation="later")
        self.assertEqual(first, await self.apply())

    async def test_concurrent_operators_with_equal_ids_get_separate_results(self):
        self.assertEqual(200, (await self.apply())[0])
        status, body = await self.apply(DOCUMENT + "[service s]\n")
        self.assertEqual((409, "revision-conflict"), (status, body["error"]["kind"]))
        self.assertIn("revision 1", body["error"]["message"])

    async def test_command_size_depends_on_changed_sections(self):
        services = "".join(f"[service s{n}]\n" for n in range(500))
        await self.apply(DOCUMENT + services)
        await self.apply(DOCUMENT + services + "[service x]\n", base=1, operation="b")
        command = self.fixture.replica.proposed[-1]
        self.assertEqual(["service x"], [c.name for c in command.apply_config.changes])
        self.assertLess(command.ByteSize(), 200)

    async def test_only_changed_sections_are_parsed(self):
        services = "".join(f"[service s{n}]\n" for n in range(500))
        await self.apply(DOCUMENT + services)
        with mock.patch.object(
            editing, "parse_section", wraps=editing.parse_section
        ) as parse_section:
            added = self.apply(
                DOCUMENT + services + "[service x]\n", base=1, operation="b"
            )
            self.assertEqual((200, 2), await self.status_and_revision(added))
        # Parsed by the request handler; applying the command parses none again.
        self.assertEqual(1, parse_section.call_count)

    async def patch(self, old, new, *, operation="b", **changed):
        old, new = parse_document(old), parse_document(new)
        changes = [
            json_format.MessageToDict(change, preserving_proto_field_name=True)
            for change in diff_documents(old, new)
        ]
        body = {"base_revision": 1, "changes": changes, "digest": new.digest}
        body |= {"operation_id": operation, "operator": "ann"}
        return await self.post("rules/apply", **{**body, **changed})

    async def test_changes_and_document_yield_the_same_operation(self):
        new = DOCUMENT + "[service x]\n"
        await self.apply()
        for _ in range(2):
            asked = self.patch(DOCUMENT, new)
            self.assertEqual((200, 2), await self.status_and_revision(asked))
        asked = self.apply(new, base=1, operation="b")
        self.assertEqual((200, 2), await self.status_and_revision(asked))
        self.assertEqual(2, self.fixture.state.configuration.revision)
        late = self.patch(DOCUMENT, DOCUMENT + "[service y]\n", operation="c")
        self.assertEqual((409, "revision-conflict"), await self.status_and_kind(late))

    async def test_changes_with_wrong_digest_are_refused(self):
        await self.apply()
        new = DOCUMENT + "[service x]\n"
        wrong = self.patch(DOCUMENT, new, digest="0" * 64)
        self.assertEqual((422, "invalid-document"), await self.status_and_kind(wrong))
        for fields in ({"digest": ""}, {"document": new}, {"changes": []}):
            bad = self.patch(DOCUMENT, new, **fields)
            self.assertEqual((400, "bad-request"), await self.status_and_kind(bad))
        self.assertEqual(1, len(self.fixture.replica.proposed))

    async def test_unknown_base_revision_is_a_conflict(self):
        await self.apply()
        late = self.apply(DOCUMENT + "[service s]\n", base=7, operation="b")
        self.assertEqual((409, "revision-conflict"), await self.status_and_kind(late))

    async def test_invalid_documents_and_bodies_are_refused(self):
        bad = await self.status_and_kind(self.apply("[rule x]\nnonsense\n"))
        self.assertEqual((422, "invalid-document"), bad)
        for body in ({}, {"base_revision": -1}, {"base_revision": "0"}):
            refused = await self.status_and_kind(self.post("rules/apply", **body))
            self.assertEqual((400, "bad-request"), refused)
        self.assertEqual([], self.fixture.replica.proposed)

    async def test_long_documents_are_accepted_up_to_the_limit(self):
        long = DOCUMENT + "# comment\n" * 150_000
        self.assertEqual((200, 1), await self.status_and_revision(self.apply(long)))
        too_long = self.apply("#" * admin.BODY_LIMIT_BYTES, base=1, operation="b")
        refused = await self.status_and_kind(too_long)
        self.assertEqual((413, "body-too-large"), refused)

    async def test_rollback_creates_one_new_revision(self):
        await self.apply()
        await self.apply(DOCUMENT + "[service s]\n", base=1, operation="b")
        for _ in range(2):
            back = self.post("rules/rollback", revision=1, operation_id="c")
            self.assertEqual((200, 3), await self.status_and_revision(back))
        _, shown = await self.get("rules")
        self.assertEqual((3, DOCUMENT), (shown["revision"], shown["document"]))
        absent = self.post("rules/rollback", revision=9, operation_id="d")
        self.assertEqual((404, "not-found"), await self.status_and_kind(absent))

    async def test_drain(self):
        unknown = self.post("drain", agent_id="a", draining=True, operation_id="x")
        self.assertEqual((404, "not-found"), await self.status_and_kind(unknown))
        await self.fixture.announce("a")
        status, _ = await self.post(
            "drain", agent_id="a", draining=True, operation_id="y"
        )
        _, shown = await self.get("backends")
        (backend,) = shown["backends"]
        self.assertEqual((200, True), (status, backend["drained"]))

    async def test_follower_names_the_leader(self):
        self.fixture.replica.role = Role.FOLLOWER
        self.fixture.replica.leader_address = "10.0.0.9:7000"
        status, body = await self.apply()
        self.assertEqual((421, "not-leader"), (status, body["error"]["kind"]))
        self.assertIn("10.0.0.9:7000", body["error"]["message"])
        self.assertIn("retry_after", body["error"])

    async def test_stale_replica_serves_only_its_status(self):
        self.fixture.replica.stale_s = None
        for page in ("rules", "rules/history", "backends", "pipelines"):
            refused = await self.status_and_kind(self.get(page))
            self.assertEqual((503, ErrorKind.NO_QUORUM), refused)
        status, shown = await self.get("status")
        self.assertEqual((200, False), (status, shown["fresh"]))

    async def test_unexpected_failure_returns_an_error_response(self):
        self.fixture.hub.watchers.add(None)
        status, body = await self.get("status")
        self.fixture.hub.watchers.discard(None)
        error = body["error"]
        self.assertEqual(
            (500, "internal", "unknown"), (status, error["kind"], error["run"])
        )

    async def test_status_names_watchers(self):
        watcher = self.fixture.watcher("e7")
        watcher.applied_revision = 4
        _, shown = await self.get("status")
        (only,) = shown["watchers"]
        self.assertEqual(("e7", 4), (only["node_id"], only["applied_revision"]))

    async def test_pipelines_show_chains(self):
        await self.apply()
        _, shown = await self.get("pipelines")
        (only,) = shown["pipelines"]
        self.assertEqual(
            ("proof", 0, []), (only["name"], only["ready"], only["chains"])
        )


class TokenTest(AdminTest):
    token_digest = hashlib.sha256(TOKEN.encode()).hexdigest()

    async def prepare(self):
        await super().prepare()
        self.http.headers["Authorization"] = f"Bearer {TOKEN}"

    async def test_wrong_token_is_forbidden(self):
        for value in ("", "Bearer wrong", TOKEN + "x"):
            asked = self.get("rules", headers={"Authorization": value})
            self.assertEqual((403, "forbidden"), await self.status_and_kind(asked))


class BodyFuzzTest(AsyncTestCase):
    @settings(derandomize=True, deadline=None, database=None)
    @given(st.recursive(st.none() | st.booleans() | st.text(), st.lists))
    def test_any_json_is_accepted_or_refused(self, value):
        data = json.dumps({"base_revision": 1, "operation_id": value, "document": ""})
        try:
            body = ApplyRequest.model_validate_json(data)
        except ValueError:
            return
        self.assertEqual(value, body.operation_id)
