"""The operators' configuration in the platform's format."""

import json
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

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

Milliseconds = Annotated[float, Field(gt=0)]
Count = Annotated[int, Field(ge=1)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore")


class _Split(_Model):
    service: str
    weight: float = Field(ge=0)


class _PathRule(_Model):
    name: str
    prefix: str = Field(alias="pathPrefix", pattern=r"^/(.*/)?$")
    # Requests of a "safe" route are idempotent, so they may be retried.
    safety: Literal["safe", "unsafe"] = Field(alias="routeKind")
    timeout_ms: Milliseconds = Field(alias="timeoutMs")
    latency_target_ms: Milliseconds = Field(alias="targetLatencyMs")
    # The rank; 0 is the most urgent.
    priority: int = Field(default=0, ge=0)
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
        document = _Configuration.model_validate(json.loads(raw))
    except ValidationError as error:
        raise convert_validation_error(error, "routes", DocumentError) from None
    except ValueError as error:
        raise DocumentError("routes", "document", str(error), "JSON") from None
    return RouteTable(_make_route_document(document))


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
    if rule.service is not None:
        shares = (Share(rule.service, 1.0),)
    else:
        shares = tuple(
            Share(s.service, s.weight) for s in rule.weighted_split if s.weight > 0
        )
    return Route(
        name=rule.name,
        host=host.lower(),
        prefix=rule.prefix,
        idempotent=rule.safety == "safe",
        timeout=rule.timeout_ms / 1000,
        latency_target=rule.latency_target_ms / 1000,
        rank=rule.priority,
        max_attempts=rule.max_attempts,
        shares=shares,
    )
