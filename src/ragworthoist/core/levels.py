"""Admission levels: what share of each kind a node can currently accept.

A level is a bound on the draw of a customer request. The node that sheds learns
the level, answers carry it back, and callers refuse requests above it at the
first hop, before any work has been done for them.
"""

from dataclasses import dataclass

from ragworthoist.core.entities import DRAW_RANGE

FULL_LEVEL = DRAW_RANGE
HOLD_SECONDS = 0.5


@dataclass(slots=True)
class _KindWindow:
    level: float = float(FULL_LEVEL)
    offered: int = 0
    shed: int = 0


class LevelTable:
    """Levels of the kinds offered to one node, adjusted in each window."""

    WINDOW_SECONDS = 0.1
    MIN_LEVEL = 0.01 * FULL_LEVEL
    RAISE = 0.04 * FULL_LEVEL
    RAISE_FACTOR = 1.08
    SHED_TOLERANCE = 0.05

    def __init__(self):
        self._kinds = {}
        self._next_close = 0.0

    def record(self, kind, shed):
        """Count one call that was offered, and whether it was shed."""
        window = self._kinds.get(kind)
        if window is None:
            window = self._kinds[kind] = _KindWindow()
        window.offered += 1
        window.shed += shed

    def record_late_shed(self, kind):
        """Count the shedding of a call that `record` has counted as accepted."""
        window = self._kinds.get(kind)
        if window is not None:
            window.shed += 1

    def tick(self, now):
        """Close the window when it is over."""
        if now < self._next_close:
            return
        self._next_close = now + self.WINDOW_SECONDS
        for window in self._kinds.values():
            self._adjust(window)

    def level(self, kind):
        """Return the level of `kind`, `FULL_LEVEL` when nothing is shed."""
        window = self._kinds.get(kind)
        return FULL_LEVEL if window is None else int(window.level)

    def lowered(self):
        """Return {kind: level} of the kinds that are not accepted in full."""
        return {
            kind: int(window.level)
            for kind, window in self._kinds.items()
            if window.level < FULL_LEVEL
        }

    def _adjust(self, window):
        shed = window.shed / window.offered if window.offered else 0.0
        if shed > self.SHED_TOLERANCE:
            window.level = max(self.MIN_LEVEL, window.level * (1.0 - shed))
        elif window.level < FULL_LEVEL:
            raised = max(window.level * self.RAISE_FACTOR, window.level + self.RAISE)
            window.level = min(float(FULL_LEVEL), raised)
        window.offered = window.shed = 0


class HeldLevels:
    """Levels that a caller has learned from answers, each held for a moment."""

    def __init__(self):
        self._held = {}

    def hold(self, endpoint, levels, now):
        """Remember `levels`, a {kind: level} of `endpoint`."""
        if not levels:
            self._held.pop(endpoint, None)
            return
        self._held[endpoint] = (now + HOLD_SECONDS, levels)

    def level(self, endpoint, kind, now):
        """Return the level of `kind` at `endpoint`, full when none is held."""
        held = self._held.get(endpoint)
        if held is None:
            return FULL_LEVEL
        expires, levels = held
        if now >= expires:
            del self._held[endpoint]
            return FULL_LEVEL
        return levels.get(kind, FULL_LEVEL)

    def forget(self, endpoint):
        """Drop what is held of `endpoint`."""
        self._held.pop(endpoint, None)


class DownstreamLevels:
    """The levels of the services that each kind goes on to.

    A node folds them into the levels it answers with, so that the first hop knows
    about shedding at the deepest.
    """

    def __init__(self):
        self._levels = {}

    def record(self, kind, service, level, now):
        """Remember the best `level` for `kind` among the endpoints of `service`."""
        if level >= FULL_LEVEL:
            self._levels.get(kind, {}).pop(service, None)
            return
        self._levels.setdefault(kind, {})[service] = (now + HOLD_SECONDS, level)

    def fold(self, own, now):
        """Return the levels in `own` lowered to those of downstream services."""
        folded = dict(own)
        for kind, services in list(self._levels.items()):
            for service, (expires, level) in list(services.items()):
                if now >= expires:
                    del services[service]
                else:
                    folded[kind] = min(folded.get(kind, FULL_LEVEL), level)
            if not services:
                del self._levels[kind]
        return folded
