"""The programs ``wigeond`` and ``wigeonctl``."""
