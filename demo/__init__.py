"""End-to-end demonstration: a small deployment on loopback under a checked load."""
