import contextlib

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.rules import (
    InvalidDocument,
    RequestFacts,
    Ruleset,
    parse_document,
    patch_document,
)
from wigeonscale.rules.tests.samples import SMALL
from wigeonscale.testing import AsyncTestCase
from wigeonscale.wire import wire_pb2

ORGANISATIONS = ("press", "solo")
MODELS = ("proof-1", "m2")
PATHS = ("/", "/v1", "/v1/", "/v1/chat", "/v1/chat/completions", "/notes//a", "/vx")
PREFIXES = ("/", "/v1", "/v1/", "/v1/chat/", "/notes/")
VALUES = ("a", "b c", "and")
BASE = "".join(f"[organisation {name}]\n" for name in ORGANISATIONS)


def one_of(field, values):
    """Return a strategy for terms that compare a field with one or more values."""
    quoted = [f'"{value}"' for value in values]
    singles = [f"{field} is {value}" for value in quoted]
    return st.sampled_from([*singles, f"{field} in {', '.join(quoted)}"])


TERM = st.one_of(
    one_of("organisation", ORGANISATIONS),
    one_of("model", MODELS),
    one_of("path", PATHS),
    st.sampled_from(PREFIXES).map("path under {}".format),
    one_of("method", ("get", "POST")),
    one_of("header X-Team", VALUES),
    st.sampled_from(["stream is yes", "stream is no"]),
    st.sampled_from(["priority above 2", "priority is 2", "prompt_bytes below 50"]),
)
WHEN = st.lists(
    st.tuples(st.sampled_from(["", "not "]), TERM).map("".join), min_size=1, max_size=3
).map(" and ".join)
FACTS = st.builds(
    RequestFacts,
    organisation=st.sampled_from(ORGANISATIONS),
    method=st.sampled_from(["GET", "POST"]),
    path=st.sampled_from(PATHS),
    model=st.sampled_from(["", *MODELS]),
    stream=st.booleans(),
    priority=st.integers(0, 4),
    prompt_bytes=st.sampled_from([0, 49, 50]),
    headers=st.sampled_from([{}, *({"x-team": value} for value in VALUES)]),
)


def linear_scan(doc, facts):
    """Return the name of the first matching rule by evaluating all rules in order."""
    for rule in doc.rules:
        if all(test(facts) for test in rule.tests):
            return rule.name
    return None


def decided(doc, facts):
    try:
        return Ruleset.from_document(doc).decide(facts).rule
    except WigeonscaleError as exc:
        assert exc.kind is ErrorKind.NO_MATCHING_RULE
        return None


def change_of(kind, names, bodies, afters):
    """Return a strategy for changes to sections of one kind."""

    def build(name, body, after):
        section = f"{kind} {name}"
        if body is None:
            return wire_pb2.SectionChange(name=section, removed=True)
        text = f"[{section}]\n{body}\n"
        return wire_pb2.SectionChange(name=section, text=text, after=after)

    options = (names, [None, *bodies], afters)
    return st.builds(build, *(st.sampled_from(option) for option in options))


AFTERS = ("", "organisation press", "rule a", "rule b", "rule c")
BODIES = [
    f"when = {when}\nthen = refuse because x"
    for when in (
        "always",
        "organisation is solo",
        "model in proof-1, m2",
        "path is /v1",
    )
    + ("organisation in solo, press and not path under /notes/", "header x-team is a")
]
CHANGE = change_of("rule", ("a", "b", "c", "d"), BODIES, AFTERS) | change_of(
    "organisation", ORGANISATIONS, ("", "keys = k1", "keys = k1, k2"), AFTERS
)


class PatchedTest(AsyncTestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.lists(CHANGE, max_size=14), st.lists(FACTS, min_size=1, max_size=4))
    def test_patches_lead_where_parsing_leads(self, changes, requests):
        doc = parse_document(BASE)
        for change in changes:
            with contextlib.suppress(InvalidDocument):
                doc = patch_document(doc, [change])
        self.assertEqual(parse_document(doc.text).digest, doc.digest)
        for facts in requests:
            self.assertEqual(linear_scan(doc, facts), decided(doc, facts))

    def test_removing_one_of_several_rules_with_one_key(self):
        text = BASE
        for name in ("a", "b", "c"):
            when = f"organisation is solo and not path is /{name}"
            text += f"[rule {name}]\nwhen = {when}\nthen = refuse because x\n"
        doc = parse_document(text)
        removal = wire_pb2.SectionChange(name="rule a", removed=True)
        doc = patch_document(doc, [removal])
        for path, rule in (("/a", "b"), ("/b", "c"), ("/c", "b")):
            facts = RequestFacts(organisation="solo", method="GET", path=path)
            self.assertEqual(rule, decided(doc, facts))


class DecideTest(AsyncTestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.lists(WHEN, max_size=12), st.lists(FACTS, min_size=1, max_size=6))
    def test_same_as_linear_scan(self, whens, requests):
        text = BASE
        # Equal conditions are refused, so each condition stands once.
        unique = {" and ".join(sorted(when.split(" and "))): when for when in whens}
        for number, when in enumerate(unique.values()):
            text += f"[rule r{number}]\nwhen = {when}\nthen = refuse because x\n"
        try:
            doc = parse_document(text)
        except WigeonscaleError as exc:
            self.assertIn("does not always meet", exc.message)
            return
        for facts in requests:
            self.assertEqual(linear_scan(doc, facts), decided(doc, facts))

    def test_first_match_decides(self):
        doc = parse_document(SMALL)
        facts = RequestFacts(organisation="press", method="POST", path="/notes/1")
        self.assertEqual("notes", decided(doc, facts))
        facts = RequestFacts(organisation="press", method="POST", path="/v1/x")
        self.assertEqual("press", decided(doc, facts))
        facts = RequestFacts(organisation="solo", method="POST", path="/notes/1")
        self.assertEqual("rest", decided(doc, facts))

    def test_terms(self):
        facts = RequestFacts(
            organisation="press",
            method="GET",
            path="/v1/chat",
            priority=3,
            headers={"x-team": "b c"},
        )
        for when, holds in (
            ("path under /v1", True),
            ("path under /v1/chat/", True),
            ("path under /v", False),
            ("method in post, get", True),
            ('header X-Team is "b c"', True),
            ("not header x-team in a, b", True),
            ("header x-other is a", False),
            ("priority above 3", False),
            ("not priority below 3 and stream is no", True),
        ):
            rule = f"[rule r]\nwhen = {when}\nthen = refuse because x\n"
            expected = "r" if holds else None
            self.assertEqual(
                expected, decided(parse_document(BASE + rule), facts), when
            )

    def test_no_match(self):
        rules = Ruleset.from_document(parse_document(BASE))
        facts = RequestFacts(organisation="solo", method="GET", path="/x")
        exc = self.assertRaises(WigeonscaleError, rules.decide, facts)
        self.assertEqual(ErrorKind.NO_MATCHING_RULE, exc.kind)

    def test_organisation_for_key(self):
        rules = Ruleset.from_document(parse_document(SMALL))
        self.assertEqual("press", rules.organisation_for_key("press-key").name)
        self.assertIsNone(rules.organisation_for_key("ab" * 32))
        self.assertIsNone(rules.organisation_for_key("\ud800"))

    def test_rules_of_other_organisations_are_not_evaluated(self):
        evaluated = []
        doc = parse_document(SMALL)
        for rule in doc.rules:
            seen = tuple(
                lambda facts, name=rule.name, test=test: (
                    evaluated.append(name) or test(facts)
                )
                for test in rule.tests
            )
            object.__setattr__(rule, "tests", seen)
        facts = RequestFacts(organisation="solo", method="GET", path="/notes/1")
        self.assertEqual("rest", decided(doc, facts))
        self.assertEqual([], evaluated)
