"""Bounds on what a process holds, from its settings and the machine."""

import resource

from ragworthoist.core.connections import CLIENT_SHARE, ConnectionBudget
from ragworthoist.core.memory import HELD_SHARE, MemoryBudget

BYTES_PER_MB = 1024 * 1024


def make_memory_budget(limits):
    """Return the `MemoryBudget` of a process with the settings `limits`."""
    return MemoryBudget(limits.memory_mb * BYTES_PER_MB * HELD_SHARE)


def make_connection_budget(limits):
    """Return the `ConnectionBudget` of an entrance with the settings `limits`."""
    count, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limits.descriptors is not None:
        unlimited = count == resource.RLIM_INFINITY
        count = limits.descriptors if unlimited else min(count, limits.descriptors)
    if count == resource.RLIM_INFINITY:
        return ConnectionBudget()
    return ConnectionBudget(int(count * CLIENT_SHARE))
