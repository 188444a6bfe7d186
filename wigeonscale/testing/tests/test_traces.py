import copy
import pathlib
import tempfile

from wigeonscale.testing import AsyncTestCase
from wigeonscale.testing.traces import (
    layer_order_violations,
    read_trace,
    refused_but_ran,
    repeated_effects,
)

LAYERS = 4


def valid_records(sequence="d#1", tokens=3):
    """Return a run of two stages: a prefill of two positions, then single steps."""
    spans = [(0, 2)] + [(2 + n, 1) for n in range(tokens - 1)]
    records = []
    for position, count in spans:
        for layers in ([0, 1], [2, 3]):
            records.append(
                {
                    "sequence": sequence,
                    "epoch": 1,
                    "position": position,
                    "count": count,
                    "layers": layers,
                    "at_ns": len(records),
                }
            )
    return records


def violations_after(change):
    records = copy.deepcopy(valid_records())
    change(records)
    return [str(v) for v in layer_order_violations(records, layers=LAYERS)]


class LayerOrderTest(AsyncTestCase):
    def test_valid_runs_have_no_violations(self):
        # The first run ends after three records; the second one is complete.
        records = valid_records()[:3] + valid_records("d#2")
        found = layer_order_violations(records, layers=LAYERS, finished={"d": 4})
        self.assertEqual([], found)

    def test_each_fault_is_detected(self):
        def swap_times(records):
            for one, other in zip(records[2::2], records[3::2], strict=True):
                one["at_ns"], other["at_ns"] = other["at_ns"], one["at_ns"]

        faults = {
            "ran twice": lambda r: r.append(r[3] | {"at_ns": 99}),
            "before layer": lambda r: r.pop(2),
            "before position": lambda r: r.__delitem__(slice(2, 4)),
            "ran before layer 1": swap_times,
            "epochs [1, 2]": lambda r: r[4].update(epoch=2),
            "layer 4 of 4": lambda r: r[-1].update(layers=[2, 4]),
        }
        for text, fault in faults.items():
            self.assertTrue([p for p in violations_after(fault) if text in p], text)

    def test_missing_layer_of_complete_run_is_detected(self):
        found = layer_order_violations(
            valid_records()[:-1], layers=LAYERS, finished={"d": 4, "e": 1}
        )
        self.assertEqual(
            ["d#1: layer 2 ran 3 of 4 positions", "d#1: layer 3 ran 3 of 4 positions"],
            [str(v) for v in found[:2]],
        )
        self.assertEqual("e: never ran", str(found[2]))


class EffectsTest(AsyncTestCase):
    def test_repeated_effect_is_detected(self):
        records = [{"key": "a"}, {"key": "b"}, {"key": "a"}, {"key": ""}, {"key": ""}]
        self.assertEqual(["a: 2 effects"], [str(v) for v in repeated_effects(records)])

    def test_refused_request_that_ran_is_detected(self):
        found = refused_but_ran(
            ["d", "k", "x"], steps=valid_records(), effects=[{"key": "k"}]
        )
        self.assertEqual(["d", "k"], [v.sequence for v in found])

    def test_partial_last_line_is_skipped(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "trace")
            self.assertEqual([], read_trace(path))
            path.write_text('{"a": 1}\n{"a":')
            self.assertEqual([{"a": 1}], read_trace(path))
