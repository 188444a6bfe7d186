from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonscale.replication.records import (
    HEADER_BYTES,
    decode_single,
    encode_record,
    scan_records,
)
from wigeonscale.testing import AsyncTestCase

FUZZ = settings(derandomize=True, database=None, max_examples=200, deadline=None)
PAYLOADS = (b"first", b"", b"third one")


class RecordsTest(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.data = b"".join(encode_record(payload) for payload in PAYLOADS)

    def test_torn_at_every_byte_of_the_last_record(self):
        last = len(self.data) - HEADER_BYTES - len(PAYLOADS[-1])
        for size in range(last + 1, len(self.data)):
            scan = scan_records(self.data[:size])
            self.assertEqual((PAYLOADS[:2], "torn"), (scan.payloads, scan.fault))
            self.assertEqual(last, scan.valid_bytes)

    def test_flipped_byte_is_corrupt_and_not_torn(self):
        for offset in range(len(self.data)):
            broken = bytearray(self.data)
            broken[offset] ^= 0x40
            scan = scan_records(bytes(broken))
            self.assertEqual("corrupt", scan.fault)
            self.assertEqual(PAYLOADS[: len(scan.payloads)], scan.payloads)
            self.assertTrue(scan.valid_bytes <= offset)

    def test_tail_of_zeros_is_torn(self):
        scan = scan_records(self.data + bytes(64))
        self.assertEqual((PAYLOADS, "torn"), (scan.payloads, scan.fault))

    @FUZZ
    @given(st.lists(st.binary(max_size=40)), st.binary(max_size=60))
    def test_complete_records_are_read_whatever_follows(self, payloads, tail):
        data = b"".join(encode_record(payload) for payload in payloads)
        scan = scan_records(data + tail)
        self.assertEqual(tuple(payloads), scan.payloads[: len(payloads)])
        self.assertTrue(scan.valid_bytes >= len(data))

    @FUZZ
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_decode_only_to_their_own_encoding(self, data):
        scan = scan_records(data)
        again = b"".join(encode_record(payload) for payload in scan.payloads)
        self.assertEqual(data[: scan.valid_bytes], again)
        single = decode_single(data)
        self.assertTrue(single is None or encode_record(single) == data)
