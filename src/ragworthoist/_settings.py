"""Settings of one process, read from a TOML file and checked before use."""

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
    """An IP number and a port, also written as one text.

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
    """What this node is and where it listens."""

    service: Name
    region: Name = "main"
    failure_domain: Name
    entrance: Address
    onward: Address
    peers: Address
    operators: Address
    server: Address


class StoreSettings(_Model):
    """Where the platform's configuration store answers.

    `configuration_key` is where operators keep the configuration, if not under the
    fleet's name.
    """

    url: str = Field(pattern=r"^https?://")
    timeout_ms: int = Field(default=1000, ge=10, le=60_000)
    protocol: str = "etcd"
    configuration_key: str | None = None


class FleetSettings(_Model):
    """What all nodes of one fleet share."""

    name: Name
    key: str = Field(min_length=16, description="secret shared by the fleet's nodes")
    seeds: list[Address] = []


class OperatorSettings(_Model):
    """Access to the operators' address."""

    token: str = Field(min_length=8)


class LogSettings(_Model):
    """Where structured logs go, and how much of them.

    Without `path` they go to standard output or, for a node of the edge with
    tickets, to standard error. Lines beyond the rates are counted instead of
    written.
    """

    path: str | None = None
    lines_per_second: int = Field(default=100, ge=1)
    bytes_per_second: int = Field(default=40_000, ge=1000)


class AttemptNodeSettings(_Model):
    """What a node of the edge for attempts is and where it listens.

    `entrance` takes requests of clients and of the local server, `reports` the
    server's reports, `readiness` the question whether to send clients here.
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

    `drain_ms` is the time after an acknowledged leave of a backend server in which
    requests may still arrive there, `grace_seconds` the time a node has to stop.
    Repeated hand-overs to a service stay below `repeat_ratio` of its requests in
    `repeat_window_seconds`, plus `repeat_extra`.
    """

    drain_ms: float = Field(default=2000, ge=0)
    grace_seconds: float = Field(default=6, gt=0)
    repeat_ratio: float = Field(default=0.1, ge=0)
    repeat_extra: float = Field(default=10, ge=0)
    repeat_window_seconds: float = Field(default=10, gt=0)


class AttemptSettings(_Model):
    """All settings of a node of the edge for attempts."""

    edge: Literal["attempts"]
    node: AttemptNodeSettings
    fleet: FleetSettings
    store: StoreSettings
    log: LogSettings = LogSettings()
    bounds: BoundSettings = BoundSettings()


class Settings(_Model):
    """All settings of a node of the edge with tickets."""

    edge: Literal["tickets"] = "tickets"
    node: NodeSettings
    fleet: FleetSettings
    store: StoreSettings
    operators: OperatorSettings
    log: LogSettings = LogSettings()


def load_settings(path):
    """Return the `Settings` or `AttemptSettings` in the TOML file at `path`.

    Raises
    ------
    SettingsError
        If the file cannot be read, is no TOML, or breaks a rule.
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
