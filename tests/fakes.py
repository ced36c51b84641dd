"""Fakes for the interfaces of a node: time, peers and the backend server.

Everything between them is the real code. Time is virtual, so that tests do not wait
and run in the same order every time.
"""

import asyncio
import random
import selectors
from collections import Counter
from dataclasses import dataclass, field

import anyio

from ragworthoist import Document
from ragworthoist._dispatching import Dispatcher
from ragworthoist._forwarding import Forwarder
from ragworthoist._tasks import TaskPool
from ragworthoist.core.entities import Answer, Outcome, Reason, refuse
from ragworthoist.core.members import Member
from ragworthoist.core.membership import Membership
from ragworthoist.core.memory import MemoryBudget
from ragworthoist.core.policy import Policy
from ragworthoist.core.routing import Router
from ragworthoist.net.entrance import EntranceApplication, OnwardApplication

KEY = b"k" * 32
TICK_SECONDS = 0.1


class _VirtualTimeSelector(selectors.SelectSelector):
    """Does not wait, but advances the virtual time (in seconds) by the timeout."""

    virtual_time = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout:
            self.virtual_time += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time."""

    def __init__(self):
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self):
        return self._virtual_selector.virtual_time

    def advance_without_running(self, seconds):
        """Advance the time by `seconds` without running tasks, as if paused.

        Timers that expire in that time run late, after the advance.
        """
        self._virtual_selector.virtual_time += seconds


def run_virtual(function, *arguments):
    """Run a coroutine function on virtual time and return its result."""
    options = {"loop_factory": VirtualLoop}
    return anyio.run(function, *arguments, backend_options=options)


@dataclass
class Reply:
    """The response of an ASGI application."""

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""

    @property
    def outcome(self):
        return self.headers.get("ragworthoist-outcome", "")

    @property
    def reason(self):
        return self.headers.get("ragworthoist-reason", "")

    @property
    def ticket(self):
        return self.headers.get("ragworthoist-ticket", "")


async def send_request(
    application, method, path, body=b"", disconnected=None, **headers
):
    """Send one request to an ASGI application and return its `Reply`.

    If the event `disconnected` is set, the application sees the client disconnect.
    Underscores in the names of `headers` become hyphens.
    """
    pairs = [(k.replace("_", "-").encode(), v.encode()) for k, v in headers.items()]
    reply = Reply()
    finished = disconnected or anyio.Event()
    parts = [{"type": "http.request", "body": body}]

    async def receive():
        if parts:
            return parts.pop()
        await finished.wait()
        return {"type": "http.disconnect"}

    async def send(message):
        if message["type"] == "http.response.start":
            reply.status = message["status"]
            for name, value in message["headers"]:
                reply.headers[name.decode()] = value.decode()
        else:
            reply.body += message["body"]

    scope = {
        "type": "http",
        "method": method,
        "path": path.split("?")[0],
        "raw_path": path.split("?")[0].encode(),
        "query_string": path.partition("?")[2].encode(),
        "headers": pairs,
    }
    await application(scope, receive, send)
    finished.set()
    return reply


class FakePeers:
    """Calls between nodes, with the faults of the fleet.

    An "unreachable" call does not arrive; a "lost" call arrives, but its answer does
    not.
    """

    def __init__(self, fleet):
        self._fleet = fleet

    async def call(self, member, call):
        fleet = self._fleet
        fault = fleet.next_fault()
        target = fleet.nodes.get(member.instance)
        if target is None or fault == "unreachable":
            fleet.attempts[call.request_id] += 1
            return refuse(Reason.PEER_UNREACHABLE, call)
        done = anyio.Event()
        answers = []

        def reply(answer):
            answers.append(answer)
            done.set()

        handle = target.forwarder.submit(call, reply)
        try:
            if fault == "lost":
                await anyio.sleep(0.001)
                return Answer(Outcome.UNKNOWN, Reason.PEER_LOST)
            with anyio.move_on_after(call.deadline - anyio.current_time() + 0.05):
                await done.wait()
        finally:
            if not answers and handle is not None and fault != "lost":
                target.forwarder.cancel(handle)
        return answers[0] if answers else Answer(Outcome.UNKNOWN, Reason.DEADLINE)


class FakeBackend:
    """A backend server whose answers come from `fleet.behave(node, call, token)`."""

    def __init__(self, node, fleet):
        self._node = node
        self._fleet = fleet

    async def send(self, call, token, remaining):
        fleet = self._fleet
        fleet.runs.append((call.service, call.request_id, call.target, call.body))
        with anyio.move_on_after(remaining):
            return await fleet.behave(self._node, call, token)
        return Answer(Outcome.UNKNOWN, Reason.DEADLINE)


class _CountingForwarder(Forwarder):
    """Counts the attempts that reach a node, independently of the code under test."""

    def __init__(self, attempts, *arguments):
        super().__init__(*arguments)
        self._attempts = attempts

    def submit(self, call, reply, is_inline=False):
        self._attempts[call.request_id] += 1
        return super().submit(call, reply, is_inline)


class FakeNode:
    """The real dispatcher and forwarder of a node, with fake peers and server."""

    def __init__(self, fleet, member, group):
        self.instance = member.instance
        self.key = KEY
        self.clock = anyio.current_time
        self.wall_clock = anyio.current_time
        self.random = random.Random(member.instance)
        self.membership = Membership(member, self.random, 0.0)
        self.router = Router(member, self.random)
        self.policy = fleet.policy
        self.peers = FakePeers(fleet)
        self.tasks = TaskPool(group)
        self.open_requests = 0
        self.outcomes = []
        self.forwarder = _CountingForwarder(
            fleet.attempts,
            FakeBackend(self, fleet),
            self.instance,
            KEY,
            self.clock,
            self.wall_clock,
            fleet.policy.service(member.service),
            self.tasks,
        )
        self.dispatcher = Dispatcher(self)
        self.memory = MemoryBudget()
        self.entrance = EntranceApplication(self)
        self.onward = OnwardApplication(self)
        self.tasks.keep_running(self._tick)

    async def _tick(self):
        while True:
            await anyio.sleep(TICK_SECONDS)
            self.forwarder.tick(self.clock())

    def own_endpoint(self, service):
        member = self.membership.node
        return member if member.service == service else None

    def record_request(self, call, answer, _seconds):
        self.outcomes.append((call.request_id, answer.outcome))


class FakeFleet:
    """Nodes of several services, with faults for the calls between them.

    Parameters
    ----------
    services : list of str
        Names of the services.
    behave : callable
        Coroutine function of the backend servers, called with the node, the call and
        the call's token; returns an `Answer`.
    values : dict, optional
        The configuration document.
    faults : iterable of str
        Faults of the next calls between nodes: "none", "unreachable" or "lost".
    endpoints : int
        Number of nodes of each service.

    Attributes
    ----------
    attempts : Counter
        Number of attempts by request id.
    runs : list of tuple
        Service, request id, target and body of each call that a server ran.
    """

    def __init__(self, services, behave, values=None, faults=(), endpoints=2):
        self.policy = Policy(Document.model_validate(values or {}))
        self.behave = behave
        self.nodes = {}
        self.attempts = Counter()
        self.runs = []
        self._faults = list(faults)
        self._services = services
        self._endpoints = endpoints
        self._started_nodes = 0
        self._group = None

    async def __aenter__(self):
        self._group = anyio.create_task_group()
        await self._group.__aenter__()
        for service in self._services:
            for _ in range(self._endpoints):
                self.add(service)
        return self

    async def __aexit__(self, *exception):
        self._group.cancel_scope.cancel()
        return await self._group.__aexit__(*exception)

    def add(self, service, domain="a"):
        """Start a node and add it to the members of all others."""
        self._started_nodes += 1
        name = f"{self._started_nodes:03}{service}".encode().ljust(8)[:8]
        member = Member(name, service, "main", domain, "127.0.0.1", self._started_nodes)
        node = FakeNode(self, member, self._group)
        self.nodes[member.instance] = node
        known = [other.membership.node for other in self.nodes.values()]
        for other in self.nodes.values():
            other.membership.merge(known, 0.0)
        return node

    def kill(self, node):
        """Remove a node, which the others still have as a member."""
        del self.nodes[node.instance]

    def nodes_of(self, service):
        """Return the nodes of a service."""
        return [n for n in self.nodes.values() if n.membership.node.service == service]

    def next_fault(self):
        """Return the fault of the next call between nodes, "none" after the last."""
        return self._faults.pop(0) if self._faults else "none"


def complete(body=b"done", **headers):
    """Return an `Answer` with the outcome completed and status 200."""
    pairs = [(k.encode(), v.encode()) for k, v in headers.items()]
    return Answer(Outcome.COMPLETED, Reason.ANSWERED, 200, pairs, body)
