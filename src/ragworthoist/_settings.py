"""Settings of one node, read from a TOML file and validated before use.

The key `edge` selects the interface of the node to its clients: "tickets", which has
the `Settings`, or "attempts", which has the `AttemptSettings`.
"""

import tomllib
from pathlib import Path
from typing import Annotated, Literal

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    IPvAnyAddress,
    ValidationError,
    model_validator,
)

from ragworthoist._document import convert_validation_error
from ragworthoist.exceptions import SettingsError

Port = Annotated[int, Field(ge=1, le=65535)]
Name = Annotated[str, Field(pattern=r"^[a-z][a-z0-9_-]{0,39}$")]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Address(_Model):
    """An IP address and a port; a string "host:port" is accepted as well.

    Examples
    --------
    >>> Address(host="127.0.0.1", port=7000).pair
    ('127.0.0.1', 7000)
    """

    host: IPvAnyAddress
    port: Port

    @model_validator(mode="before")
    @classmethod
    def _split_text(cls, value):
        if isinstance(value, str):
            host, _, port = value.rpartition(":")
            return {"host": host, "port": int(port) if port.isdigit() else port}
        return value

    @property
    def pair(self):
        """The address as a (host, port) tuple."""
        return str(self.host), self.port


class NodeSettings(_Model):
    """Service, location and addresses of a node of the edge with tickets.

    `entrance` takes customer requests, `onward` the calls that the backend server
    makes to other services, `peers` the streams and datagrams of other nodes and
    `operators` requests of operators. `server` is the address of the backend server.
    """

    service: Name
    region: Name = "main"
    failure_domain: Name
    entrance: Address
    onward: Address
    peers: Address
    operators: Address
    server: Address


class StoreSettings(_Model):
    """Address and protocol of the platform's configuration store.

    `configuration_key` is the store key of the configuration document, for a platform
    that does not keep it under a key derived from the fleet's name.
    """

    url: str = Field(pattern=r"^https?://")
    timeout_ms: int = Field(default=1000, ge=10, le=60_000)
    protocol: str = "etcd"
    configuration_key: str | None = None


class FleetSettings(_Model):
    """Name, key and seed addresses that all nodes of one fleet share."""

    name: Name
    key: str = Field(min_length=16, description="secret shared by the fleet's nodes")
    seeds: list[Address] = []
    # Whether no node of the fleet has run before, so that the store has no records.
    first_start: bool = False


class OperatorSettings(_Model):
    """The bearer token that requests to the operators' address have to carry."""

    token: str = Field(min_length=8)


class LogSettings(_Model):
    """Destination and maximum rates of structured logs.

    Without `path`, logs go to standard output or, for a node of the edge with
    tickets, to standard error. The rates hold for standard output alone: lines
    beyond them are counted instead of written.
    """

    path: str | None = None
    lines_per_second: int = Field(default=100, ge=1)
    bytes_per_second: int = Field(default=40_000, ge=1000)


class AttemptNodeSettings(_Model):
    """Service, location and addresses of a node of the edge for attempts.

    `entrance` takes requests of clients and of the backend server beside the node,
    `reports` the server's reports of its state, `readiness` the readiness checks of
    the platform, `peers` the streams and datagrams of other nodes. `server` is the
    address of the backend server, `metrics` the address to export metrics on.
    """

    name: str
    service: str = Field(min_length=1)
    region: str
    failure_domain: str
    entrance: Address
    readiness: Address
    reports: Address
    peers: Address
    server: Address
    metrics: Address | None = None


class BoundSettings(_Model):
    """Bounds that hold for the whole fleet.

    `drain_ms` is the time after the leave of a backend server was acknowledged in
    which requests may still arrive there, `grace_seconds` the time a node has to stop.
    Retries forwarded to a service stay below `repeat_ratio` times the clients' requests
    for it in `repeat_window_seconds`, plus `repeat_extra`.
    """

    drain_ms: float = Field(default=2000, ge=0)
    grace_seconds: float = Field(default=6, gt=0)
    repeat_ratio: float = Field(default=0.1, ge=0)
    repeat_extra: float = Field(default=10, ge=0)
    repeat_window_seconds: float = Field(default=10, gt=0)


class LimitSettings(_Model):
    """What the process may use of its machine.

    `memory_mb` is the memory of the machine in units of 2**20 bytes, a quarter of which
    may be held for clients, servers and peers. `descriptors` is the number of
    descriptors, half of which may be connections of clients; without it, the limit
    that the process finds at its start.
    """

    memory_mb: int = Field(default=200, ge=64)
    descriptors: int | None = Field(default=None, ge=64)


class AttemptSettings(_Model):
    """All settings of a node of the edge for attempts."""

    edge: Literal["attempts"]
    node: AttemptNodeSettings
    fleet: FleetSettings
    store: StoreSettings
    log: LogSettings = LogSettings()
    bounds: BoundSettings = BoundSettings()
    limits: LimitSettings = LimitSettings()


class Settings(_Model):
    """All settings of a node of the edge with tickets."""

    edge: Literal["tickets"] = "tickets"
    node: NodeSettings
    fleet: FleetSettings
    store: StoreSettings
    operators: OperatorSettings
    log: LogSettings = LogSettings()
    limits: LimitSettings = LimitSettings()


def load_settings(path):
    """Return the `Settings` or `AttemptSettings` in the TOML file at `path`.

    Raises
    ------
    SettingsError
        If the file cannot be read, is not TOML, or has an invalid value.
    """
    try:
        values = tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise SettingsError(str(path), "file", error.strerror, "a file") from None
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(str(path), "file", str(error), "TOML") from None
    try:
        model = AttemptSettings if values.get("edge") == "attempts" else Settings
        return model.model_validate(values)
    except ValidationError as error:
        raise convert_validation_error(error, str(path), SettingsError) from None
