"""The demonstration: a small deployment on loopback, used and checked."""
