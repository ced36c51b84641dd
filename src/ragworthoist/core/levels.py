"""Admission levels: the share of each kind that a node can currently accept.

A level is a bound on the draw of customer requests: those with a draw below it are
accepted. The node that sheds sets the level, its answers carry it back, and callers
refuse all other requests at the first hop, before any work has been done for them.
"""

from dataclasses import dataclass

from ragworthoist.core.entities import DRAW_RANGE

FULL_LEVEL = DRAW_RANGE
HOLD_SECONDS = 0.5
RECOVERY_PER_SECOND = 0.5 * FULL_LEVEL


def recover_level(level, age):
    """Return the present value of a level that was received `age` seconds ago.

    The level is held for `HOLD_SECONDS` and then rises linearly, so that callers with
    few calls neither drop it at once nor refuse long after the overload has ended.
    """
    rising_seconds = age - HOLD_SECONDS
    if rising_seconds <= 0.0:
        return level
    return min(FULL_LEVEL, int(level + rising_seconds * RECOVERY_PER_SECOND))


@dataclass(slots=True)
class _KindWindow:
    kind: str
    rank: int
    level: float = float(FULL_LEVEL)
    offered: int = 0
    shed: int = 0
    was_lowered: bool = False


class LevelTable:
    """Levels of the kinds offered to one node, adjusted once per window.

    Parameters
    ----------
    follows_ranks : bool, optional
        Whether the levels follow the order of the ranks: while the level of one kind
        is lowered, all kinds of less urgent ranks are at `MIN_LEVEL`, and they rise
        only after it. Otherwise each kind has the level that its own calls need.
    """

    WINDOW_SECONDS = 0.2
    MIN_LEVEL = 0.01 * FULL_LEVEL
    RAISE_STEP = 0.04 * FULL_LEVEL
    IDLE_RAISE_STEP = 0.2 * FULL_LEVEL
    SHED_TOLERANCE = 0.05
    FULLNESS_TARGET = 0.5
    PRESSURE_GAIN = 0.3
    MAX_DECREASE_SHARE = 0.2

    def __init__(self, follows_ranks=True):
        self._follows_ranks = follows_ranks
        self._kinds = {}
        self._window_end = 0.0

    def record(self, kind, rank, shed):
        """Count one offered call, and whether it was shed."""
        window = self._kinds.get(kind)
        if window is None:
            window = self._kinds[kind] = _KindWindow(kind, rank)
        window.rank = rank
        window.offered += 1
        window.shed += shed

    def record_late_shed(self, kind):
        """Count the shedding of a call that `record` counted as accepted."""
        window = self._kinds.get(kind)
        if window is not None:
            window.shed += 1

    def tick(self, now, fullness=0.0, next_shed_kind=None):
        """Adjust the levels if the window has ended, and start the next one.

        Parameters
        ----------
        now : float
            Present time in seconds.
        fullness : float
            Share of the queue capacity in use.
        next_shed_kind : str, optional
            The kind whose calls would be shed next. Its level falls as soon as the
            queue is more than half full, before any call has to be shed.
        """
        if now < self._window_end:
            return
        self._window_end = now + self.WINDOW_SECONDS
        urgent_first = sorted(self._kinds.values(), key=lambda window: window.rank)
        lowered_rank = None
        for window in urgent_first:
            is_after_lowered = lowered_rank is not None and window.rank > lowered_rank
            if self._follows_ranks and is_after_lowered:
                window.level = self.MIN_LEVEL
            else:
                is_next_to_shed = next_shed_kind == window.kind
                self._adjust(window, fullness if is_next_to_shed else 0.0, fullness)
                if window.level < FULL_LEVEL and lowered_rank is None:
                    lowered_rank = window.rank
            window.offered = window.shed = 0

    def level(self, kind):
        """Return the level of `kind`, `FULL_LEVEL` if nothing is shed."""
        window = self._kinds.get(kind)
        return FULL_LEVEL if window is None else int(window.level)

    def lowered(self):
        """Return {kind: level} for the kinds that are not accepted in full."""
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
            # Callers have only just begun to apply the lower level: skip one window.
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
    """Levels of endpoints that a caller has received in answers."""

    def __init__(self):
        self._by_endpoint = {}

    def update(self, endpoint, levels, now):
        """Replace the levels of `endpoint` by `levels`, a {kind: level}."""
        if not levels:
            self._by_endpoint.pop(endpoint, None)
            return
        self._by_endpoint[endpoint] = (now, levels)

    def level(self, endpoint, kind, now):
        """Return the level of `kind` at `endpoint`, `FULL_LEVEL` if none is stored."""
        stored = self._by_endpoint.get(endpoint)
        if stored is None:
            return FULL_LEVEL
        updated_at, levels = stored
        level = levels.get(kind)
        if level is None:
            return FULL_LEVEL
        return recover_level(level, now - updated_at)

    def __len__(self):
        return len(self._by_endpoint)

    def forget(self, endpoint):
        """Delete the levels of `endpoint`."""
        self._by_endpoint.pop(endpoint, None)


class DownstreamLevels:
    """Levels of the services to which requests of each kind make onward calls.

    A node combines them with its own levels in its answers, so that the first hop
    receives the levels of the deepest one.
    """

    def __init__(self):
        self._levels = {}

    def record(self, kind, service, level, now):
        """Store `level`, the highest for `kind` among the endpoints of `service`."""
        if level >= FULL_LEVEL:
            self._levels.get(kind, {}).pop(service, None)
            return
        self._levels.setdefault(kind, {})[service] = (now, level)

    def fold(self, own, now):
        """Return the levels in `own`, lowered to those of the downstream services."""
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
