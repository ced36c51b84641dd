"""Choice of an endpoint for a call.

A caller uses a bounded subset of the endpoints of each service, chosen by
rendezvous hashing within every failure domain, and picks the best of a few sampled
endpoints, judged mainly by its own outstanding calls.
"""

from dataclasses import dataclass

import xxhash

SUBSET_PER_DOMAIN = 4
EJECT_AFTER_FAILURES = 5
EJECT_SECONDS = 1.0
MAX_EJECT_SECONDS = 30.0
MAX_EJECTED_SHARE = 0.5
OTHER_DOMAIN_COST = 2.0
OTHER_REGION_COST = 6.0
SHED_COST = 8.0
SHED_PENALTY_SECONDS = 0.2
LEAVING_AVOIDANCE_SECONDS = 3.0


@dataclass(slots=True)
class EndpointState:
    """State of one endpoint, derived from the caller's own calls."""

    outstanding: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    leaving_until: float = 0.0
    last_shed: float = float("-inf")


class Router:
    """Endpoint choice of one node.

    Parameters
    ----------
    node : Member
        The node itself, for its failure domain and region.
    random : random.Random
        Source of samples.
    """

    def __init__(self, node, random):
        self._node = node
        self._random = random
        self._states = {}
        self._subsets = {}
        self._version = None

    def state(self, endpoint):
        """Return the `EndpointState` of the instance id `endpoint`."""
        found = self._states.get(endpoint)
        if found is None:
            found = self._states[endpoint] = EndpointState()
        return found

    def subset(self, service, members, version):
        """Return the endpoints of `service` that this node uses.

        `members` maps services to lists of members, and `version` changes whenever
        `members` does.
        """
        if version != self._version:
            self._version = version
            self._subsets.clear()
            self._forget_absent(members)
        found = self._subsets.get(service)
        if found is None:
            found = self._choose_subset(members.get(service, ()))
            self._subsets[service] = found
        return found

    def candidates(self, service, members, version, excluded, now):
        """Return the usable endpoints of `service`.

        Ejections are ignored if they would leave no endpoint.
        """
        subset = self.subset(service, members, version)
        usable = []
        for member in subset:
            state = self.state(member.instance)
            if (
                state.ejected_until <= now
                and state.leaving_until <= now
                and member.instance not in excluded
            ):
                usable.append(member)
        if usable:
            return usable
        return [
            member
            for member in subset
            if member.instance not in excluded
            and self.state(member.instance).leaving_until <= now
        ]

    def pick(self, candidates, now):
        """Return the cheapest of a small sample that prefers the own failure domain."""
        near = [m for m in candidates if m.domain == self._node.domain]
        far = [m for m in candidates if m.domain != self._node.domain]
        sample = self._random.sample(near, min(2, len(near)))
        sample += self._random.sample(far, min(2 if not near else 1, len(far)))
        return min(sample, key=lambda member: self._cost(member, now))

    def record_start(self, endpoint):
        """Count one more outstanding call to `endpoint`."""
        self.state(endpoint).outstanding += 1

    def record_end(self, endpoint, now, failed=False, shed=False, leaving=False):
        """Record the end of a call to `endpoint`."""
        state = self.state(endpoint)
        state.outstanding -= 1
        if leaving:
            state.leaving_until = now + LEAVING_AVOIDANCE_SECONDS
        if shed:
            state.last_shed = now
        if not failed:
            state.failures = 0
            state.ejections = 0
            return
        state.failures += 1
        if state.failures >= EJECT_AFTER_FAILURES:
            self._eject(state, now)

    def eject_unreachable(self, endpoint, now):
        """Eject `endpoint` for a while, because its node does not answer."""
        self._eject(self.state(endpoint), now)

    def count_ejected(self, now):
        """Return how many endpoints are ejected at `now`."""
        return sum(1 for s in self._states.values() if s.ejected_until > now)

    def _eject(self, state, now):
        known = len(self._states)
        if self.count_ejected(now) + 1 > max(1, MAX_EJECTED_SHARE * known):
            return
        ejection_seconds = min(MAX_EJECT_SECONDS, EJECT_SECONDS * 2**state.ejections)
        state.ejected_until = now + ejection_seconds
        state.ejections += 1
        # After the ejection, one failed call is enough to eject the endpoint again.
        state.failures = EJECT_AFTER_FAILURES - 1

    def _cost(self, member, now):
        state = self.state(member.instance)
        cost = float(state.outstanding)
        if now - state.last_shed < SHED_PENALTY_SECONDS:
            cost += SHED_COST
        if member.region != self._node.region:
            cost += OTHER_REGION_COST
        elif member.domain != self._node.domain:
            cost += OTHER_DOMAIN_COST
        return cost

    def _choose_subset(self, members):
        by_domain = {}
        for member in members:
            by_domain.setdefault(member.domain, []).append(member)
        chosen = []
        for domain_members in by_domain.values():
            domain_members.sort(key=self._rendezvous_weight, reverse=True)
            chosen += domain_members[:SUBSET_PER_DOMAIN]
        return chosen

    def _rendezvous_weight(self, member):
        return xxhash.xxh3_64_intdigest(self._node.instance + member.instance)

    def _forget_absent(self, members):
        present = {m.instance for group in members.values() for m in group}
        gone = [
            instance
            for instance, state in self._states.items()
            if instance not in present and not state.outstanding
        ]
        for instance in gone:
            del self._states[instance]
