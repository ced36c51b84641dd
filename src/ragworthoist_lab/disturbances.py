"""Disturbances of a fleet during a soak, drawn from a seed.

Each has a start and a length of its own and waits for no other, so that they come in
series and overlap, also at one process.
"""

import random
import signal
import time
from dataclasses import dataclass, field

import anyio

from ragworthoist._registry import Registry

disturbances = Registry("disturbance")

MEAN_SECONDS_BETWEEN = 0.8
# Time from SIGTERM to SIGKILL, as on the platform.
GRACE_SECONDS = 6.0
SECOND_SIGNAL_DELAY_SECONDS = 0.4
READY_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.05
MOVED_PREFIX = "/moved/"


@dataclass(frozen=True, slots=True)
class DisturbanceKind:
    """A kind of disturbance and how it is drawn.

    Attributes
    ----------
    apply : callable
        Coroutine function of a `SoakFleet`, an endpoint and a `Disturbance`, which
        returns the values of its `Span`. It ends when the disturbance has ended.
    weight : float
        How often this kind is drawn, relative to the others.
    seconds : tuple of float
        Least and most seconds for which it lasts.
    """

    apply: object
    weight: float
    seconds: tuple


@dataclass(frozen=True, slots=True)
class Disturbance:
    """One disturbance: `kind` at the endpoint number `place`.

    `at` and `seconds` are in seconds, `at` from the start of the load. `amount` is
    from 0 to 1, for kinds that vary.
    """

    kind: str
    at: float
    seconds: float
    place: int
    amount: float


@dataclass(slots=True)
class Span:
    """When a disturbance was in force; times are those of the monotonic clock."""

    kind: str
    place: int
    start: float
    end: float = float("inf")
    values: dict = field(default_factory=dict)

    def overlaps(self, start, end):
        """Return whether this was in force at some time from `start` to `end`."""
        return self.start <= end and start <= self.end


@dataclass(frozen=True, slots=True)
class RateChange:
    """A server was told to advertise `rate`, in requests a second, or none.

    It was told between the times `sent_at` and `confirmed_at`.
    """

    server: str
    rate: float | None
    sent_at: float
    confirmed_at: float


def register_disturbance(name, weight, seconds):
    """Return a decorator that registers a `DisturbanceKind` under `name`."""

    def register(apply):
        disturbances.register(name)(DisturbanceKind(apply, weight, seconds))
        return apply

    return register


def draw_schedule(seed, seconds, endpoint_count):
    """Return the disturbances of `seconds` of load; equal seeds give equal schedules.

    Examples
    --------
    >>> draw_schedule(7, 20.0, 4) == draw_schedule(7, 20.0, 4)
    True
    """
    draws = random.Random(seed)
    names = disturbances.names()
    weights = [disturbances.get(name).weight for name in names]
    schedule = []
    at = draws.expovariate(1 / MEAN_SECONDS_BETWEEN)
    while at < seconds:
        (name,) = draws.choices(names, weights)
        lasts = draws.uniform(*disturbances.get(name).seconds)
        place = draws.randrange(endpoint_count)
        schedule.append(Disturbance(name, at, lasts, place, draws.random()))
        at += draws.expovariate(1 / MEAN_SECONDS_BETWEEN)
    return schedule


class SoakFleet:
    """A `Mesh` under disturbances, with a record of them.

    Parameters
    ----------
    mesh : Mesh
        The running fleet.
    rules : dict
        Rules of the configuration, as for `Mesh.configure`.

    Attributes
    ----------
    spans : list of Span
        What has disturbed the fleet, oldest first.
    moves : list of (float, str)
        When a configuration was confirmed, and the service of its moved route.
    rates : list of RateChange
        What servers were told to advertise.
    """

    def __init__(self, mesh, rules):
        self.mesh = mesh
        self.spans = []
        self.moves = []
        self.rates = []
        self._rules = rules

    async def disturb(self, disturbance):
        """Apply one disturbance and record its `Span`."""
        span = Span(disturbance.kind, disturbance.place, time.monotonic())
        self.spans.append(span)
        endpoint = self.mesh.endpoints[disturbance.place]
        apply = disturbances.get(disturbance.kind).apply
        try:
            span.values = await apply(self, endpoint, disturbance) or {}
        finally:
            span.end = time.monotonic()

    async def move_route(self, service):
        """Put a configuration in force in which the moved route goes to `service`."""
        rules = self._rules | {MOVED_PREFIX: {"service": service}}
        await _run(self.mesh.configure, rules)
        self.moves.append((time.monotonic(), service))

    async def set_behaviour(self, endpoint, **changes):
        """Change the behaviour of a server; return its id, "" if it is down."""
        try:
            reply = await _run(self.mesh.control_server, endpoint, "behaviour", changes)
        except OSError:
            return ""
        return reply["server"]

    async def set_rate(self, endpoint, rate):
        """Let a server advertise `rate`, None for none.

        It may be another server process than the one of an earlier change.
        """
        sent_at = time.monotonic()
        server = await self.set_behaviour(endpoint, advertised_rate=rate)
        if server:
            change = RateChange(server, rate, sent_at, time.monotonic())
            self.rates.append(change)

    async def await_exit(self, process, seconds):
        """Return whether `process` has exited within `seconds`."""
        with anyio.move_on_after(seconds):
            while process.poll() is None:
                await anyio.sleep(POLL_SECONDS)
        return process.poll() is not None

    async def replace_node(self, endpoint, process):
        """Start a node in place of `process`, which has exited, and wait for it.

        If another disturbance has already started one, that is waited for.
        """
        if endpoint.node is process:
            self.mesh.start_node(endpoint)
        with anyio.move_on_after(READY_TIMEOUT_SECONDS):
            while not await _run(self.mesh.is_ready, endpoint):
                if endpoint.node.poll() is not None:
                    return
                await anyio.sleep(POLL_SECONDS)

    async def replace_server(self, endpoint, process, pause=0.0):
        """Kill the server `process` and start another one after `pause` seconds."""
        process.kill()
        await self.await_exit(process, GRACE_SECONDS)
        await anyio.sleep(pause)
        if endpoint.server is process:
            self.mesh.start_server(endpoint)


async def _run(function, *arguments):
    return await anyio.to_thread.run_sync(function, *arguments)


@register_disturbance("stop", weight=3.0, seconds=(0.0, 0.0))
async def stop_node(fleet, endpoint, disturbance):
    """Stop a node as planned, at times by two signals, and start it again."""
    process = endpoint.node
    process.send_signal(signal.SIGTERM)
    if disturbance.amount < 0.4:
        await anyio.sleep(SECOND_SIGNAL_DELAY_SECONDS)
        process.send_signal(signal.SIGTERM)
    has_exited = await fleet.await_exit(process, GRACE_SECONDS)
    if not has_exited:
        process.kill()
        await fleet.await_exit(process, GRACE_SECONDS)
    await fleet.replace_node(endpoint, process)
    return {"has_exited": has_exited}


@register_disturbance("kill", weight=1.0, seconds=(0.0, 1.5))
async def kill_node(fleet, endpoint, disturbance):
    """Kill a node and start it again."""
    process = endpoint.node
    process.kill()
    await fleet.await_exit(process, GRACE_SECONDS)
    await anyio.sleep(disturbance.seconds)
    await fleet.replace_node(endpoint, process)


@register_disturbance("pause", weight=1.0, seconds=(0.2, 4.0))
async def pause_node(fleet, endpoint, disturbance):
    """Freeze a node for a while."""
    process = endpoint.node
    process.send_signal(signal.SIGSTOP)
    await anyio.sleep(disturbance.seconds)
    process.send_signal(signal.SIGCONT)


@register_disturbance("reload", weight=1.0, seconds=(0.0, 0.0))
async def reload_node(fleet, endpoint, disturbance):
    """Tell a node to read its settings again."""
    endpoint.node.send_signal(signal.SIGHUP)


@register_disturbance("advertise", weight=2.5, seconds=(6.0, 12.0))
async def advertise_rate(fleet, endpoint, disturbance):
    """Let a server advertise a rate, at times one after another."""
    await fleet.set_rate(endpoint, round(1.0 + 9.0 * disturbance.amount, 2))
    await anyio.sleep(disturbance.seconds)
    await fleet.set_rate(endpoint, None)


@register_disturbance("leave", weight=2.0, seconds=(3.0, 6.0))
async def let_server_leave(fleet, endpoint, disturbance):
    """Let a server leave, stay for a while, and be replaced."""
    process = endpoint.server
    await fleet.set_behaviour(endpoint, leaving=True)
    await anyio.sleep(disturbance.seconds)
    await fleet.replace_server(endpoint, process)


@register_disturbance("crash", weight=1.0, seconds=(0.0, 2.0))
async def crash_server(fleet, endpoint, disturbance):
    """Kill a server and start another one at its address."""
    await fleet.replace_server(endpoint, endpoint.server, disturbance.seconds)


@register_disturbance("refuse", weight=1.0, seconds=(1.0, 4.0))
async def refuse_requests(fleet, endpoint, disturbance):
    """Let a server refuse a part of its requests as not run."""
    await fleet.set_behaviour(endpoint, not_run_every=2)
    await anyio.sleep(disturbance.seconds)
    await fleet.set_behaviour(endpoint, not_run_every=0)


@register_disturbance("lose", weight=1.0, seconds=(1.0, 4.0))
async def lose_answers(fleet, endpoint, disturbance):
    """Let a server run a part of its requests and cut their answers off."""
    await fleet.set_behaviour(endpoint, lose_every=5)
    await anyio.sleep(disturbance.seconds)
    await fleet.set_behaviour(endpoint, lose_every=0)


@register_disturbance("slow", weight=1.0, seconds=(1.0, 5.0))
async def slow_server(fleet, endpoint, disturbance):
    """Let a server take longer for its requests, at times longer than clients wait."""
    seconds = 0.2 + 4.0 * disturbance.amount**2
    await fleet.set_behaviour(endpoint, service_seconds=seconds)
    await anyio.sleep(disturbance.seconds)
    await fleet.set_behaviour(endpoint, service_seconds=0.005)


@register_disturbance("store", weight=1.0, seconds=(0.5, 5.0))
async def disturb_store(fleet, endpoint, disturbance):
    """Let the store answer nothing or late."""
    fault = {"down": True} if disturbance.amount < 0.5 else {"delay_seconds": 1.0}
    await _run(fleet.mesh.control_store, "faults", fault)
    await anyio.sleep(disturbance.seconds)
    calm = {"down": False, "delay_seconds": 0.0}
    await _run(fleet.mesh.control_store, "faults", calm)


@register_disturbance("silence", weight=1.0, seconds=(0.2, 3.0))
async def silence_store(fleet, endpoint, disturbance):
    """Let the store lose all calls and watches of a while, on open connections."""
    await _run(fleet.mesh.control_store, "faults", {"silent": True})
    await anyio.sleep(disturbance.seconds)
    await _run(fleet.mesh.control_store, "faults", {"silent": False})


@register_disturbance("restore", weight=1.0, seconds=(0.5, 5.0))
async def restore_store(fleet, endpoint, disturbance):
    """Let the store come back from a copy that is some seconds old."""
    await _run(fleet.mesh.control_store, "copy")
    await anyio.sleep(disturbance.seconds)
    await _run(fleet.mesh.restore_store)


@register_disturbance("configure", weight=1.0, seconds=(0.0, 0.0))
async def move_route(fleet, endpoint, disturbance):
    """Move a route to another service."""
    await fleet.move_route(endpoint.service)
