"""Choice of an endpoint by what a call there is expected to cost.

A cost of 1 stands for an answer that is as late as the route's aim. Latency counts
by its square: well within the aim it matters little, near it everything. To this come
the load that the endpoint's answers report, its share of failures, and a charge for
leaving the own failure domain that grows with the learned size of the answers.
"""

from dataclasses import dataclass, field

from ragworthoist.core.routing import EndpointState, Router

LATENCY_SMOOTHING = 0.1
FAILURE_SMOOTHING = 0.1
STATISTICS_EXPIRY_SECONDS = 3.0
OTHER_DOMAIN_COST = 0.1
# Bytes between failure domains are paid for; an answer of 5 KB then weighs as much as
# a latency of six tenths of the aim.
OTHER_DOMAIN_COST_PER_KB = 0.06
LATE_COST = 2.0
OTHER_REGION_COST = 2.0
FAILURE_COST = 3.0
LOAD_KNEE = 0.8
LOAD_COST = 4.0
OWN_SERVER_BONUS = 0.05
TIE_SPREAD = 0.05
REFUSED_COST = 1.0
REFUSED_SECONDS = 0.3


@dataclass(slots=True)
class EndpointStatistics(EndpointState):
    """What a caller has learned of one endpoint from its own calls."""

    latencies: dict = field(default_factory=dict)
    failure_share: float = 0.0
    load: float = 0.0
    updated_at: float = 0.0


class Placement(Router):
    """Endpoint choice of one node, by expected cost."""

    def __init__(self, node, random):
        super().__init__(node, random)
        self._answer_kilobytes = {}

    def state(self, endpoint):
        """Return the `Experience` with the instance id `endpoint`."""
        found = self._states.get(endpoint)
        if found is None:
            found = self._states[endpoint] = EndpointStatistics()
        return found

    def choose(self, candidates, kind, latency_target, now):
        """Return the cheapest of `candidates` for a call of `kind`."""
        if len(candidates) == 1:
            return candidates[0]
        distance = OTHER_DOMAIN_COST
        distance += OTHER_DOMAIN_COST_PER_KB * self._answer_kilobytes.get(kind, 0.0)
        return min(
            candidates,
            key=lambda m: self._expected_cost(m, kind, latency_target, distance, now),
        )

    def record_size(self, kind, size):
        """Learn the size in bytes of an answer to a call of `kind`."""
        known = self._answer_kilobytes.get(kind)
        found = size / 1024
        if known is not None:
            found = known + LATENCY_SMOOTHING * (found - known)
        self._answer_kilobytes[kind] = found

    def record_answer(self, endpoint, kind, seconds, load, failed, now):
        """Learn from one call that the endpoint ran."""
        state = self.state(endpoint)
        known = state.latencies.get(kind)
        if not failed:
            state.latencies[kind] = (
                seconds
                if known is None
                else known + LATENCY_SMOOTHING * (seconds - known)
            )
        state.failure_share += FAILURE_SMOOTHING * (failed - state.failure_share)
        state.load = load
        state.updated_at = now

    def record_load(self, endpoint, load, now):
        """Learn the load that a refusal reports."""
        state = self.state(endpoint)
        state.load = load
        state.updated_at = now

    def _expected_cost(self, member, kind, latency_target, distance, now):
        state = self.state(member.instance)
        age = now - state.updated_at
        # What was learned long ago counts less, so that an endpoint that was slow
        # is tried again.
        confidence = (
            max(0.0, 1.0 - age / STATISTICS_EXPIRY_SECONDS) if state.updated_at else 0.0
        )
        lateness = state.latencies.get(kind, 0.0) / latency_target
        cost = confidence * min(LATE_COST, lateness * lateness)
        cost += confidence * FAILURE_COST * state.failure_share
        cost += confidence * LOAD_COST * max(0.0, state.load - LOAD_KNEE)
        cost += state.outstanding * 0.01
        if now - state.last_shed < REFUSED_SECONDS:
            cost += REFUSED_COST
        if member.region != self._node.region:
            cost += OTHER_REGION_COST
        elif member.domain != self._node.domain:
            cost += distance
        if member.instance == self._node.instance:
            cost -= OWN_SERVER_BONUS
        return cost + TIE_SPREAD * self._random.random()
