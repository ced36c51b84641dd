"""HTTP application for operators: state, status and metrics of one node.

`/survey` asks all members which version of the configuration they have in force.
"""

import hmac
import json

from aioprometheus.formats import text

from ragworthoist._metrics import collect_node_metrics
from ragworthoist.core.limits import MAX_LIMIT
from ragworthoist.net.web import find_header, respond

_JSON = [(b"content-type", b"application/json")]


class OperatorsApplication:
    """ASGI application for operators; every request must carry the token."""

    def __init__(self, node):
        self._node = node
        self._token = b"Bearer " + node.settings.operators.token.encode()
        self._routes = {
            "/health": self._health,
            "/state": self._state,
            "/status": self._status,
            "/metrics": self._metrics,
            "/survey": self._survey,
        }

    async def __call__(self, scope, _receive, send):
        """Serve one HTTP request."""
        if scope["type"] == "lifespan":
            return
        if scope["type"] != "http":
            return
        given = find_header(scope["headers"], b"authorization")
        if not hmac.compare_digest(given, self._token):
            await _respond_json(send, 401, {"error": "missing or wrong token"})
            return
        route = self._routes.get(scope["path"])
        if route is None:
            await _respond_json(send, 404, {"error": "unknown path"})
            return
        await route(send)

    async def _health(self, send):
        serving = self._node.is_open and not self._node.forwarder.is_leaving
        await _respond_json(send, 200 if serving else 503, {"serving": serving})

    async def _state(self, send):
        await _respond_json(send, 200, dump_state(self._node))

    async def _status(self, send):
        await _respond_json(send, 200, report_status(self._node))

    async def _survey(self, send):
        await _respond_json(send, 200, await self._node.survey())

    async def _metrics(self, send):
        body = text.TextFormatter().marshall(collect_metrics(self._node))
        await respond(send, 200, [(b"content-type", b"text/plain")], body)


async def _respond_json(send, status, value):
    body = json.dumps(value).encode()
    await respond(send, status, _JSON, body)


def report_status(node):
    """Return members, configuration in force and outcomes as JSON values."""
    policy = node.policy
    history = policy.document.history if policy else []
    return {
        "instance": node.instance.hex(),
        "service": node.settings.node.service,
        "failure_domain": node.settings.node.failure_domain,
        "open": node.is_open,
        "leaving": node.forwarder.is_leaving,
        "configuration": {
            "version": node.configuration.version,
            "change_id": history[-1].change_id if history else "",
        },
        "members": [_describe_member(m) for m in node.membership.members.values()],
        "outcomes": list(_describe_outcomes(node)),
    }


def dump_state(node):
    """Return the complete state of a node as JSON values."""
    admission = node.forwarder.admission
    now = node.clock()
    return report_status(node) | {
        "uptime_seconds": now - node.started,
        "admission": {
            "limit": min(admission.limiter.limit, MAX_LIMIT),
            "in_flight": admission.in_flight,
            "waiting": len(admission),
            "capacity": admission.capacity,
            "service_time_seconds": admission.service_time,
            "levels": admission.levels.lowered(),
        },
        "tickets": node.forwarder.tickets.count_states(),
        "inbound": len(node.forwarder.inbound),
        "in_progress": node.in_progress,
        "peer_streams": len(node.peers),
        "memory": node.memory.describe(),
        "ejected": node.router.count_ejected(now),
        "is_watcher": node.membership.is_watcher,
        "watchers": [m.instance.hex() for m in node.membership.watchers()],
        "datagrams": {
            "sent": node.datagrams.sent,
            "sent_bytes": node.datagrams.sent_bytes,
            "received": node.datagrams.received,
            "refused": node.datagrams.refused,
        },
        "document": policy.document.model_dump(mode="json")
        if (policy := node.policy)
        else None,
    }


def collect_metrics(node):
    """Return an aioprometheus registry with the node's metrics."""
    admission = node.forwarder.admission
    limit = min(admission.limiter.limit, MAX_LIMIT)
    return collect_node_metrics(
        node, admission, limit, lambda rank: _rank_name(node, rank)
    )


def _describe_member(member):
    return {
        "instance": member.instance.hex(),
        "service": member.service,
        "region": member.region,
        "failure_domain": member.domain,
        "address": f"{member.host}:{member.port}",
        "state": member.state.name.lower(),
        "incarnation": member.incarnation,
    }


def _describe_outcomes(node):
    for kind, rank, entry in node.outcomes.rows():
        for (outcome, reason), count in sorted(entry.counts.items()):
            yield {
                "kind": kind,
                "rank": _rank_name(node, rank),
                "outcome": outcome.label,
                "reason": reason.value,
                "count": count,
            }


def _rank_name(node, rank):
    ranks = node.policy.ranks
    return ranks[rank] if rank < len(ranks) else str(rank)
