"""Routes of customer requests: which services serve them, and with which limits."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Share:
    """One part of a weighted split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How the requests under one prefix of one host are treated.

    Attributes
    ----------
    timeout : float
        Longest time in seconds that a client is kept waiting.
    latency_target : float
        Latency to aim for, in seconds.
    max_attempts : int
        Largest number of endpoints to which one attempt of a client may be forwarded.
    shares : tuple of Share
        Services between which the requests are split.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout: float
    latency_target: float
    rank: int
    max_attempts: int
    shares: tuple


@dataclass(frozen=True, slots=True)
class ServiceInfo:
    """Configuration of one service."""

    name: str
    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the requests of clients, in bytes and seconds."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    head_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class RouteDocument:
    """One version of the operators' configuration."""

    version: int
    routes: tuple
    services: dict
    limits: RequestLimits


class _PrefixTable:
    """Routes of one host; a lookup takes one step for each distinct prefix length."""

    __slots__ = ("_routes", "_lengths")

    def __init__(self):
        self._routes = {}
        self._lengths = []

    def add(self, route):
        self._routes.setdefault(route.prefix, route)
        length = len(route.prefix)
        if length not in self._lengths:
            self._lengths.append(length)
            self._lengths.sort(reverse=True)

    def find(self, path):
        for length in self._lengths:
            found = self._routes.get(path[:length])
            if found is not None:
                return found
        return None


class RouteTable:
    """A `RouteDocument` compiled for fast lookup while serving a request.

    Examples
    --------
    >>> route = Route("shop", "a.example", "/x/", True, 1.0, 0.1, 0, 2,
    ...               (Share("shop", 1.0),))
    >>> document = RouteDocument(1, (route,), {}, RequestLimits())
    >>> RouteTable(document).find("a.example", "/x/y").name
    'shop'
    >>> RouteTable(document).find("a.example", "/z/") is None
    True
    """

    def __init__(self, document):
        self.document = document
        self.version = document.version
        self.limits = document.limits
        self._hosts = {}
        for route in document.routes:
            self._hosts.setdefault(route.host, _PrefixTable()).add(route)

    def find(self, host, path):
        """Return the route with the longest prefix of `path`, or None."""
        table = self._hosts.get(host)
        return table.find(path) if table is not None else None

    def service(self, name):
        """Return the `ServiceInfo` of the service called `name`, or None."""
        return self.document.services.get(name)


@dataclass(slots=True)
class _SplitState:
    shares: tuple
    current_weights: list = field(default_factory=list)


class Splitter:
    """Splits the requests of a route between services by smooth weighted round robin.

    Every run of requests, however short, stays close to the weights.
    """

    def __init__(self):
        self._states = {}

    def choose(self, route):
        """Return the name of the service for the next request of `route`."""
        if len(route.shares) == 1:
            return route.shares[0].service
        state = self._states.get(route.name)
        if state is None or state.shares != route.shares:
            state = _SplitState(route.shares, [0.0] * len(route.shares))
            self._states[route.name] = state
        total = 0.0
        for index, share in enumerate(route.shares):
            state.current_weights[index] += share.weight
            total += share.weight
        chosen = max(range(len(route.shares)), key=state.current_weights.__getitem__)
        state.current_weights[chosen] -= total
        return route.shares[chosen].service
