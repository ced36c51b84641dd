"""The configuration in force, compiled for fast lookup while serving a call."""

from dataclasses import dataclass

from ragworthoist.core.retries import retry_bounds

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


@dataclass(frozen=True, slots=True)
class KindPolicy:
    """How requests of one kind are treated.

    `rank` is 0 for the most urgent rank. `deadline` is the longest time in seconds that
    a request may take. If `idempotent` is None, the method decides.
    """

    name: str
    rank: int
    deadline: float
    weight: float
    idempotent: bool | None
    retries: int


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """How the nodes beside the servers of one service admit and retry calls.

    A queue is late if its oldest call has waited longer than `queue_seconds`; see
    `admission.queue_orders`. `retry_budget` is the number of retries that each
    successful call adds to the `RetryBudget` of the service. A call is shed, of its
    rank and by `shed`, for each arrival that would wait longer than `max_wait_share`
    times its latency target; 0 sets no such bound. `levels_follow_ranks` is described
    at `LevelTable`. `limit`, `order` and
    `shed` are names in the registries `limits`, `queue_orders` and `shedding_rules`.
    """

    limit: str
    fixed_limit: int
    order: str
    shed: str
    queue_seconds: float
    retry_budget: float
    carry_levels: bool
    rank_order: bool
    max_wait_share: float = 0.0
    levels_follow_ranks: bool = True


class Policy:
    """Lookup of kinds and service policies for one configuration document.

    Parameters
    ----------
    document : ragworthoist.Document
        The accepted document.
    now : datetime, optional
        The time at which the expiry of exceptions is checked, now by default.

    Attributes
    ----------
    ranks : list of str
        Names of the ranks, the most urgent first.
    ticket_lifetime_seconds : float
        Time for which a new ticket is valid.
    tickets : bool
        Whether requests that are not idempotent need a ticket.
    bound_retries : callable
        Function from the registry `retry_bounds` that returns the `RetryAllowance` of
        an onward call.
    retries : int
        Number of retries that `bound_retries` grants per onward call if `retry_bound`
        is "hop".
    """

    def __init__(self, document, now=None):
        self.document = document
        self.version = document.version
        defaults = document.defaults
        self.ranks = defaults.ranks
        self.ticket_lifetime_seconds = float(defaults.ticket_seconds)
        self.tickets = defaults.tickets
        self.retries = defaults.retries
        self.bound_retries = retry_bounds.get(defaults.retry_bound)
        self._exceptions = document.active_exceptions(now)
        self._services = {}
        self._kinds = {}
        self._by_service = {}
        for kind in defaults.kinds:
            self._by_service.setdefault(kind.service, []).append(kind)
        for kinds in self._by_service.values():
            kinds.sort(key=lambda kind: (len(kind.path_prefix), kind.method != "*"))
            kinds.reverse()

    def classify(self, service, method, path):
        """Return the `KindPolicy` of a request.

        A request that matches no configured kind belongs to a kind named after
        its service, with the rank, deadline and retries of the defaults.
        """
        kind = self._match(service, method, path)
        key = (service, kind.name if kind else None)
        found = self._kinds.get(key)
        if found is None:
            found = self._kinds[key] = self._compile_kind(service, kind)
        return found

    def is_idempotent(self, service, method, path):
        """Return whether a request may run more than once."""
        kind = self.classify(service, method, path)
        if kind.idempotent is None:
            return method in IDEMPOTENT_METHODS
        return kind.idempotent

    def service(self, name):
        """Return the `ServicePolicy` of the service called `name`."""
        found = self._services.get(name)
        if found is None:
            found = self._services[name] = self._compile_service(name)
        return found

    @property
    def least_urgent_rank(self):
        """Index of the least urgent rank."""
        return len(self.ranks) - 1

    def _match(self, service, method, path):
        for kind in self._by_service.get(service, ()):
            if kind.method not in ("*", method):
                continue
            if path.startswith(kind.path_prefix):
                return kind
        return None

    def _overrides(self, service, kind):
        merged = {}
        for exception in self._exceptions:
            if exception.service not in (None, service):
                continue
            if exception.kind is not None and exception.kind != kind:
                continue
            merged |= exception.set
        return merged

    def _compile_kind(self, service, kind):
        defaults = self.document.defaults
        name = kind.name if kind else service
        overrides = self._overrides(service, name)
        rank = kind.rank if kind else defaults.rank or self.ranks[-1]
        deadline_ms = kind.deadline_ms if kind else defaults.deadline_ms
        return KindPolicy(
            name=name,
            rank=self.ranks.index(overrides.get("rank", rank)),
            deadline=overrides.get("deadline_ms", deadline_ms) / 1000,
            weight=overrides.get("weight", kind.weight if kind else 1.0),
            idempotent=kind.idempotent if kind else None,
            retries=overrides.get("retries", defaults.retries),
        )

    def _compile_service(self, name):
        defaults = self.document.defaults
        overrides = self._overrides(name, None)
        values = defaults.model_dump(exclude={"kinds"}) | overrides
        return ServicePolicy(
            limit=values["limit"],
            fixed_limit=values["fixed_limit"],
            order=values["order"],
            shed=values["shed"],
            queue_seconds=values["queue_ms"] / 1000,
            retry_budget=values["retry_budget"],
            carry_levels=values["carry_levels"],
            rank_order=values["rank_order"],
        )
