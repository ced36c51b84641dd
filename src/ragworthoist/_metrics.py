"""The metrics that the nodes of every edge have in common."""

from ragworthoist._outcomes import collect_outcomes


def collect_node_metrics(node, admission, limit, name_rank):
    """Return an aioprometheus registry filled from tables that every node has.

    Parameters
    ----------
    node : FleetNode
        Supplies `outcomes`, `configuration` and `membership`.
    admission : Admission
        The calls to the server beside the node.
    limit : float
        Calls that may be handed to the server at once.
    name_rank : callable
        Returns the label of a rank.
    """
    # Loaded at the first question, so that a start does not wait for it.
    from aioprometheus import Counter, Gauge, Registry

    registry = Registry()

    def gauge(name, text):
        return Gauge(f"ragworthoist_{name}", text, registry=registry)

    requests = Counter(
        "ragworthoist_requests_total", "Customer requests by outcome", registry=registry
    )
    latency = Counter(
        "ragworthoist_completed_below_total", "Completed, by latency", registry=registry
    )
    collect_outcomes(node.outcomes, name_rank, requests, latency)
    gauge("limit", "Calls handed to the server at once").set({}, limit)
    gauge("in_flight", "Calls running at the server").set({}, admission.in_flight)
    gauge("waiting", "Calls waiting for the server").set({}, len(admission))
    version = gauge("configuration_version", "Version in force")
    version.set({}, node.configuration.version)
    members = gauge("members", "Members by state")
    for member in node.membership.members.values():
        members.inc({"state": member.state.name.lower()})
    return registry
