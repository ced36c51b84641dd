"""Reports of backend servers about themselves, as they arrive."""

import json
from typing import Literal
from urllib.parse import parse_qs, urlsplit

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ragworthoist.core.server_lifecycle import ServerReport
from ragworthoist.exceptions import ReportError

_REPORTS_PATH = "/rpc"
_HEARTBEAT = "instances.heartbeat"
_DEREGISTER = "instances.deregister"


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)


class _NodeInfo(_Model):
    # The server's own description; "node" is not the process of this product.
    service: str = Field(min_length=1)
    version: str = ""
    zone: str = ""
    slots: int = Field(ge=0)


class _StatusInfo(_Model):
    state: Literal["ready", "draining"]
    seq: int = Field(ge=0)
    cold_left_ms: float = Field(default=0, ge=0, alias="coldLeftMs", strict=False)


class _Heartbeat(_Model):
    address: str = Field(min_length=1)
    info: _NodeInfo = Field(alias="nodeInfo")
    status: _StatusInfo = Field(alias="statusInfo")
    # Start of the server's lifetime, in milliseconds of its time of day.
    server_start_ms: int = Field(default=0, alias="born")


def parse_report_target(target):
    """Return (is heartbeat, instance id) of a report's target, None for others."""
    parts = urlsplit(target.decode("latin1"))
    query = parse_qs(parts.query)
    call, instance = query.get("call", [""])[0], query.get("of", [""])[0]
    if parts.path != _REPORTS_PATH or not instance:
        return None
    if call not in (_HEARTBEAT, _DEREGISTER):
        return None
    return call == _HEARTBEAT, instance


def decode_heartbeat(instance, raw):
    """Return the `ServerReport` in the body of a heartbeat.

    Raises
    ------
    ReportError
        If the body cannot be read or a field is missing or of another type.
    """
    try:
        found = _Heartbeat.model_validate(json.loads(raw))
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        field = ".".join(str(part) for part in first["loc"])
        raise ReportError(field, first.get("input")) from None
    except ValueError as error:
        raise ReportError("body", str(error)) from None
    return ServerReport(
        instance=instance,
        service=found.info.service,
        address=found.address,
        slots=found.info.slots,
        leaving=found.status.state == "draining",
        sequence=found.status.seq,
        server_start_ms=found.server_start_ms,
        cold_seconds=found.status.cold_left_ms / 1000,
    )
