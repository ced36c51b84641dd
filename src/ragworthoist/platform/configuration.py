"""The operators' configuration in the platform's format."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator
from pydantic_core import from_json

from ragworthoist._document import convert_validation_error
from ragworthoist.core.routes import (
    RequestLimits,
    Route,
    RouteDocument,
    RouteTable,
    ServiceInfo,
    Share,
)
from ragworthoist.exceptions import DocumentError

# Frames between nodes carry no larger integers.
MAX_INTEGER = 2**63 - 1

Milliseconds = Annotated[float, Field(gt=0)]
Count = Annotated[int, Field(ge=1, le=MAX_INTEGER)]

# Requests of an idempotent kind may be retried even if they may have run. Other
# requests are retried only if it is certain that they have not. An upload differs from
# other unsafe requests only in the size of its body.
_IS_IDEMPOTENT = {"safe": True, "unsafe": False, "upload": False}


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", allow_inf_nan=False)


class _Split(_Model):
    service: str
    weight: float = Field(ge=0)


class _PathRule(_Model):
    name: str
    prefix: str = Field(alias="pathPrefix", pattern=r"^/(.*/)?$")
    kind: Literal[tuple(_IS_IDEMPOTENT)] = Field(alias="routeKind")
    timeout_ms: Milliseconds = Field(alias="timeoutMs")
    latency_target_ms: Milliseconds = Field(alias="targetLatencyMs")
    # The rank; 0 is the most urgent.
    priority: int = Field(default=0, ge=0, le=MAX_INTEGER)
    service: str | None = None
    weighted_split: list[_Split] | None = Field(default=None, alias="weightedSplit")
    # Maximum number of endpoints to which one attempt of a client is forwarded. How
    # many attempts the client makes is not limited by it.
    max_attempts: Count = Field(default=1, alias="maxAttempts")

    @model_validator(mode="after")
    def _check_target(self):
        if self.service is None and not any(
            s.weight > 0 for s in self.weighted_split or ()
        ):
            raise ValueError("a route needs a service or a split with positive weight")
        return self

    @property
    def shares(self):
        """The services of this route, with their weights."""
        if self.service is not None:
            return (Share(self.service, 1.0),)
        return tuple(
            Share(part.service, part.weight)
            for part in self.weighted_split
            if part.weight > 0
        )


class _VirtualHost(_Model):
    host: str
    rules: list[_PathRule] = Field(alias="pathRules")


class _Service(_Model):
    name: str
    health_path: str = Field(default="/health", alias="healthPath")
    max_connections: Count = Field(default=100, alias="maxConnections")


class _Limits(_Model):
    max_header_bytes: Count = Field(default=16_384, alias="maxHeaderBytes")
    max_body_bytes: Count = Field(default=64 * 1024 * 1024, alias="maxBodyBytes")
    header_timeout_ms: Milliseconds = Field(default=3000, alias="headerTimeoutMs")
    idle_timeout_ms: Milliseconds = Field(default=15_000, alias="idleTimeoutMs")


class _Configuration(_Model):
    # Eight hexadecimal digits.
    version: str = Field(pattern=r"^[0-9a-fA-F]{8}$")
    services: list[_Service] = []
    limits: _Limits = _Limits()
    virtual_hosts: list[_VirtualHost] = Field(default=[], alias="virtualHosts")

    @model_validator(mode="after")
    def _check_routes(self):
        known = {service.name for service in self.services}
        places = set()
        for host in self.virtual_hosts:
            for rule in host.rules:
                for share in rule.shares:
                    if share.service not in known:
                        raise ValueError(
                            f"route {rule.name} names service {share.service!r}, "
                            "which the configuration does not list"
                        )
                place = (host.host.lower(), rule.prefix)
                if place in places:
                    raise ValueError(f"route {rule.name} repeats host and prefix")
                places.add(place)
        return self


def compile_routes(raw, _now=None):
    """Return the `RouteTable` of the configuration in `raw`.

    Parameters
    ----------
    raw : bytes
        The configuration as JSON.
    _now : object, optional
        Ignored. `ConfigurationTable` passes it to every compiler.

    Raises
    ------
    DocumentError
        If `raw` is not JSON, or a field is missing or invalid.
    """
    try:
        # Unlike `json.loads`, this also raises ValueError for deeply nested values, and
        # for text that cannot be encoded.
        values = from_json(raw, allow_inf_nan=False)
        document = _Configuration.model_validate(values)
    except ValidationError as error:
        refusal = convert_validation_error(error, "routes", DocumentError)
        key = _name_route(values, refusal.key)
        raise DocumentError("routes", key, refusal.found, refusal.allowed) from None
    except ValueError as error:
        raise DocumentError("routes", "document", str(error), "JSON") from None
    return RouteTable(_make_route_document(document))


def _name_route(values, key):
    """Return `key` with the name of its route in place of the route's position.

    Examples
    --------
    >>> values = {"virtualHosts": [{"pathRules": [{"name": "shop"}]}]}
    >>> _name_route(values, "virtualHosts.0.pathRules.0.routeKind")
    'route shop: routeKind'
    """
    parts = key.split(".")
    if parts[0::2][:2] != ["virtualHosts", "pathRules"] or len(parts) < 4:
        return key
    try:
        rule = values["virtualHosts"][int(parts[1])]["pathRules"][int(parts[3])]
        name = rule["name"]
    except (KeyError, TypeError):
        return key
    return f"route {name}: {'.'.join(parts[4:]) or 'target'}"


def _make_route_document(document):
    limits = document.limits
    return RouteDocument(
        version=int(document.version, 16),
        routes=tuple(
            _make_route(host.host, rule)
            for host in document.virtual_hosts
            for rule in host.rules
        ),
        services={
            s.name: ServiceInfo(s.name, s.health_path, s.max_connections)
            for s in document.services
        },
        limits=RequestLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
    )


def _make_route(host, rule):
    return Route(
        name=rule.name,
        host=host.lower(),
        prefix=rule.prefix,
        idempotent=_IS_IDEMPOTENT[rule.kind],
        timeout=rule.timeout_ms / 1000,
        latency_target=rule.latency_target_ms / 1000,
        rank=rule.priority,
        max_attempts=rule.max_attempts,
        shares=rule.shares,
    )
