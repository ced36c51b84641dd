"""The metrics that nodes of both edges export."""

from ragworthoist._outcomes import collect_outcomes


def collect_node_metrics(node, admission, limit, name_rank):
    """Return an aioprometheus registry with the current values of a node.

    Parameters
    ----------
    node : FleetNode
        Provides `outcomes`, `configuration`, `membership` and `memory`.
    admission : Admission
        Admission of calls to the backend server.
    limit : float
        Maximum number of concurrent calls to the server.
    name_rank : callable
        Returns the label of a rank.
    """
    # Imported when metrics are first requested, so that it does not delay the start.
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
    refusals = Counter(
        "ragworthoist_configurations_refused_total",
        "Invalid documents that were not adopted",
        registry=registry,
    )
    refusals.set({}, node.configuration.refusals)
    held = gauge("held_bytes", "Bytes held for clients, servers and peers")
    held.set({}, node.memory.held_bytes)
    evictions = Counter(
        "ragworthoist_evictions_total",
        "What was dropped because the process held too much",
        registry=registry,
    )
    evictions.set({}, node.memory.evicted_count)
    members = gauge("members", "Members by state")
    for member in node.membership.members.values():
        members.inc({"state": member.state.name.lower()})
    return registry
