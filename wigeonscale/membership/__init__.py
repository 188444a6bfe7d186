"""Watching control: configuration, members, lease and commands."""
