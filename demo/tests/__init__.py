"""Tests of the demonstration."""
