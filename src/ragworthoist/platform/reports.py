"""Decoding of the reports that backend servers send about themselves."""

from typing import Literal
from urllib.parse import parse_qs, urlsplit

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic_core import from_json

from ragworthoist.core.server_lifecycle import ServerReport
from ragworthoist.exceptions import ReportError

_REPORTS_PATH = "/rpc"
_HEARTBEAT = "instances.heartbeat"
_DEREGISTER = "instances.deregister"
_MAX_SLOTS = 2**31 - 1
# Frames between nodes carry no larger integers.
_MAX_INTEGER = 2**63 - 1


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True, allow_inf_nan=False)


class _NodeInfo(_Model):
    # Describes the server. The platform calls it a node, which does not mean the node
    # process of this project.
    service: str = Field(min_length=1)
    version: str = ""
    zone: str = ""
    slots: int = Field(ge=0, le=_MAX_SLOTS)


class _StatusInfo(_Model):
    state: Literal["ready", "draining"]
    seq: int = Field(ge=0, le=_MAX_INTEGER)
    cold_left_ms: float = Field(default=0, ge=0, alias="coldLeftMs", strict=False)


class _Heartbeat(_Model):
    address: str = Field(min_length=1)
    info: _NodeInfo = Field(alias="nodeInfo")
    status: _StatusInfo = Field(alias="statusInfo")
    # Start of the server process, in milliseconds of the server's wall clock; 0 if
    # the report does not give it.
    server_start_ms: int = Field(default=0, ge=0, le=_MAX_INTEGER, alias="born")


def parse_report_target(target):
    """Parse the request target of a report.

    Returns
    -------
    tuple or None
        Whether it is a heartbeat (otherwise a deregistration), and the instance id
        of the server. None if `target` is not that of a report.

    Examples
    --------
    >>> parse_report_target(b"/rpc?call=instances.heartbeat&of=i-1")
    (True, 'i-1')
    """
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
        If the body is not JSON, or a field is missing or invalid.
    """
    try:
        # Unlike `json.loads`, this also raises ValueError for deeply nested values.
        values = from_json(raw, allow_inf_nan=False)
        heartbeat = _Heartbeat.model_validate(values)
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        field = ".".join(str(part) for part in first["loc"])
        raise ReportError(field, first.get("input")) from None
    except ValueError as error:
        raise ReportError("body", str(error)) from None
    return ServerReport(
        instance=instance,
        service=heartbeat.info.service,
        address=heartbeat.address,
        slots=heartbeat.info.slots,
        leaving=heartbeat.status.state == "draining",
        sequence=heartbeat.status.seq,
        server_start_ms=heartbeat.server_start_ms,
        cold_seconds=heartbeat.status.cold_left_ms / 1000,
    )
