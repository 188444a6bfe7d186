"""Tests of the components of the control daemon."""
