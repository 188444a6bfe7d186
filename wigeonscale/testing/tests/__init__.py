"""Tests of the test support package."""
