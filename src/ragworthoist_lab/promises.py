"""What must hold during a soak, checked by what clients and servers have seen.

Each check yields a line of text for each violation.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass

from ragworthoist._registry import Registry
from ragworthoist_lab.disturbances import MOVED_PREFIX

promises = Registry("promise")

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A node that has been stopped, killed or frozen is bound again after this time.
SETTLE_SECONDS = 3.0
DRAIN_SECONDS = 2.0
CONFIGURATION_SECONDS = 2.0
# The users' bound on what reaches a server that advertises a rate, in any such span.
RATE_SPAN_SECONDS = 4.0
MAX_RATE_FACTOR = 1.5
MAX_EXTRA_REQUESTS = 5
# A node is bound this long after it has passed on an answer with the rate.
RATE_KNOWN_SECONDS = 0.5
# Part of the attempts without a disturbance that must be served.
MIN_SERVED_SHARE = 0.99
# A killed or frozen process ends its connections in its own time.
EXCUSE_SECONDS = 0.5
_UNPLANNED = ("kill", "pause")
_STORE_KINDS = frozenset({"store", "silence", "restore"})
_INTERRUPTIONS = ("kill", "pause", "stop")


@dataclass(slots=True)
class SoakLog:
    """What was seen during a soak; times are those of the monotonic clock.

    Attributes
    ----------
    results : list of AttemptResult
        What clients saw.
    journal : list of dict
        Arrivals and runs at servers.
    spans : list of Span
        The disturbances.
    moves : list of (float, str)
        When a configuration was confirmed, and the service of its moved route.
    rates : list of RateChange
        What servers were told to advertise.
    calm_since : float
        When all disturbances had ended and the fleet had had time to settle.
    """

    results: list
    journal: list
    spans: list
    moves: list
    rates: list
    calm_since: float

    def count_runs(self):
        """Return the number of runs by attempt id."""
        return Counter(e["attempt"] for e in self.journal if e["event"] == "run")

    def was_disturbed(self, place, kinds, start, end):
        """Return whether one of `kinds` was in force at `place` in that time."""
        return any(
            span.place == place and span.kind in kinds and span.overlaps(start, end)
            for span in self.spans
        )


def find_violations(log):
    """Return the violations of all promises in a `SoakLog`, one line each."""
    return [
        f"{name}: {violation}"
        for name in promises.names()
        for violation in promises.get(name)(log)
    ]


@promises.register("an attempt that may not be repeated runs at most once")
def check_repeated_runs(log):
    """Yield attempts that ran more than once though they are not idempotent."""
    runs = log.count_runs()
    for result in log.results:
        if not result.is_idempotent and runs[result.attempt] > 1:
            yield f"{result.attempt} ran {runs[result.attempt]} times"


@promises.register("what is said not to have run never runs")
def check_false_refusals(log):
    """Yield attempts that ran though a status said that they never would."""
    runs = log.count_runs()
    for result in log.results:
        if result.status in NOT_RUN_STATUSES and runs[result.attempt]:
            yield f"{result.attempt} was answered {result.status} and ran"


@promises.register("a success is the whole answer of a server to this attempt")
def check_answers(log):
    """Yield complete successes that are not the server's answer."""
    for result in log.results:
        if result.status == 200 and result.is_complete and not result.is_whole:
            yield f"{result.attempt} got an answer that is not its own or not whole"


@promises.register("what is passed on is answered")
def check_lost_attempts(log):
    """Yield attempts that ran and got no answer though their node went on."""
    runs = log.count_runs()
    for result in log.results:
        if result.status or not runs[result.attempt]:
            continue
        if not log.was_disturbed(
            result.place,
            _UNPLANNED,
            result.sent_at - EXCUSE_SECONDS,
            result.ended_at + EXCUSE_SECONDS,
        ):
            yield f"{result.attempt} ran and got no answer"


@promises.register("a client that reads late gets its whole answer")
def check_late_readers(log):
    """Yield attempts of a calm fleet that ran and whose answer was cut."""
    runs = log.count_runs()
    for result in log.results:
        if not result.reads_late or result.sent_at < log.calm_since:
            continue
        if runs[result.attempt] and not result.is_whole:
            waited = result.ended_at - result.sent_at
            yield f"{result.attempt} ran and was cut after {waited:.1f} s"


@promises.register("a planned stop ends within its grace")
def check_stops(log):
    """Yield planned stops that had to be ended by a kill."""
    for span in log.spans:
        if span.kind != "stop" or span.values.get("has_exited", True):
            continue
        if not log.was_disturbed(span.place, _UNPLANNED, span.start, span.end):
            yield f"the node at place {span.place} was still running"


@promises.register("a server gets no more than the rate that it advertises")
def check_rates(log):
    """Yield servers that got more than the bound allows from nodes that knew it."""
    results = {result.attempt: result for result in log.results}
    for change in log.rates:
        if change.rate is None:
            continue
        server, rate, since = change.server, change.rate, change.confirmed_at
        later = [c.sent_at for c in log.rates if c.server == server]
        until = min((t for t in later if t > since), default=float("inf"))
        known_since = _find_first_notices(log, "rate", server, since)
        times = sorted(
            entry["at"]
            for entry in log.journal
            if entry["event"] == "arrival"
            and entry["server"] == server
            and since + SETTLE_SECONDS <= entry["at"] < until
            and _is_bound(log, results.get(entry["attempt"]), known_since, entry["at"])
        )
        allowed = MAX_RATE_FACTOR * rate * RATE_SPAN_SECONDS + MAX_EXTRA_REQUESTS
        for first in times:
            count = sum(first <= time < first + RATE_SPAN_SECONDS for time in times)
            if count > allowed:
                yield f"{server} got {count} where {allowed:.1f} were allowed"
                break


@promises.register("a server that has said that it leaves gets nothing new")
def check_leaving(log):
    """Yield arrivals at a server long after a node passed on that it is leaving."""
    results = {result.attempt: result for result in log.results}
    first_notices = {}
    for entry in log.journal:
        result = results.get(entry["attempt"])
        if entry["event"] != "arrival" or result is None:
            continue
        server = entry["server"]
        if server not in first_notices:
            first_notices[server] = _find_first_notices(log, "leaving", server, 0.0)
        known_at = first_notices[server].get(result.place)
        if known_at is None or result.sent_at <= known_at + DRAIN_SECONDS:
            continue
        if not log.was_disturbed(
            result.place, _INTERRUPTIONS, known_at, result.sent_at
        ):
            late = result.sent_at - known_at
            yield f"{result.attempt}, sent {late:.1f} s later, reached {server}"


@promises.register("a configuration is in force soon after its confirmation")
def check_moves(log):
    """Yield attempts that only an older configuration sends to where they ran."""
    services = defaultdict(set)
    for entry in log.journal:
        services[entry["attempt"]].add(entry["service"])
    store_spans = [span for span in log.spans if span.kind in _STORE_KINDS]
    for result in log.results:
        if not result.target.startswith(MOVED_PREFIX):
            continue
        bound_until = result.sent_at - CONFIGURATION_SECONDS
        settled = [move for move in log.moves if move[0] <= bound_until]
        if not settled or log.was_disturbed(
            result.place,
            _INTERRUPTIONS,
            settled[-1][0] - SETTLE_SECONDS,
            result.ended_at,
        ):
            continue
        if any(
            s.overlaps(settled[-1][0] - SETTLE_SECONDS, result.sent_at)
            for s in store_spans
        ):
            continue
        allowed = {settled[-1][1]}
        allowed |= {move[1] for move in log.moves if move[0] > bound_until}
        if not services[result.attempt] <= allowed:
            yield f"{result.attempt} ran at {services[result.attempt]}, not {allowed}"


@promises.register("a fleet without disturbances serves all attempts")
def check_recovery(log):
    """Yield the share that was served after all disturbances, if it is too low."""
    calm = [result for result in log.results if result.sent_at >= log.calm_since]
    served = sum(result.status == 200 and result.is_whole for result in calm)
    if not calm or served < MIN_SERVED_SHARE * len(calm):
        yield f"{served} of {len(calm)} were served"


def _find_first_notices(log, notice, server, since):
    """Return when the node at each place first passed on `notice` of `server`."""
    first = {}
    for result in log.results:
        is_of_server = notice in result.notices and result.server == server
        if is_of_server and result.ended_at >= since:
            known_at = first.get(result.place, float("inf"))
            first[result.place] = min(known_at, result.ended_at)
    return first


def _is_bound(log, result, known_since, at):
    """Return whether the node of `result` had to keep the rate at the time `at`."""
    if result is None or result.place not in known_since:
        return False
    known_at = known_since[result.place]
    return known_at + RATE_KNOWN_SECONDS <= at and not log.was_disturbed(
        result.place, _INTERRUPTIONS, known_at, at
    )
