"""The command-line programs ``wigeond`` and ``wigeonctl``."""
