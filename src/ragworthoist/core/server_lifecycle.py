"""The life of the backend server beside a node, as its reports tell it.

Reports may arrive late, twice, or from an earlier lifetime. They are ordered by
the time of the server's start and by a sequence number within one lifetime.
"""

from dataclasses import dataclass
from enum import Enum

ADMIT_SHARE_OF_DRAIN = 0.5
REPORT_TIMEOUT_SECONDS = 12.0


class ServerState(Enum):
    """What the node knows of its server."""

    UNKNOWN = "unknown"
    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"


class ReportVerdict(Enum):
    """What became of a report."""

    TAKEN = "taken"
    STALE = "stale"
    FOREIGN = "foreign"


@dataclass(frozen=True, slots=True)
class ServerReport:
    """One report of a backend server about itself.

    `born` is the start of its lifetime in milliseconds of the time of day, 0 when
    it is not told. `cold_seconds` is how much longer it stays slow.
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
    """What a node may hand to the server beside it, and until when.

    Parameters
    ----------
    service, address : str
        What the settings say of the server; reports of others are foreign.
    drain_seconds : float
        Time after an acknowledged leave in which requests may still arrive.
    """

    def __init__(self, service, address, drain_seconds):
        self.service = service
        self.address = address
        self.drain_seconds = drain_seconds
        self.state = ServerState.UNKNOWN
        self.instance = ""
        self.slots = 0
        self.server_start_ms = 0
        self.sequence = -1
        self.last_seen = 0.0
        self.cold_until = 0.0
        self.admit_until = float("inf")
        self._ended_instances = set()

    def process_report(self, report, now):
        """Take in a report; return the `ReportVerdict`."""
        if report.service != self.service or report.address != self.address:
            return ReportVerdict.FOREIGN
        if not self._is_newer(report):
            return ReportVerdict.STALE
        if (
            report.instance != self.instance
            or report.server_start_ms > self.server_start_ms
        ):
            self._begin_server_process(report.instance, report.server_start_ms)
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
        """Note that the server itself has said that it is `instance` and ready."""
        if self.state is not ServerState.UNKNOWN or instance in self._ended_instances:
            return
        self.instance = instance
        self.last_seen = now
        self.state = ServerState.READY

    def deregister(self, instance, now):
        """Take in the deregistration of `instance`; return whether it is the own."""
        self._ended_instances.add(instance)
        if instance != self.instance:
            return False
        self._leave(now)
        return True

    def mark_unverified(self, now):
        """Note that another server or none answers at the address."""
        if self.state is ServerState.READY:
            self.state = ServerState.UNKNOWN

    def admits(self, now):
        """Whether a call may be handed to the server at `now`."""
        if self.state is ServerState.READY:
            return True
        return self.state is ServerState.LEAVING and now < self.admit_until

    @property
    def is_ready(self):
        """Whether callers should send calls here."""
        return self.state is ServerState.READY

    def tick(self, now):
        """Stop trusting a server that has been silent for long."""
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
        self.server_start_ms = server_start_ms
        self.sequence = -1
        self.state = ServerState.UNKNOWN
        self.admit_until = float("inf")

    def _leave(self, now):
        if self.state in (ServerState.LEAVING, ServerState.GONE):
            return
        self.state = ServerState.LEAVING
        self.admit_until = now + ADMIT_SHARE_OF_DRAIN * self.drain_seconds
