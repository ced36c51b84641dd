"""Bounds on what a process holds, from its settings and the machine."""

from ragworthoist.core.memory import HELD_SHARE, MemoryBudget

BYTES_PER_MB = 1024 * 1024


def make_memory_budget(limits):
    """Return the `MemoryBudget` of a process with the settings `limits`."""
    return MemoryBudget(limits.memory_mb * BYTES_PER_MB * HELD_SHARE)
