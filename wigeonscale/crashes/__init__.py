"""Requests under which backend servers crash: what is known of them."""

__all__ = ["request_fingerprint"]

from wigeonscale.crashes.fingerprint import request_fingerprint
