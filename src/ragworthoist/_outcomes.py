"""Counts of customer requests by kind, rank and outcome, for operators."""

from bisect import bisect_left
from dataclasses import dataclass, field

from ragworthoist.core.entities import Outcome

# Upper bounds of the latency buckets; one more bucket has no upper bound.
LATENCY_BOUNDS_SECONDS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)


def _zero_latency_counts():
    return [0] * (len(LATENCY_BOUNDS_SECONDS) + 1)


@dataclass(slots=True)
class KindOutcomes:
    """Outcomes of the requests of one kind and rank.

    Attributes
    ----------
    counts : dict
        Number of requests by (outcome, reason).
    latency_counts : list of int
        Number of completed requests in each latency bucket.
    total_seconds : float
        Sum of the latencies of completed requests.
    """

    counts: dict = field(default_factory=dict)
    latency_counts: list = field(default_factory=_zero_latency_counts)
    total_seconds: float = 0.0


class OutcomeTable:
    """Outcomes of customer requests that entered at this node."""

    def __init__(self):
        self._kinds = {}

    def record(self, kind, rank, answer, seconds):
        """Count one request that got `answer` after `seconds`."""
        entry = self._kinds.get((kind, rank))
        if entry is None:
            entry = self._kinds[kind, rank] = KindOutcomes()
        key = (answer.outcome, answer.reason)
        entry.counts[key] = entry.counts.get(key, 0) + 1
        if answer.outcome is Outcome.COMPLETED:
            entry.latency_counts[bisect_left(LATENCY_BOUNDS_SECONDS, seconds)] += 1
            entry.total_seconds += seconds

    def rows(self):
        """Yield (kind, rank, `KindOutcomes`), sorted by kind and rank."""
        for (kind, rank), entry in sorted(self._kinds.items()):
            yield kind, rank, entry


def collect_outcomes(table, name_rank, requests, latency):
    """Set metrics from an `OutcomeTable`.

    Parameters
    ----------
    table : OutcomeTable
        The outcomes.
    name_rank : callable
        Returns the label of a rank.
    requests : aioprometheus.Counter
        Set to the number of requests by kind, rank, outcome and reason.
    latency : aioprometheus.Counter
        Set to the cumulative number of completed requests by latency bound.
    """
    for kind, rank, entry in table.rows():
        labels = {"kind": kind, "rank": name_rank(rank)}
        for (outcome, reason), count in entry.counts.items():
            outcome_labels = labels | {"outcome": outcome.label, "reason": reason.value}
            requests.set(outcome_labels, count)
        total = 0
        bounds = [*map(str, LATENCY_BOUNDS_SECONDS), "+Inf"]
        for bound, count in zip(bounds, entry.latency_counts, strict=True):
            total += count
            latency.set(labels | {"le": bound}, total)
