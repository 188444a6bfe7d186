"""Unit of the entries' shares of the retry budget."""

__all__ = ["ALL_SHARE_PARTS"]

# The shares of all entries together, in parts.
ALL_SHARE_PARTS = 1_000_000
