"""Decision logic of a node, as plain functions over tables of entities.

Nothing in this package reads a clock, opens a socket or creates a random generator:
the caller passes `now`, in seconds of a monotonic clock, and a `random.Random`. The
same code therefore runs in a node, in the benchmarks and under fuzzing with a virtual
clock.
"""
