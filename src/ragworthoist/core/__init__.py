"""Decisions as plain functions over tables of entities.

Nothing in this package reads a clock, opens a socket or draws its own random
numbers: the caller passes `now` in seconds of a monotonic clock and a
`random.Random`. The same code therefore runs in a node, in the bench and under
fuzzing with a virtual clock.
"""
