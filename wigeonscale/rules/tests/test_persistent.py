import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonscale.rules.persistent import REMOVED, MapDraft, PersistentMap
from wigeonscale.testing import AsyncTestCase

KEYS = st.integers(0, 400).map(str) | st.text(max_size=2)
# More keys with the same CRC-32 than fit in a leaf, so that splitting by hash cannot
# separate them.
COLLIDING = ["".join(p) for p in itertools.product(("plumless", "buckeroo"), repeat=5)]


class PersistentMapTest(AsyncTestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.dictionaries(KEYS, st.integers()),
        st.lists(
            st.dictionaries(KEYS, st.none() | st.integers(), max_size=80), max_size=5
        ),
    )
    def test_same_as_dict(self, entries, steps):
        model = dict(entries)
        current = PersistentMap(entries=entries)
        for step in steps:
            before, before_model = current, dict(model)
            changes = {k: REMOVED if v is None else v for k, v in step.items()}
            current = current.updated(changes)
            for key, value in step.items():
                model.pop(key, None)
                if value is not None:
                    model[key] = value
            self.assertEqual(before_model, dict(before))
        self.assertEqual(model, dict(current))
        self.assertEqual(len(model), len(current))

    def test_colliding_hashes(self):
        names = [f"{number}" for number in range(50)]
        entries = dict.fromkeys([*COLLIDING, *names], 1)
        self.assertEqual(entries, dict(PersistentMap(entries=entries)))

    def test_draft(self):
        base = PersistentMap(entries={"a": 1, "b": 2})
        draft = MapDraft(base=base)
        draft["c"] = 3
        del draft["a"]
        self.assertNotIn("a", draft)
        self.assertRaises(KeyError, draft.__getitem__, "a")
        self.assertEqual({"b": 2, "c": 3}, dict(draft.freeze()))
        self.assertEqual({"a": 1, "b": 2}, dict(base))
