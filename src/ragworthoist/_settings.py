"""Settings of one process, read from a TOML file and checked before use."""

import tomllib
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, IPvAnyAddress, ValidationError

from ragworthoist._document import convert_validation_error
from ragworthoist.exceptions import SettingsError

Port = Annotated[int, Field(ge=1, le=65535)]
Name = Annotated[str, Field(pattern=r"^[a-z][a-z0-9_-]{0,39}$")]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Address(_Model):
    """An IP number and a port.

    Examples
    --------
    >>> Address(host="127.0.0.1", port=7000).pair
    ('127.0.0.1', 7000)
    """

    host: IPvAnyAddress
    port: Port

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
    """Where the platform's configuration store answers."""

    url: str = Field(pattern=r"^https?://")
    timeout_ms: int = Field(default=1000, ge=10, le=60_000)
    protocol: str = "etcd"


class FleetSettings(_Model):
    """What all nodes of one fleet share."""

    name: Name
    key: str = Field(min_length=16, description="secret shared by the fleet's nodes")
    seeds: list[Address] = []


class OperatorSettings(_Model):
    """Access to the operators' address."""

    token: str = Field(min_length=8)


class LogSettings(_Model):
    """Where structured logs go."""

    path: str | None = None


class Settings(_Model):
    """All settings of a node."""

    node: NodeSettings
    fleet: FleetSettings
    store: StoreSettings
    operators: OperatorSettings
    log: LogSettings = LogSettings()


def load_settings(path):
    """Return the `Settings` in the TOML file at `path`.

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
        return Settings.model_validate(values)
    except ValidationError as error:
        raise convert_validation_error(error, str(path), SettingsError) from None
