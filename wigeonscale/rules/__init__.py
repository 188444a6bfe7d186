"""Ordered when-then rules: the document and its matching."""
