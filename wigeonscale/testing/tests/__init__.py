"""Tests of the test support."""
