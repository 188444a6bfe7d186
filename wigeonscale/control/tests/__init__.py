"""Tests of the control daemon's parts."""
