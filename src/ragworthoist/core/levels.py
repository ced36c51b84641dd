"""Admission levels: what share of each kind a node can currently accept.

A level is a bound on the draw of a customer request. The node that sheds learns
the level, answers carry it back, and callers refuse requests above it at the
first hop, before any work has been done for them.
"""

from dataclasses import dataclass

from ragworthoist.core.entities import DRAW_RANGE

FULL_LEVEL = DRAW_RANGE
HOLD_SECONDS = 0.5
RECOVERY_PER_SECOND = 0.5 * FULL_LEVEL


def recover_level(level, age):
    """Return a level that was learned `age` seconds ago, as it counts now.

    It is held for a moment and then rises evenly, so that callers with few calls
    neither forget an overload at once nor refuse long after its end.
    """
    late = age - HOLD_SECONDS
    if late <= 0.0:
        return level
    return min(FULL_LEVEL, int(level + late * RECOVERY_PER_SECOND))


@dataclass(slots=True)
class _KindWindow:
    kind: str
    rank: int
    level: float = float(FULL_LEVEL)
    offered: int = 0
    shed: int = 0
    was_lowered: bool = False


class LevelTable:
    """Levels of the kinds offered to one node, adjusted in each window.

    The levels keep the ranks in order: while a kind of one rank is lowered, all
    kinds of lower ranks are at the least, and they rise only after it.
    """

    WINDOW_SECONDS = 0.2
    MIN_LEVEL = 0.01 * FULL_LEVEL
    RAISE_STEP = 0.04 * FULL_LEVEL
    IDLE_RAISE_STEP = 0.2 * FULL_LEVEL
    SHED_TOLERANCE = 0.05
    FULLNESS_TARGET = 0.5
    PRESSURE_GAIN = 0.3
    MAX_DECREASE_SHARE = 0.2

    def __init__(self):
        self._kinds = {}
        self._next_close = 0.0

    def record(self, kind, rank, shed):
        """Count one call that was offered, and whether it was shed."""
        window = self._kinds.get(kind)
        if window is None:
            window = self._kinds[kind] = _KindWindow(kind, rank)
        window.rank = rank
        window.offered += 1
        window.shed += shed

    def record_late_shed(self, kind):
        """Count the shedding of a call that `record` has counted as accepted."""
        window = self._kinds.get(kind)
        if window is not None:
            window.shed += 1

    def tick(self, now, fullness=0.0, longest_kind=None):
        """Close the window when it is over.

        Parameters
        ----------
        fullness : float
            Share of the queue that is taken.
        longest_kind : str, optional
            The kind that would be shed next. Its level falls as soon as the queue
            is more than half full, before calls have to be shed at all.
        """
        if now < self._next_close:
            return
        self._next_close = now + self.WINDOW_SECONDS
        urgent_first = sorted(self._kinds.values(), key=lambda window: window.rank)
        lowered_rank = None
        for window in urgent_first:
            if lowered_rank is not None and window.rank > lowered_rank:
                window.level = self.MIN_LEVEL
            else:
                is_next_to_shed = longest_kind == window.kind
                self._adjust(window, fullness if is_next_to_shed else 0.0, fullness)
                if window.level < FULL_LEVEL and lowered_rank is None:
                    lowered_rank = window.rank
            window.offered = window.shed = 0

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

    def _adjust(self, window, pressure, fullness):
        shed = window.shed / window.offered if window.offered else 0.0
        if shed <= self.SHED_TOLERANCE:
            shed = 0.0
        excess = max(shed, self.PRESSURE_GAIN * (pressure - self.FULLNESS_TARGET))
        if window.was_lowered:
            # Callers have only now begun to act on the lower level.
            window.was_lowered = False
        elif excess > 0.0:
            window.was_lowered = True
            window.level = max(
                self.MIN_LEVEL,
                window.level * (1.0 - min(excess, self.MAX_DECREASE_SHARE)),
            )
        elif window.level < FULL_LEVEL and fullness < self.FULLNESS_TARGET:
            step = self.IDLE_RAISE_STEP if fullness == 0.0 else self.RAISE_STEP
            window.level = min(float(FULL_LEVEL), window.level + step)


class EndpointLevels:
    """Levels that a caller has learned from answers, each held for a while."""

    def __init__(self):
        self._held = {}

    def update(self, endpoint, levels, now):
        """Remember `levels`, a {kind: level} of `endpoint`."""
        if not levels:
            self._held.pop(endpoint, None)
            return
        self._held[endpoint] = (now, levels)

    def level(self, endpoint, kind, now):
        """Return the level of `kind` at `endpoint`, full when none is held."""
        held = self._held.get(endpoint)
        if held is None:
            return FULL_LEVEL
        updated_at, levels = held
        level = levels.get(kind)
        if level is None:
            return FULL_LEVEL
        return recover_level(level, now - updated_at)

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
        self._levels.setdefault(kind, {})[service] = (now, level)

    def fold(self, own, now):
        """Return the levels in `own` lowered to those of downstream services."""
        folded = dict(own)
        for kind, services in list(self._levels.items()):
            for service, (updated_at, level) in list(services.items()):
                recovered = recover_level(level, now - updated_at)
                if recovered >= FULL_LEVEL:
                    del services[service]
                else:
                    folded[kind] = min(folded.get(kind, FULL_LEVEL), recovered)
            if not services:
                del self._levels[kind]
        return folded
