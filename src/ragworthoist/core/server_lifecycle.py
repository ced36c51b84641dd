"""Lifecycle of the backend server beside a node, derived from its reports.

Reports may arrive late, twice, or from an earlier server process. They are ordered by
the start time of the server process, and by a sequence number within one process.
"""

from dataclasses import dataclass
from enum import Enum

ADMIT_SHARE_OF_DRAIN = 0.5
REPORT_TIMEOUT_SECONDS = 12.0


class ServerState(Enum):
    """State of the backend server as its node sees it."""

    UNKNOWN = "unknown"
    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"


class ReportVerdict(Enum):
    """Result of processing a report.

    A `STALE` report is repeated, older than one that was taken, or of an earlier
    instance. A `FOREIGN` report names another service or address. Neither changes
    anything.
    """

    TAKEN = "taken"
    STALE = "stale"
    FOREIGN = "foreign"


@dataclass(frozen=True, slots=True)
class ServerReport:
    """One report of a backend server about itself.

    Attributes
    ----------
    slots : int
        Number of slots that the server reports, 0 if it reports none.
    leaving : bool
        Whether the server reports that it is leaving.
    sequence : int
        Number of the report within one server process.
    server_start_ms : int
        Start time of the server process in milliseconds of the time of day, 0 if it
        is not reported.
    cold_seconds : float
        Time in seconds for which the server will still be slow after its start.
    """

    instance: str
    service: str
    address: str
    slots: int
    leaving: bool
    sequence: int
    server_start_ms: int = 0
    cold_seconds: float = 0.0


class ServerLifecycle:
    """Whether a node may forward calls to the server beside it, and until when.

    Parameters
    ----------
    service, address : str
        Service and address of the server in the settings. A report that names others
        is `FOREIGN`.
    drain_seconds : float
        Time in seconds for which requests may still arrive after the node has
        acknowledged that the server is leaving.

    Attributes
    ----------
    process_number : int
        Number of server processes seen so far. What a server said of itself holds for
        one of them only.
    """

    def __init__(self, service, address, drain_seconds):
        self.service = service
        self.address = address
        self.drain_seconds = drain_seconds
        self.state = ServerState.UNKNOWN
        self.instance = ""
        self.process_number = 0
        self.slots = 0
        self.server_start_ms = 0
        self.sequence = -1
        self.last_seen = 0.0
        self.cold_until = 0.0
        self.admit_until = float("inf")
        self._ended_instances = set()

    def process_report(self, report, now):
        """Process a `ServerReport`; return the `ReportVerdict`."""
        if report.service != self.service or report.address != self.address:
            return ReportVerdict.FOREIGN
        if not self._is_newer(report):
            return ReportVerdict.STALE
        if report.instance != self.instance or (
            0 < self.server_start_ms < report.server_start_ms
        ):
            self._begin_server_process(report.instance, report.server_start_ms)
        elif not self.server_start_ms:
            # The process had been identified by `verify` only.
            self.server_start_ms = report.server_start_ms
        self.sequence = report.sequence
        self.slots = report.slots
        self.last_seen = now
        self.cold_until = now + report.cold_seconds
        if report.leaving:
            self._leave(now)
        elif self.state is ServerState.UNKNOWN:
            self.state = ServerState.READY
        return ReportVerdict.TAKEN

    def verify(self, instance, now):
        """Record that the server has identified itself as `instance` and is ready."""
        if self.state is not ServerState.UNKNOWN or instance in self._ended_instances:
            return
        if instance != self.instance:
            self.process_number += 1
        self.instance = instance
        self.last_seen = now
        self.state = ServerState.READY

    def verify_leaving(self, instance, now):
        """Record that the server has identified itself as `instance` and is leaving."""
        if self.instance not in ("", instance) or instance in self._ended_instances:
            return
        if not self.instance:
            self.process_number += 1
            self.instance = instance
        self.record_leaving(now, admits_calls=False)

    def deregister(self, instance, now):
        """Process a deregistration; return whether `instance` is the present server."""
        self._ended_instances.add(instance)
        if instance != self.instance:
            return False
        self._leave(now)
        return True

    def record_leaving(self, now, admits_calls=True):
        """Record that the present server process has said that it is leaving.

        Unless `admits_calls`, the drain time has already begun elsewhere, and no more
        calls are admitted.
        """
        self._leave(now)
        if not admits_calls:
            self.admit_until = min(self.admit_until, now)

    @property
    def is_leaving(self):
        """Whether the present server process is leaving or has left."""
        return self.state in (ServerState.LEAVING, ServerState.GONE)

    def mark_unverified(self, now):
        """Record that another server, or none, answers at the address."""
        if self.state is ServerState.READY:
            self.state = ServerState.UNKNOWN

    def admits(self, now):
        """Return whether a call may be forwarded to the server at `now`."""
        if self.state is ServerState.READY:
            return True
        return self.state is ServerState.LEAVING and now < self.admit_until

    @property
    def is_ready(self):
        """Whether callers should send calls here."""
        return self.state is ServerState.READY

    def tick(self, now):
        """Update the state of a server that is overdue or has drained.

        A ready server becomes unknown `REPORT_TIMEOUT_SECONDS` after its last report,
        or after `verify` if that was later. A leaving server is gone once it no longer
        admits calls.
        """
        if (
            self.state is ServerState.READY
            and now - self.last_seen > REPORT_TIMEOUT_SECONDS
        ):
            self.state = ServerState.UNKNOWN
        if self.state is ServerState.LEAVING and now >= self.admit_until:
            self.state = ServerState.GONE

    def _is_newer(self, report):
        if report.instance == self.instance:
            if (
                report.server_start_ms
                and self.server_start_ms
                and report.server_start_ms != self.server_start_ms
            ):
                return report.server_start_ms > self.server_start_ms
            return report.sequence > self.sequence
        if report.instance in self._ended_instances:
            return False
        return (
            not (report.server_start_ms and self.server_start_ms)
            or report.server_start_ms >= self.server_start_ms
        )

    def _begin_server_process(self, instance, server_start_ms):
        if self.instance and self.instance != instance:
            self._ended_instances.add(self.instance)
        self._ended_instances.discard(instance)
        self.instance = instance
        self.process_number += 1
        self.server_start_ms = server_start_ms
        self.sequence = -1
        self.state = ServerState.UNKNOWN
        self.admit_until = float("inf")

    def _leave(self, now):
        if self.is_leaving:
            return
        self.state = ServerState.LEAVING
        self.admit_until = now + ADMIT_SHARE_OF_DRAIN * self.drain_seconds
