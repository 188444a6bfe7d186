"""The daemons: wiring only."""
