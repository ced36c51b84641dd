"""Choice of an endpoint by the expected cost of a call.

A cost of 1 corresponds to an answer that takes as long as the latency target of the
route. Latency counts by its square: well below the target it matters little, near the
target it dominates. The cost also includes the load that the answers of the endpoint
report, its share of failures, and a charge for leaving the failure domain of the node,
which grows with the measured size of the answers.
"""

from dataclasses import dataclass, field

from ragworthoist.core.routing import EndpointState, Router

LATENCY_SMOOTHING = 0.1
FAILURE_SMOOTHING = 0.1
STATISTICS_EXPIRY_SECONDS = 3.0
OTHER_DOMAIN_COST = 0.1
# Traffic between failure domains has to be paid for. With this charge an answer of 5 KB
# weighs as much as a latency of 0.6 times the target.
OTHER_DOMAIN_COST_PER_KB = 0.06
MAX_LATENCY_COST = 2.0
OTHER_REGION_COST = 2.0
FAILURE_COST = 3.0
LOAD_KNEE = 0.8
LOAD_COST = 4.0
OWN_SERVER_BONUS = 0.05
TIE_SPREAD = 0.05
SHED_COST = 1.0
SHED_COST_SECONDS = 0.3


@dataclass(slots=True)
class EndpointStatistics(EndpointState):
    """Statistics of one endpoint from the caller's own calls.

    Attributes
    ----------
    latencies : dict
        Smoothed latency in seconds by kind, without failed calls.
    failure_share : float
        Smoothed share of failed calls.
    load : float
        Load that the endpoint reported last.
    updated_at : float
        Time of the last update in seconds, 0 before the first.
    """

    latencies: dict = field(default_factory=dict)
    failure_share: float = 0.0
    load: float = 0.0
    updated_at: float = 0.0


class Placement(Router):
    """Endpoint choice of one node, by expected cost.

    Parameters
    ----------
    node : Member
        The node itself, for its failure domain and region.
    random : random.Random
        Source of the random part of each cost, which spreads calls over equal
        endpoints.
    """

    def __init__(self, node, random):
        super().__init__(node, random)
        self._answer_kilobytes = {}

    def state(self, endpoint):
        """Return the `EndpointStatistics` of the instance id `endpoint`."""
        found = self._states.get(endpoint)
        if found is None:
            found = self._states[endpoint] = EndpointStatistics()
        return found

    def choose(self, candidates, kind, latency_target, now):
        """Return the member of `candidates` with the lowest cost for a call of `kind`.

        `latency_target` is in seconds.
        """
        if len(candidates) == 1:
            return candidates[0]
        domain_cost = OTHER_DOMAIN_COST
        domain_cost += OTHER_DOMAIN_COST_PER_KB * self._answer_kilobytes.get(kind, 0.0)
        return min(
            candidates,
            key=lambda m: self._expected_cost(
                m, kind, latency_target, domain_cost, now
            ),
        )

    def record_size(self, kind, size):
        """Record the `size` in bytes of an answer to a call of `kind`."""
        known = self._answer_kilobytes.get(kind)
        found = size / 1024
        if known is not None:
            found = known + LATENCY_SMOOTHING * (found - known)
        self._answer_kilobytes[kind] = found

    def record_answer(self, endpoint, kind, seconds, load, failed, now):
        """Record a call that the endpoint ran, and its duration in seconds."""
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
        """Record the load that the endpoint reported with a refusal."""
        state = self.state(endpoint)
        state.load = load
        state.updated_at = now

    def _expected_cost(self, member, kind, latency_target, domain_cost, now):
        state = self.state(member.instance)
        age = now - state.updated_at
        # Older statistics count less, so that an endpoint that was slow is tried again.
        confidence = (
            max(0.0, 1.0 - age / STATISTICS_EXPIRY_SECONDS) if state.updated_at else 0.0
        )
        lateness = state.latencies.get(kind, 0.0) / latency_target
        cost = confidence * min(MAX_LATENCY_COST, lateness * lateness)
        cost += confidence * FAILURE_COST * state.failure_share
        cost += confidence * LOAD_COST * max(0.0, state.load - LOAD_KNEE)
        cost += state.outstanding * 0.01
        if now - state.last_shed < SHED_COST_SECONDS:
            cost += SHED_COST
        if member.region != self._node.region:
            cost += OTHER_REGION_COST
        elif member.domain != self._node.domain:
            cost += domain_cost
        if member.instance == self._node.instance:
            cost -= OWN_SERVER_BONUS
        return cost + TIE_SPREAD * self._random.random()
