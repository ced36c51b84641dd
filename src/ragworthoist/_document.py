"""The fleet-wide configuration document: defaults and exceptions.

One document contains everything that operators edit. It is validated here, when it
enters the process, and compiled into `ragworthoist.core.policy.Policy`, which is used
for each call.
"""

from datetime import UTC, datetime
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator
from pydantic_core import PydanticCustomError

from ragworthoist.exceptions import DocumentError

MAX_DOCUMENT_BYTES = 1_000_000
MAX_KINDS = 200
MAX_HISTORY_CHANGES = 50
# Datagrams between nodes carry no larger integers.
MAX_VERSION = 2**63 - 1
# A document of another writer may hold a value that fills a log.
MAX_FOUND_LENGTH = 200

Name = Annotated[str, Field(pattern=r"^[a-z][a-z0-9_-]{0,39}$")]
Milliseconds = Annotated[int, Field(ge=1, le=600_000)]


def _make_rule_error(field, found, allowed):
    """Return the error for a rule that the constraints of a field cannot express."""
    return PydanticCustomError(
        "rule",
        "{field} is {found}, allowed: {allowed}",
        {"field": field, "found": str(found), "allowed": str(allowed)},
    )


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Kind(_Model):
    """One kind of request and how the fleet handles it.

    Examples
    --------
    >>> Kind(name="welfare", service="welfare", rank="urgent").deadline_ms
    1000
    """

    name: Name
    service: Name
    method: str = Field(default="*", pattern=r"^(\*|[A-Z]{1,10})$")
    path_prefix: str = Field(default="/", pattern=r"^/")
    rank: Name
    deadline_ms: Milliseconds = 1000
    weight: float = Field(default=1.0, gt=0, le=1000)
    idempotent: bool | None = None


class Defaults(_Model):
    """Fleet-wide defaults for how overload is handled.

    `ranks` is ordered, most urgent first. `kinds` assigns requests to ranks; requests
    that match no kind get `rank`, or the last of `ranks` if it is not set.
    """

    ranks: list[Name] = Field(default=["normal"], min_length=1, max_length=16)
    rank: Name | None = None
    deadline_ms: Milliseconds = 1000
    retries: int = Field(default=2, ge=0, le=10)
    retry_budget: float = Field(default=0.1, ge=0, le=1)
    retry_bound: Literal["request", "hop"] = "request"
    limit: Literal["latency", "additive", "fixed", "none"] = "latency"
    fixed_limit: int = Field(default=32, ge=1, le=100_000)
    order: Literal["first_in", "newest_when_late", "draw_when_late"] = "draw_when_late"
    shed: Literal["draw", "chance"] = "draw"
    carry_levels: bool = True
    rank_order: bool = True
    queue_ms: Milliseconds = 50
    ticket_seconds: int = Field(default=60, ge=1, le=600)
    tickets: bool = True
    kinds: list[Kind] = Field(default=[], max_length=MAX_KINDS)

    @model_validator(mode="after")
    def _check_references(self):
        ranks = set(self.ranks)
        if len(ranks) != len(self.ranks):
            raise _make_rule_error("names of ranks", self.ranks, "different names")
        if self.rank is not None and self.rank not in ranks:
            raise _make_rule_error("rank", self.rank, self.ranks)
        names = [kind.name for kind in self.kinds]
        if len(set(names)) != len(names):
            raise _make_rule_error("names of kinds", names, "different names")
        for kind in self.kinds:
            if kind.rank not in ranks:
                raise _make_rule_error(f"rank of {kind.name}", kind.rank, self.ranks)
        return self


class ExceptionRule(_Model):
    """An exception to the defaults, with its reason.

    It names a kind, a service, or both, and the fields of the defaults or of the kind
    that it replaces. Without `expires` it does not expire.
    """

    name: Name
    reason: str = Field(min_length=10, max_length=500)
    author: str = Field(min_length=1, max_length=80)
    expires: datetime | None = None
    kind: Name | None = None
    service: Name | None = None
    set: dict[
        Literal[
            "rank",
            "deadline_ms",
            "weight",
            "retries",
            "limit",
            "fixed_limit",
            "order",
            "shed",
            "queue_ms",
            "retry_budget",
        ],
        Any,
    ] = Field(min_length=1)

    @model_validator(mode="after")
    def _check_target(self):
        if self.kind is None and self.service is None:
            raise _make_rule_error(
                "target", None, "an exception names a kind, a service, or both"
            )
        if self.expires is not None and self.expires.tzinfo is None:
            raise _make_rule_error(
                "expires",
                self.expires,
                "a time with zone, such as 2026-01-31T12:00:00Z",
            )
        return self


class Change(_Model):
    """One accepted change in the history of the document."""

    version: int = Field(ge=1, le=MAX_VERSION)
    change_id: str
    author: str
    summary: str = Field(max_length=500)


class Document(_Model):
    """The complete configuration document with its version.

    `version` is incremented with each accepted change. `history` lists the latest
    changes, newest last. When the answer of the store to a write was lost, it shows
    whether the write was accepted.
    """

    version: int = Field(default=0, ge=0, le=MAX_VERSION)
    history: list[Change] = Field(default=[], max_length=MAX_HISTORY_CHANGES)
    defaults: Defaults = Defaults()
    exceptions: list[ExceptionRule] = Field(default=[], max_length=200)

    @model_validator(mode="after")
    def _check_exceptions(self):
        names = [rule.name for rule in self.exceptions]
        if len(set(names)) != len(names):
            raise _make_rule_error("names of exceptions", names, "different names")
        for rule in self.exceptions:
            self._check_overrides(rule)
        return self

    def _check_overrides(self, rule):
        kind_fields = Kind.model_fields.keys() - Defaults.model_fields.keys()
        probe = Kind(name="probe", service="probe", rank=self.defaults.ranks[0])
        for field, value in rule.set.items():
            if field == "rank":
                if value not in self.defaults.ranks:
                    raise _make_rule_error(
                        f"rank in {rule.name}", value, self.defaults.ranks
                    )
                continue
            model, base = Defaults, self.defaults
            if field in kind_fields:
                model, base = Kind, probe
            model.model_validate(base.model_dump() | {field: value})

    def active_exceptions(self, now=None):
        """Return the exceptions that have not expired at `now` (a datetime)."""
        now = now or datetime.now(UTC)
        return [r for r in self.exceptions if r.expires is None or r.expires > now]


def parse_document(raw, source="configuration"):
    """Return the `Document` in `raw` (JSON bytes).

    Raises
    ------
    DocumentError
        If `raw` is longer than `MAX_DOCUMENT_BYTES` or invalid; `source` names it.
    """
    if len(raw) > MAX_DOCUMENT_BYTES:
        raise DocumentError(
            source, "document", f"{len(raw)} bytes", f"at most {MAX_DOCUMENT_BYTES}"
        )
    try:
        return Document.model_validate_json(raw)
    except ValidationError as error:
        raise convert_validation_error(error, source, DocumentError) from None


def validate_document(values, source="configuration"):
    """Return the `Document` with plain `values` (a dict).

    Raises
    ------
    DocumentError
        If a value is invalid; `source` names the document.
    """
    try:
        return Document.model_validate(values)
    except ValidationError as error:
        raise convert_validation_error(error, source, DocumentError) from None


def convert_validation_error(error, source, error_type):
    """Convert a pydantic `ValidationError` to `error_type`, an `InputError` class.

    Only the first of its errors is kept. `source` names the file or document.
    """
    first = error.errors(include_url=False)[0]
    key = ".".join(str(part) for part in first["loc"]) or "document"
    found = first.get("input")
    if isinstance(found, dict | list):
        found = type(found).__name__
    elif len(repr(found)) > MAX_FOUND_LENGTH:
        found = f"{repr(found)[:MAX_FOUND_LENGTH]}..."
    return error_type(source, key, found, first["msg"])
