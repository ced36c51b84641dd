"""Decision logic of a node: tables in memory, and the rules that change them.

Nothing in this package reads a clock, opens a socket or creates a random generator:
the caller passes `now`, in seconds of a monotonic clock unless stated otherwise, and a
`random.Random`. The same code therefore runs in a node, in the benchmarks and under
fuzzing with a virtual clock.
"""
