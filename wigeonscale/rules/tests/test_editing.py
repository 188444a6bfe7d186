import asyncio
import random
import sys

from hypothesis import given, settings
from hypothesis import strategies as st
from testscenarios import WithScenarios

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.rules import (
    EMPTY_DOCUMENT,
    InvalidDocument,
    diff_documents,
    parse_document,
    patch_document,
    shadowed_rules,
)
from wigeonscale.rules.tests.samples import SMALL
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2


class ParseTest(AsyncTestCase):
    def test_sections_become_objects(self):
        doc = parse_document(SMALL)
        self.assertEqual(SMALL, doc.text)
        self.assertEqual(["proof"], list(doc.pipelines))
        self.assertEqual(5.0, doc.services["assign"].timeout_s)
        self.assertEqual(3.0, doc.organisations["press"].share)
        self.assertEqual(["notes", "press", "rest"], [rule.name for rule in doc.rules])

    def test_rule_keys(self):
        notes, press, rest = (rule.decision for rule in parse_document(SMALL).rules)
        self.assertTrue(notes.once)
        self.assertEqual((90.0, 5, 40), (press.deadline_s, press.priority, press.limit))
        self.assertEqual(("no contract", None), (rest.reason, rest.priority))

    def test_digest_depends_on_text_and_order_only(self):
        doc = parse_document(SMALL)
        again = parse_document(SMALL, base=parse_document(SMALL.replace("5s", "6s")))
        self.assertEqual(doc.digest, again.digest)
        moved = SMALL.replace("[organisation solo]\n\n", "") + "[organisation solo]\n"
        self.assertNotEqual(doc.digest, parse_document(moved).digest)
        self.assertEqual("0" * 64, EMPTY_DOCUMENT.digest)

    def test_empty(self):
        self.assertEqual((), parse_document("").rules)

    def test_all_problems_are_reported_without_consequential_ones(self):
        text = SMALL.replace("layers = 12", "layers = x").replace("90s", "soon")
        exc = self.assertRaises(InvalidDocument, parse_document, text)
        found = [(item.section, item.key, item.line) for item in exc.problems]
        self.assertEqual(
            [("pipeline proof", "layers", 4), ("rule press", "deadline", 25)], found
        )

    def test_shadowed_rules_are_found(self):
        narrow = "[rule late]\nwhen = organisation is press and model is proof-1\n"
        text = SMALL.replace(
            "[rule rest]", narrow + "then = refuse because x\n[rule rest]"
        )
        self.assertEqual(
            [("late", "press")], list(shadowed_rules(parse_document(text)))
        )


def invalid_variant(old, new, section, key, line, allowed):
    """Return a scenario: an invalid variant of SMALL and the expected problem."""
    assert old in SMALL
    named = (section, key, line)
    return f"{section} {key} {new!r}", {
        "text": SMALL.replace(old, new, 1),
        "named": named,
        "allowed": allowed,
    }


class InvalidDocumentTest(WithScenarios, AsyncTestCase):
    scenarios = [
        invalid_variant(
            "pipeline proof\nd", "pipeline x\nd", "rule press", "then", 24, "pipeline"
        ),
        invalid_variant(
            "service assign\nr", "service x\nr", "rule notes", "then", 18, "service"
        ),
        invalid_variant(
            "is press and", "is x and", "rule notes", "when", 17, "[organisation"
        ),
        invalid_variant(
            "solo]", "solo]\nkeys = press-key", "organisation solo", "keys", 15, "once"
        ),
        invalid_variant("solo]", "press]", "organisation press", "", 14, "line 10"),
        invalid_variant(
            "solo]", "solo]\nkeys = sha256:x", "organisation solo", "keys", 15, "DIGEST"
        ),
        invalid_variant(
            "solo]", "solo]\nshare = nan", "organisation solo", "share", 15, "0.01"
        ),
        invalid_variant(
            "solo]", "so lo]", "organisation so lo", "", 14, "[organisation NAME]"
        ),
        invalid_variant(
            "[service", "[servce", "servce assign", "", 7, "[service NAME]"
        ),
        invalid_variant(
            "replicas = 2", "stages = 13", "pipeline proof", "stages", 5, "12"
        ),
        invalid_variant(
            "replicas = 2", "replica = 2", "pipeline proof", "replica", 5, "replicas"
        ),
        invalid_variant(
            "replicas = 2", "layers = 2", "pipeline proof", "layers", 5, "once"
        ),
        invalid_variant(
            "replicas = 2", "replicas", "pipeline proof", "", 5, "KEY = VALUE"
        ),
        invalid_variant(
            "# The", "x = 1\n# The", "pipeline proof", "", 1, "[service NAME]"
        ),
        invalid_variant("layers = 12\n", "", "pipeline proof", "layers", 2, "missing"),
        invalid_variant(
            "limit = 40", "attempts = 0", "rule press", "attempts", 27, "1 to 10"
        ),
        invalid_variant("90s", "90", "rule press", "deadline", 25, "2m"),
        invalid_variant(
            "priority = 5", "priority = 101", "rule press", "priority", 26, "100"
        ),
        invalid_variant(
            "never", "Never", "rule notes", "repeat", 19, "never or allowed"
        ),
        invalid_variant(
            "route pipeline", "send", "rule press", "then", 24, "route pipeline NAME"
        ),
        invalid_variant(
            "= always", "= sometimes", "rule rest", "when", 30, "always, or terms"
        ),
        invalid_variant(
            "= always", "= organisation is press", "rule rest", "when", 30, "rule press"
        ),
        invalid_variant(
            "= organisation is press\n", "= always\n", "rule rest", "when", 30, "press"
        ),
    ]

    def test_is_rejected_with_its_location(self):
        exc = self.assertRaises(InvalidDocument, parse_document, self.text)
        self.assertEqual(ErrorKind.INVALID_DOCUMENT, exc.kind)
        found = {(item.section, item.key, item.line): item for item in exc.problems}
        self.assertIn(self.named, found)
        self.assertIn(self.allowed, found[self.named].allowed)
        self.assertIn(f"line {self.named[2]}: [{self.named[0]}]", exc.message)


def change(name, text="", after="", removed=False):
    return wire_pb2.SectionChange(name=name, text=text, after=after, removed=removed)


def always_rule(name, reason="x"):
    """Return a rule whose condition differs from that of rules with other names."""
    when = f"when = path is /{name}\n"
    return f"[rule {name}]\n{when}then = refuse because {reason}\n"


class PatchTest(AsyncTestCase):
    def test_old_document_is_not_modified(self):
        old = parse_document(SMALL)
        text = "[organisation solo]\nkeys = solo-key\n"
        new = patch_document(
            old, [change("organisation solo", text, "organisation press")]
        )
        self.assertEqual((), old.organisations["solo"].key_digests)
        self.assertEqual(1, len(new.organisations["solo"].key_digests))
        self.assertEqual(parse_document(new.text).digest, new.digest)

    def test_invalid_changes_are_rejected(self):
        doc = parse_document(SMALL)
        solo = "[organisation solo]\n"
        for invalid_change in (
            change("pipeline proof", removed=True),
            change("rule none", removed=True),
            change("", removed=True),
            change("organisation solo", solo, after="rule none"),
            change("organisation solo", solo, after="organisation solo"),
            change("organisation solo", "[organisation other]\n"),
            change("organisation solo", solo + "[organisation two]\n"),
            change("organisation solo", solo + "keys = press-key\n"),
            change("rule rest", "[rule rest]\nwhen = always\nthen = refuse because x"),
            change("rule new", always_rule("new"), after="rule rest"),
        ):
            self.assertRaises(InvalidDocument, patch_document, doc, [invalid_change])

    def test_key_moves_between_organisations_in_one_patch(self):
        doc = parse_document(SMALL)
        changes = [
            change("organisation solo", "[organisation solo]\nkeys = press-key\n"),
            change("organisation press", "[organisation press]\nkeys = other\n"),
        ]
        self.assertEqual(2, len(patch_document(doc, changes).organisations))

    def test_many_insertions_at_one_position_keep_order(self):
        text = always_rule("first") + always_rule("last")
        doc = parse_document(text)
        for number in range(300):
            name = f"r{number}"
            changes = [change(f"rule {name}", always_rule(name), "rule first")]
            doc = patch_document(doc, changes)
        names = [rule.name for rule in doc.rules]
        expected = [f"r{number}" for number in reversed(range(300))]
        self.assertEqual(["first", *expected, "last"], names)
        for entries in doc.tables.candidates.values():
            for label, rule in entries:
                self.assertEqual(doc.tables.sections[f"rule {rule.name}"].label, label)

    def test_random_edits_equal_parsing(self):
        rng = random.Random(4)
        old = EMPTY_DOCUMENT
        names: list[str] = []
        for _ in range(150):
            names = self._randomly_edited(rng, names)
            text = "".join(
                always_rule(name, rng.choice(["x", "x", "x", "y"])) for name in names
            )
            new = parse_document(text)
            patched = patch_document(old, diff_documents(old, new))
            self.assertEqual((text, new.digest), (patched.text, patched.digest))
            based = parse_document(text, base=old)
            self.assertEqual((text, new.digest), (based.text, based.digest))
            old = patched

    def _randomly_edited(self, rng, names):
        names = [name for name in names if rng.random() > 0.1]
        for _ in range(rng.randrange(4)):
            name = f"r{rng.randrange(10**6)}"
            names.insert(rng.randrange(len(names) + 1), name)
        if names and rng.random() < 0.5:
            moved = names.pop(rng.randrange(len(names)))
            names.insert(rng.randrange(len(names) + 1), moved)
        return names

    def test_unchanged_sections_are_not_sent(self):
        old = parse_document(SMALL)
        new = parse_document(SMALL.replace("limit = 40", "limit = 41"))
        names = [item.name for item in diff_documents(old, new)]
        self.assertEqual(["rule press"], names)


PIECES = st.sampled_from(
    [*SMALL.splitlines(keepends=True), "[rule x]\n", " [a]\n", "when = not", "=", "\n"]
    + [
        " and ",
        '"',
        "\\",
        ",",
        "\0",
        "\ud800",
        "9" * 5000,
        "[",
        "]",
        "header ",
        "then=",
    ]
)


class ThreadsTest(AsyncTestCase):
    async def test_documents_can_be_parsed_in_several_threads(self):
        interval = sys.getswitchinterval()
        self.addCleanup(sys.setswitchinterval, interval)
        sys.setswitchinterval(1e-6)
        texts = [SMALL, SMALL.replace("press", "group").replace("40", "7")] * 20
        docs = await asyncio.gather(
            *(asyncio.to_thread(parse_document, text) for text in texts)
        )
        self.assertEqual(texts, [doc.text for doc in docs])


class FuzzTest(AsyncTestCase):
    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.lists(PIECES | st.text(max_size=8), max_size=12))
    def test_any_text_is_accepted_whole_or_refused(self, pieces):
        text = "".join(pieces)
        try:
            doc = parse_document(text)
        except WigeonscaleError as exc:
            self.assertEqual(ErrorKind.INVALID_DOCUMENT, exc.kind)
            return
        self.assertEqual(doc.digest, parse_document(doc.text).digest)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.lists(
            st.builds(
                wire_pb2.SectionChange,
                name=st.sampled_from(["", "rule press", "pipeline proof", "x y"]),
                text=st.sampled_from(["", always_rule("press"), SMALL, "[x y]"]),
                after=st.sampled_from(["", "rule press", "rule rest", "z"]),
                removed=st.booleans(),
            ),
            max_size=4,
        )
    )
    def test_any_change_is_accepted_whole_or_refused(self, changes):
        old = parse_document(SMALL)
        try:
            new = patch_document(old, changes)
        except InvalidDocument:
            return
        self.assertEqual(new.digest, parse_document(new.text).digest)
