"""Adapter to the platform: its HTTP headers, documents, paths and calls.

This package parses input from the platform into the types of :mod:`wigeonscale.ports`
and :mod:`wigeonscale.routes`. No other package depends on a header, field or path of
the platform, and this package makes no routing decisions.
"""
