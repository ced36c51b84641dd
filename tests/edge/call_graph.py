"""Model of a service call graph on virtual time, for tests of overload decisions.

The nodes are the real entrance, dispatcher and forwarder. Their streams, backend
servers and clients are simple models, and time is virtual, so that a test plays seconds
of load within a second or two and always with the same result.
"""

import asyncio
import json
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace

from ragworthoist._outcomes import OutcomeTable
from ragworthoist.core.budgets import FleetRetryBound, FleetRetryBudget
from ragworthoist.core.configuration import ConfigurationTable
from ragworthoist.core.entities import Reason, refuse
from ragworthoist.core.members import Member, MemberState
from ragworthoist.core.membership import Membership
from ragworthoist.core.pauses import PauseMeter
from ragworthoist.core.placement import Placement
from ragworthoist.core.routes import Splitter
from ragworthoist.core.server_lifecycle import ServerLifecycle, ServerReport
from ragworthoist.edge.dispatching import AttemptDispatcher
from ragworthoist.edge.entrance import AttemptEntrance
from ragworthoist.edge.forwarding import Forwarder
from ragworthoist.exceptions import ConnectionLostError
from ragworthoist.net.exchanges import Response
from ragworthoist.platform.configuration import compile_routes

HOP_SECONDS = 0.001
TICK_SECONDS = 0.02
HOST = "shop.example"


@dataclass(frozen=True)
class Kind:
    """One kind of request: where it runs, for how long, and which calls it makes.

    `calls` are names of kinds that are called one after the other. `rate` is in
    requests of clients a second.
    """

    name: str
    service: str
    seconds: float
    calls: tuple = ()
    rate: float = 0.0
    rank: int = 1
    target: float = 1.0
    timeout: float = 5.0
    safe: bool = True
    max_attempts: int = 2


@dataclass
class Service:
    """Backend servers of one service; `speeds` has one entry for each.

    `rejected` is the share of arrivals that each server rejects, proven not run, and
    `lost` the share of answers that are lost after the request has run. A request that
    starts while more than `knee` of the slots are in use takes 1.3 times as long.
    `advertised` has the rate that each server advertises, None for none.
    """

    slots: int
    speeds: tuple = (1.0, 1.0, 1.0)
    knee: float = 0.95
    rejected: float = 0.0
    lost: float = 0.0
    advertised: tuple = ()

    def list_advertised(self):
        """Return the advertised rate of each server."""
        return self.advertised or (None,) * len(self.speeds)


@dataclass
class Result:
    """What became of the requests of clients, by kind and status, and their load.

    `arrivals` and `repeats` count what reached the servers of each service, in all and
    beyond the first arrival of each request. `arrival_times` has the times in seconds
    for each server, named by its service and its place in `Service.speeds`.
    """

    asked: Counter = field(default_factory=Counter)
    in_time: Counter = field(default_factory=Counter)
    statuses: Counter = field(default_factory=Counter)
    arrivals: Counter = field(default_factory=Counter)
    repeats: Counter = field(default_factory=Counter)
    arrival_times: dict = field(default_factory=lambda: defaultdict(list))
    seconds_until_refused: list = field(default_factory=list)

    def share(self, kind):
        """Return the share of the requests of `kind` served within their target."""
        return self.in_time[kind] / self.asked[kind]

    def count(self, status):
        """Return how many requests ended with `status`."""
        return sum(n for (_, found), n in self.statuses.items() if found == status)


class _Request:
    """A request as the entrance expects it; `answer` is (status, headers)."""

    method = "GET"
    age = 0.0
    body = b""

    def __init__(self, attempt_id, kind, seconds_left):
        self.target = f"/{kind.name}/".encode()
        self.attempt_id = attempt_id
        self.headers = [
            (b"host", HOST.encode()),
            (b"attempt-id", attempt_id),
            (b"deadline-ms", b"%d" % max(1, seconds_left * 1000)),
        ]
        self.answer = None

    async def respond(self, status, headers=(), body=b"", close=False):
        self.answer = (status, dict(headers))


class _Server:
    """A backend server with `slots`, in place of the HTTP client of its node."""

    def __init__(self, node, service, place):
        self._node = node
        self._service = service
        self._place = place
        self._speed = service.speeds[place]
        self._slots = asyncio.Semaphore(service.slots)
        self._random = random.Random(node.instance)
        self._count = 0
        self._busy = 0

    def close_stale_connections(self):
        pass

    def start_request(self, on_done, head, body, accepts, is_head_request, timeout):
        task = asyncio.get_running_loop().create_task(
            self._run(on_done, head, accepts, timeout)
        )
        return _Exchange(task)

    async def _run(self, on_done, head, accepts, timeout):
        graph = self._node.graph
        kind = graph.kinds[head.split(b"/", 2)[1].decode()]
        headers = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:] if line)
        attempt_id = headers[b"attempt-id"]
        service = kind.service
        graph.result.arrivals[service] += 1
        graph.result.arrival_times[service, self._place].append(
            asyncio.get_running_loop().time()
        )
        # A call of a run that was itself a repeat counts as a repeat too.
        parent_id = attempt_id.rpartition(b".")[0]
        is_repeat = attempt_id in graph.arrived or parent_id in graph.repeated
        graph.arrived.add(attempt_id)
        if is_repeat:
            graph.result.repeats[service] += 1
            graph.repeated.add(attempt_id)
        if self._random.random() < self._service.rejected:
            response = Response(
                503, [(b"attempt-id", attempt_id), (b"not-executed", b"1")]
            )
        else:
            try:
                async with asyncio.timeout(timeout):
                    status = await self._work(kind, attempt_id, timeout)
            except TimeoutError:
                on_done(None, TimeoutError())
                return
            if self._random.random() < self._service.lost:
                on_done(None, ConnectionLostError("lost"))
                return
            response = Response(
                status, [(b"attempt-id", attempt_id), (b"server-seal", b"s")]
            )
        rate = self._service.list_advertised()[self._place]
        if rate is not None:
            response.headers.append((b"server-limit", b"%.1f" % rate))
        accepts(response)
        on_done(response, None)

    async def _work(self, kind, attempt_id, seconds_left):
        ends_at = asyncio.get_running_loop().time() + seconds_left
        async with self._slots:
            self._busy += 1
            factor = self._random.uniform(0.5, 1.5)
            if self._busy > self._service.knee * self._service.slots:
                factor *= 1.3
            try:
                return await self._run_calls(kind, attempt_id, factor, ends_at)
            finally:
                self._busy -= 1

    async def _run_calls(self, kind, attempt_id, factor, ends_at):
        await asyncio.sleep(kind.seconds * factor / self._speed)
        for name in kind.calls:
            self._count += 1
            call = _Request(
                b"%s.%d" % (attempt_id, self._count),
                self._node.graph.kinds[name],
                ends_at - asyncio.get_running_loop().time(),
            )
            await self._node.entrance.handle(call)
            if call.answer[0] != 200:
                return 500
        return 200


class _Exchange:
    is_sent = True

    def __init__(self, task):
        self._task = task

    def prevent_reuse(self):
        pass

    def cancel(self):
        self._task.cancel()


class _Peers:
    """Streams to the other nodes, with a delay of `HOP_SECONDS` each way."""

    def __init__(self, graph):
        self._graph = graph

    async def call(self, endpoint, call):
        await asyncio.sleep(HOP_SECONDS)
        done = asyncio.get_running_loop().create_future()

        def reply(answer):
            if not done.done():
                done.set_result(answer)

        node = self._graph.nodes.get(endpoint.instance)
        if node is None:
            return refuse(Reason.PEER_UNREACHABLE, call)
        forwarder = node.forwarder
        pending = forwarder.submit(replace(call), reply)
        try:
            answer = await done
        except asyncio.CancelledError:
            if pending is not None:
                forwarder.cancel(pending)
            raise
        await asyncio.sleep(HOP_SECONDS)
        return answer


class _Node:
    def __init__(self, graph, number, service_name, place, instance=None, server=None):
        self.graph = graph
        self.number = number
        self.service_name = service_name
        self.place = place
        self.instance = instance or b"%08d" % number
        self.random = random.Random(self.instance)
        self.clock = asyncio.get_running_loop().time
        self.member = Member(
            self.instance, service_name, "r", f"z{number % 3}", f"10.0.0.{number}", 1
        )
        self.membership = Membership(self.member, self.random, self.clock())
        self.lifecycle = ServerLifecycle(service_name, "here:1", 2.0)
        service = graph.services[service_name]
        self.lifecycle.process_report(
            ServerReport("i", service_name, "here:1", service.slots, False, 1), 0.0
        )
        self.server = server or _Server(self, service, place)
        self.forwarder = Forwarder(self.lifecycle, self.server, self.clock)
        self.forwarder.apply_slots(service.slots)
        self.placement = Placement(self.member, self.random)
        self.budget = FleetRetryBudget(graph.bound)
        self.splitter = Splitter()
        self.pauses = PauseMeter()
        self.outcomes = OutcomeTable()
        self.peers = _Peers(graph)
        self.settings = _Settings(_NodeSettings(service_name))
        self.configuration = ConfigurationTable(compile=compile_routes)
        self.configuration.offer(graph.encode_routes())
        self.dispatcher = AttemptDispatcher(self)
        self.entrance = AttemptEntrance(self)

    @property
    def policy(self):
        return self.configuration.policy


@dataclass
class _NodeSettings:
    service: str


@dataclass
class _Settings:
    node: _NodeSettings


class CallGraph:
    """A fleet with one node beside each server, and the clients' load on it.

    Parameters
    ----------
    services : dict of str to Service
        The services by name.
    kinds : iterable of Kind
        All kinds of requests.
    bound : FleetRetryBound, optional
        The fleet-wide bound on retries.
    client_retries : int, optional
        How often a client sends a request again: after a refusal when it is told to,
        and after a failure at once if the kind is safe.
    """

    def __init__(self, services, kinds, bound=None, client_retries=0):
        self.services = services
        self.kinds = {kind.name: kind for kind in kinds}
        self.bound = bound or FleetRetryBound(0.2, 48.0, 10.0)
        self.client_retries = client_retries
        self.nodes = {}
        self._stopping = []
        self.result = Result()
        self.arrived = set()
        self.repeated = set()
        self._restarts = 0
        self._random = random.Random(7)

    def encode_routes(self):
        rules = [
            {
                "name": kind.name,
                "pathPrefix": f"/{kind.name}/",
                "routeKind": "safe" if kind.safe else "unsafe",
                "timeoutMs": kind.timeout * 1000,
                "targetLatencyMs": kind.target * 1000,
                "priority": kind.rank,
                "service": kind.service,
                "maxAttempts": kind.max_attempts,
            }
            for kind in self.kinds.values()
        ]
        document = {
            "version": "00000001",
            "services": [{"name": name} for name in self.services],
            "virtualHosts": [{"host": HOST, "pathRules": rules}],
        }
        return json.dumps(document).encode()

    async def play(self, seconds, changes=()):
        """Return the `Result` of `seconds` of load.

        `changes` are pairs of a time in seconds and a function of this graph that is
        called then.
        """
        loop = asyncio.get_running_loop()
        number = 0
        for name, service in self.services.items():
            for place in range(len(service.speeds)):
                node = _Node(self, number, name, place)
                self.nodes[node.instance] = node
                number += 1
        members = [node.member for node in self.nodes.values()]
        for node in self.nodes.values():
            node.membership.merge(members, loop.time())
        async with asyncio.TaskGroup() as tasks:
            ticker = loop.create_task(self._tick())
            for when, change in changes:
                loop.call_later(when, change, self)
            clients = [
                tasks.create_task(self._send_requests(tasks, kind, seconds))
                for kind in self.kinds.values()
                if kind.rate
            ]
            await asyncio.wait(clients)
        ticker.cancel()
        return self.result

    def restart_node(self, service, place):
        """Replace the node of one server by a new process, which knows nothing.

        The server goes on, and the old process finishes the calls that it has accepted.
        """
        old = next(
            node
            for node in self.nodes.values()
            if (node.service_name, node.place) == (service, place)
        )
        self._restarts += 1
        new = _Node(
            self, old.number, service, place, b"new%05d" % self._restarts, old.server
        )
        self._stopping.append(self.nodes.pop(old.instance))
        old.forwarder.is_leaving = True
        self.nodes[new.instance] = new
        left = replace(old.member, state=MemberState.LEFT, incarnation=1)
        now = asyncio.get_running_loop().time()
        members = [node.member for node in self.nodes.values()]
        for node in self.nodes.values():
            node.membership.merge([left, *members], now)

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = asyncio.get_running_loop().time()
            for node in [*self.nodes.values(), *self._stopping]:
                node.pauses.tick(now)
                node.forwarder.tick(now)

    async def _send_requests(self, tasks, kind, seconds):
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            rate = self.kinds[kind.name].rate
            await asyncio.sleep(self._random.expovariate(rate))
            node = self._random.choice(list(self.nodes.values()))
            tasks.create_task(self._request(node, kind))

    async def _request(self, node, kind):
        loop = asyncio.get_running_loop()
        started = loop.time()
        result = self.result
        result.asked[kind.name] += 1
        for _ in range(1 + self.client_retries):
            sent = loop.time()
            request = _Request(
                b"%016x" % self._random.getrandbits(64),
                kind,
                kind.timeout - (sent - started),
            )
            await node.entrance.handle(request)
            status, headers = request.answer
            if status == 503 and b"retry-after" in headers:
                result.seconds_until_refused.append(loop.time() - sent)
                await asyncio.sleep(float(headers[b"retry-after"]))
            elif status == 200 or not kind.safe:
                break
        result.statuses[kind.name, status] += 1
        if status == 200 and loop.time() - started <= kind.target:
            result.in_time[kind.name] += 1
