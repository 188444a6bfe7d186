import random
from collections import Counter
from dataclasses import replace

from wigeonscale.errors import ErrorKind, SettingsError, WigeonscaleError
from wigeonscale.routes import (
    CallerLimits,
    Organisation,
    Repeat,
    Route,
    Service,
    Share,
    build_table,
    choose_service,
    find_organisation,
    find_route,
)
from wigeonscale.testing import AsyncTestCase


def route(name="r", *, host="a.example", prefix="/x/", **fields):
    fields.setdefault("shares", (Share("s", 1.0),))
    return Route(
        name=name, host=host, prefix=prefix, repeat=Repeat.SAFE, timeout_s=1.0, **fields
    )


def table(*routes, organisations=None, services=("s",)):
    return build_table(
        number=1,
        routes=routes,
        services=[Service(name=name) for name in services],
        organisations=organisations,
        limits=CallerLimits(),
    )


class BuildTest(AsyncTestCase):
    def assert_refused(self, text, *routes, **fields):
        exc = self.assertRaises(SettingsError, table, *routes, **fields)
        self.assertEqual(ErrorKind.INVALID_DOCUMENT, exc.kind)
        self.assertIn(text, exc.message)

    def test_same_host_and_prefix_twice(self):
        self.assert_refused("a.example/x/", route("one"), route("two"))

    def test_same_prefix_at_another_host(self):
        built = table(route("one"), route("two", host="b.example"))
        self.assertEqual("two", find_route(built, "b.example", "/x/").name)

    def test_unknown_service(self):
        self.assert_refused("'t'", route(shares=(Share("t", 1.0),)))

    def test_sum_of_weights_is_zero(self):
        self.assert_refused("sum of its weights", route(shares=(Share("s", 0.0),)))
        self.assert_refused("sum of its weights", route(shares=()))

    def test_no_timeout(self):
        self.assert_refused("timeout", replace(route(), timeout_s=0.0))

    def test_shared_key(self):
        one = Organisation(name="one", keys=("k",))
        two = Organisation(name="two", keys=("j", "k"))
        self.assert_refused("share a key", organisations=[one, two])

    def test_key_twice_at_one_organisation(self):
        built = table(organisations=[Organisation(name="one", keys=("k", "k"))])
        self.assertEqual("one", built.organisations["k"].name)

    def test_service_twice(self):
        self.assert_refused("is defined twice", services=("s", "s"))


class MatchingTest(AsyncTestCase):
    def name_at(self, path, host="a.example"):
        built = table(route("short"), route("long", prefix="/x/y/"))
        return find_route(built, host, path).name

    def test_longest_prefix(self):
        self.assertEqual("long", self.name_at("/x/y/z"))
        self.assertEqual("short", self.name_at("/x/yz"))
        self.assertEqual("long", self.name_at("/x/y/"))

    def test_query_is_ignored(self):
        self.assertEqual("short", self.name_at("/x/q?a=/x/y/"))

    def test_host_in_any_case_and_with_a_port(self):
        self.assertEqual("short", self.name_at("/x/", "A.Example:80"))

    def test_root(self):
        built = table(route("root", prefix="/"))
        self.assertEqual("root", find_route(built, "a.example", "/any").name)

    def test_no_match(self):
        for path in ("/", "/x", "/other/", "", "*"):
            exc = self.assertRaises(WigeonscaleError, self.name_at, path)
            self.assertEqual(ErrorKind.NO_MATCHING_RULE, exc.kind)

    def test_shares_by_weight(self):
        split = route(shares=(Share("s", 9.0), Share("t", 1.0), Share("u", 0.0)))
        rng = random.Random(1)
        counts = Counter(choose_service(split, rng) for _ in range(1000))
        self.assertEqual({"s", "t"}, set(counts))
        self.assertTrue(50 < counts["t"] < 200, counts)


class OrganisationTest(AsyncTestCase):
    def test_needed_unless_public(self):
        built = table(organisations=[Organisation(name="one", keys=("k",))])
        self.assertEqual("one", find_organisation(built, route(), "k").name)
        exc = self.assertRaises(
            WigeonscaleError, find_organisation, built, route(), "secret"
        )
        self.assertEqual(ErrorKind.UNKNOWN_KEY, exc.kind)
        self.assertNotIn("secret", exc.message)
        self.assertIsNone(find_organisation(built, route(public=True), ""))

    def test_last_key_revoked(self):
        built = table(organisations=[])
        exc = self.assertRaises(
            WigeonscaleError, find_organisation, built, route(), "k"
        )
        self.assertEqual(ErrorKind.UNKNOWN_KEY, exc.kind)

    def test_no_organisations_at_all(self):
        self.assertIsNone(find_organisation(table(), route(), ""))
