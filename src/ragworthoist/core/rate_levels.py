"""Levels of the kinds offered to a server that advertises a rate.

They tell callers which share of their requests fits, so that the others go to servers
with room, or are refused at the first hop, instead of travelling to a refusal. They are
kept apart from the levels of a server that is overloaded: this server is not, and its
queue and its failures say nothing about the rate.
"""

from dataclasses import dataclass

from ragworthoist.core.levels import FULL_LEVEL

WINDOW_SECONDS = 0.2
DEMAND_SMOOTHING = 0.15
MIN_LEVEL = 0.01 * FULL_LEVEL
# Demand below this many requests a second is taken for none.
NEGLIGIBLE_DEMAND = 0.01


@dataclass(slots=True)
class _KindDemand:
    """Requests of one kind; `demand` is the requests a second without any level."""

    rank: int
    weight: float
    demand: float = 0.0
    level: float = float(FULL_LEVEL)
    arrived: int = 0


class RateLevels:
    """Divides an advertised rate among kinds: strict ranks, shares within a rank."""

    def __init__(self):
        self._kinds = {}
        self._window_start = None

    def record(self, call):
        """Count one arrival of the kind of `call`, whether it is accepted or not."""
        kind = self._kinds.get(call.kind)
        if kind is None:
            kind = self._kinds[call.kind] = _KindDemand(call.rank, call.weight)
        kind.rank = call.rank
        kind.weight = call.weight
        kind.arrived += 1

    def tick(self, now, rate):
        """Adjust the levels to `rate`, in requests a second, once in each window.

        A `rate` of None accepts all kinds in full.
        """
        if self._window_start is None:
            self._window_start = now
        elapsed = now - self._window_start
        if elapsed < WINDOW_SECONDS:
            return
        self._window_start = now
        for kind in self._kinds.values():
            # Callers have held back the requests above the level.
            demand = kind.arrived / elapsed * FULL_LEVEL / kind.level
            kind.demand += DEMAND_SMOOTHING * (demand - kind.demand)
            kind.arrived = 0
            kind.level = float(FULL_LEVEL)
        if rate is not None:
            self._divide(rate)

    def lowered(self):
        """Return {kind: level} for the kinds that do not fit in full."""
        return {
            name: int(kind.level)
            for name, kind in self._kinds.items()
            if kind.level < FULL_LEVEL
        }

    def _divide(self, rate):
        wanting = [k for k in self._kinds.values() if k.demand > NEGLIGIBLE_DEMAND]
        for rank in sorted({kind.rank for kind in wanting}):
            in_rank = [kind for kind in wanting if kind.rank == rank]
            # Those that want least for their weight come first; what they leave of
            # their share goes to the others.
            in_rank.sort(key=lambda kind: kind.demand / kind.weight)
            weight = sum(kind.weight for kind in in_rank)
            for kind in in_rank:
                granted = min(kind.demand, rate * kind.weight / weight)
                weight -= kind.weight
                rate -= granted
                share = granted / kind.demand
                kind.level = max(MIN_LEVEL, min(1.0, share) * FULL_LEVEL)
