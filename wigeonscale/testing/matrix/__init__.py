"""The fault matrix: every fault at every step, on processes and in one process."""
