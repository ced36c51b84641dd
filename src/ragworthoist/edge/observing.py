"""Readiness, metrics and state of a node, for the platform and operators."""

import json

from ragworthoist._metrics import collect_node_metrics

_TEXT_HEADERS = ((b"content-type", b"text/plain; version=0.0.4"),)
_JSON_HEADERS = ((b"content-type", b"application/json"),)


class Observer:
    """Serves readiness, metrics and state of one node.

    Parameters
    ----------
    node : EdgeNode
        The node that is observed.
    """

    def __init__(self, node):
        self._node = node

    async def answer_readiness(self, request):
        """Respond with 200 if clients may be sent to this node, with 503 if not."""
        await request.respond(200 if self._node.is_ready else 503)

    async def answer_metrics(self, request):
        """Serve metrics as text at `/metrics`, and the state as JSON at `/state`."""
        if request.target.startswith(b"/state"):
            body = json.dumps(dump_edge_state(self._node)).encode()
            await request.respond(200, _JSON_HEADERS, body)
            return
        if not request.target.startswith(b"/metrics"):
            await request.respond(404)
            return
        # Imported on first use, so that it does not delay the start of the node.
        from aioprometheus.formats import text

        body = text.TextFormatter().marshall(collect_edge_metrics(self._node))
        await request.respond(200, _TEXT_HEADERS, body)


def dump_edge_state(node):
    """Return the state of a node's tables as plain values."""
    admission = node.forwarder.admission
    now = node.clock()
    return {
        "instance": node.instance.hex(),
        "service": node.settings.node.service,
        "failure_domain": node.settings.node.failure_domain,
        "ready": node.is_ready,
        "leaving": node.is_leaving,
        "uptime_seconds": round(now - node.started, 3),
        "configuration": node.configuration.version,
        "configuration_refused": node.configuration.last_refusal,
        "configuration_watch": _dump_watch(node, now),
        "server": _dump_server(node, now),
        "admission": {
            "limit": admission.limiter.limit,
            "in_flight": admission.in_flight,
            "waiting": len(admission),
            "given_up": node.forwarder.occupancy.count_given_up(now),
            "service_time_seconds": round(admission.service_time, 4),
        },
        "members": [
            {
                "instance": member.instance.hex(),
                "service": member.service,
                "failure_domain": member.domain,
                "address": f"{member.host}:{member.port}",
                "state": member.state.name.lower(),
                "accepting": member.accepting,
            }
            for member in node.membership.members.values()
        ],
        "peer_streams": len(node.peers),
        "memory": node.memory.describe(),
        "client_connections": len(node.entrance.connections),
        "in_progress": node.in_progress,
        "store_calls": dict(node.store.calls) if node.store else {},
    }


def _dump_watch(node, now):
    follower = node.follower
    if follower is None:
        return {}
    return {
        "watching": follower.is_watching,
        "confirmed_seconds_ago": round(follower.unconfirmed_seconds, 3),
        "watcher_heard_seconds_ago": round(now - follower.duty.heard_at, 3),
    }


def _dump_server(node, now):
    lifecycle = node.lifecycle
    state = {
        "id": lifecycle.instance,
        "state": lifecycle.state.value,
        "sequence": lifecycle.sequence,
        "slots": lifecycle.slots,
        "heard_seconds_ago": round(now - lifecycle.last_seen, 3),
    }
    advertised = node.forwarder.advertised_rate
    if advertised.has_been_used:
        state["advertised_rate"] = advertised.rate
        state["requests_per_second"] = round(node.forwarder.arrivals.rate(now), 2)
    return state


def collect_edge_metrics(node):
    """Return an aioprometheus registry filled from the node's tables."""
    from aioprometheus import Counter

    forwarder = node.forwarder
    admission = forwarder.admission
    registry = collect_node_metrics(node, admission, admission.limiter.limit, str)
    store_calls = Counter(
        "ragworthoist_store_calls_total",
        "Calls to the store by kind",
        registry=registry,
    )
    connections_opened = Counter(
        "ragworthoist_server_connections_total", "Connections opened", registry=registry
    )
    for kind, count in node.store.calls.items():
        store_calls.set({"kind": kind}, count)
    connections_opened.set({}, node.server_client.connections_opened)
    if node.follower is not None and node.follower.is_watching:
        _add_watch_metrics(registry, node.follower)
    if forwarder.advertised_rate.has_been_used:
        _add_rate_metrics(registry, node)
    return registry


def _add_watch_metrics(registry, follower):
    """Add how long ago the store answered the watch of this node."""
    from aioprometheus import Gauge

    age = Gauge(
        "ragworthoist_configuration_unconfirmed_seconds",
        "Time since the store answered a watch of the configuration, on watchers",
        registry=registry,
    )
    age.set({}, follower.unconfirmed_seconds)


def _add_rate_metrics(registry, node):
    """Add what reaches the server, and the rate while it advertises one."""
    from aioprometheus import Counter, Gauge

    forwarder = node.forwarder
    labels = {"server": node.lifecycle.instance}
    requests = Counter(
        "ragworthoist_server_requests_total",
        "Requests sent to the server",
        registry=registry,
    )
    requests.set(labels, forwarder.arrivals.total)
    arrival_rate = Gauge(
        "ragworthoist_server_requests_per_second",
        "Requests sent to the server, over the last 4 s",
        registry=registry,
    )
    arrival_rate.set(labels, forwarder.arrivals.rate(node.clock()))
    if forwarder.advertised_rate.rate is not None:
        advertised_rate = Gauge(
            "ragworthoist_server_advertised_rate",
            "Requests a second that the server takes, while it advertises a rate",
            registry=registry,
        )
        advertised_rate.set(labels, forwarder.advertised_rate.rate)
