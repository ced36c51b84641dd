"""Choice of an endpoint by what a call there is expected to cost.

The cost of an endpoint is counted in aims, the latency that the route aims at: the
latency learned for the kind, the load that the endpoint's answers report, its share
of failures, and a charge for leaving the own failure domain.
"""

from dataclasses import dataclass, field

from ragworthoist.core.routing import EndpointState, Router

LATENCY_SMOOTHING = 0.1
FAILURE_SMOOTHING = 0.1
FORGET_SECONDS = 3.0
OTHER_DOMAIN_COST = 0.5
OTHER_REGION_COST = 2.0
FAILURE_COST = 3.0
LOAD_KNEE = 0.8
LOAD_COST = 4.0
OWN_BONUS = 0.05
TIE_SPREAD = 0.05
REFUSED_COST = 1.0
REFUSED_SECONDS = 0.3


@dataclass(slots=True)
class Experience(EndpointState):
    """What a caller has learned of one endpoint from its own calls."""

    latencies: dict = field(default_factory=dict)
    failure_share: float = 0.0
    load: float = 0.0
    learned: float = 0.0


class Placement(Router):
    """Endpoint choice of one node, by expected cost."""

    def state(self, endpoint):
        """Return the `Experience` with the instance id `endpoint`."""
        found = self._states.get(endpoint)
        if found is None:
            found = self._states[endpoint] = Experience()
        return found

    def choose(self, candidates, kind, aim, now):
        """Return the cheapest of `candidates` for a call of `kind`."""
        return min(candidates, key=lambda m: self._expected(m, kind, aim, now))

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
        state.learned = now

    def record_load(self, endpoint, load, now):
        """Learn the load that a refusal reports."""
        state = self.state(endpoint)
        state.load = load
        state.learned = now

    def _expected(self, member, kind, aim, now):
        state = self.state(member.instance)
        age = now - state.learned
        # What was learned long ago counts less, so that an endpoint that was slow
        # is tried again.
        trust = max(0.0, 1.0 - age / FORGET_SECONDS) if state.learned else 0.0
        cost = trust * state.latencies.get(kind, 0.0) / aim
        cost += trust * FAILURE_COST * state.failure_share
        cost += trust * LOAD_COST * max(0.0, state.load - LOAD_KNEE)
        cost += state.outstanding * 0.01
        if now - state.last_shed < REFUSED_SECONDS:
            cost += REFUSED_COST
        if member.region != self._node.region:
            cost += OTHER_REGION_COST
        elif member.domain != self._node.domain:
            cost += OTHER_DOMAIN_COST
        if member.instance == self._node.instance:
            cost -= OWN_BONUS
        return cost + TIE_SPREAD * self._random.random()
