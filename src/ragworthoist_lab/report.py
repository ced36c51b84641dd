"""Summaries of customers' results, and checks against the servers' records."""

from collections import Counter
from dataclasses import dataclass

RECOVERED_SHARE = 0.95
WINDOW_SECONDS = 0.5


@dataclass(frozen=True)
class KindSummary:
    """Summary of the requests of one kind.

    Parameters
    ----------
    kind, rank : str
        Kind of the requests, and its rank.
    sent : int
        Number of customer requests.
    completed, not_run, unknown : int
        Number of requests that completed with the right body, that were reported as
        not run, and whose outcome is unknown.
    wrong : int
        Number of completed responses with a wrong body.
    p50_ms, p99_ms : float
        Latency of the completed requests, NaN if there are none.
    mean_http_requests : float
        Mean number of HTTP requests sent for each customer request.
    """

    kind: str
    rank: str
    sent: int
    completed: int
    not_run: int
    unknown: int
    wrong: int
    p50_ms: float
    p99_ms: float
    mean_http_requests: float


def summarise_kinds(results):
    """Return a `KindSummary` for each kind in `results`, sorted by rank and kind."""
    groups = {}
    for result in results:
        groups.setdefault((result.rank, result.kind), []).append(result)
    return [_summarise_kind(*key, group) for key, group in sorted(groups.items())]


def _summarise_kind(rank, kind, group):
    seconds = sorted(r.duration_seconds for r in group if r.is_completed)
    return KindSummary(
        kind,
        rank,
        len(group),
        sum(r.is_completed for r in group),
        sum(r.outcome == "not-run" for r in group),
        sum(r.outcome == "unknown" for r in group),
        sum(r.has_wrong_body for r in group),
        1000 * percentile(seconds, 0.50),
        1000 * percentile(seconds, 0.99),
        sum(r.http_requests_sent for r in group) / len(group),
    )


def percentile(sorted_values, share):
    """Return the value below which `share` of the `sorted_values` lie.

    Parameters
    ----------
    sorted_values : list of float
        Values in ascending order; NaN is returned if there are none.
    share : float
        Share of the values, from 0 to 1.
    """
    if not sorted_values:
        return float("nan")
    return sorted_values[min(len(sorted_values) - 1, int(share * len(sorted_values)))]


def print_summaries(summaries):
    """Print summaries as a table."""
    print(
        f"{'kind':<10} {'rank':<8} {'sent':>6} {'compl.':>6} {'notrun':>6} "
        f"{'unknwn':>6} {'wrong':>5} {'p50ms':>7} {'p99ms':>7} {'http':>5}"
    )
    for r in summaries:
        print(
            f"{r.kind:<10} {r.rank:<8} {r.sent:>6} {r.completed:>6} {r.not_run:>6} "
            f"{r.unknown:>6} {r.wrong:>5} {r.p50_ms:>7.1f} {r.p99_ms:>7.1f} "
            f"{r.mean_http_requests:>5.2f}",
            flush=True,
        )


def measure_recovery(results, start):
    """Return the seconds from `start` until nearly all requests complete again.

    That is the start of the first of two consecutive windows of `WINDOW_SECONDS` in
    which at least `RECOVERED_SHARE` of the requests sent complete. None if the
    results contain no such windows.
    """
    windows = {}
    for result in results:
        if result.sent_at >= start:
            index = int((result.sent_at - start) / WINDOW_SECONDS)
            windows.setdefault(index, []).append(result.is_completed)
    recovered = {i for i, w in windows.items() if sum(w) >= RECOVERED_SHARE * len(w)}
    for index in sorted(windows):
        if {index, index + 1} <= recovered:
            return index * WINDOW_SECONDS
    return None


def measure_amplification(results, records):
    """Return the runs that the servers recorded per customer request.

    Runs of onward calls count too, so the result may exceed 1 without any retry.
    """
    customer_items = {result.item for result in results}
    runs = sum(1 for r in _flatten(records) if r["item"] in customer_items)
    return runs / max(1, len(customer_items))


def find_violations(results, records, non_idempotent):
    """Return descriptions of violated guarantees.

    Parameters
    ----------
    results : list of Result
        Results of customer requests.
    records : dict of list
        Runs recorded by the servers, by service.
    non_idempotent : set of str
        Services at which requests other than GET may run only once for each item.
    """
    runs = Counter()
    for service, service_records in records.items():
        for record in service_records:
            runs[service, record["item"], record["method"]] += 1
    violations = [
        f"{method} {item} ran {count} times at {service}"
        for (service, item, method), count in runs.items()
        if service in non_idempotent and method != "GET" and count > 1
    ]
    items_run = {item for _, item, _ in runs}
    for result in results:
        if result.has_wrong_body:
            violations.append(f"{result.item} got a response with a wrong body")
        # With several HTTP requests, an earlier one may have run.
        if (
            result.is_reported_not_run
            and result.http_requests_sent == 1
            and result.item in items_run
        ):
            violations.append(f"{result.item} was reported as not run, but ran")
    return violations


def _flatten(records):
    return [
        record for service_records in records.values() for record in service_records
    ]
