"""What the backend server beside a node says of itself in its answers."""

from ragworthoist.core.notices import ServerNotice
from ragworthoist.events import Event, log_event


class ServerNotices:
    """Applies the notices in answers of the present server process.

    Parameters
    ----------
    lifecycle : ServerLifecycle
        Tells which server process is the present one, and is told when it leaves.
    rate : AdvertisedRate
        Gets the rate that the server advertises.
    arrivals : ArrivalMeter
        Requests that reached the server, for the log.
    """

    def __init__(self, lifecycle, rate, arrivals):
        self._lifecycle = lifecycle
        self._rate = rate
        self._arrivals = arrivals
        self._process_number = lifecycle.process_number
        self._malformed_rate = None
        self._has_answer = False

    def record_response(self, metadata, process_number, sent_at, now):
        """Apply the notices in an answer to a request of this node.

        Parameters
        ----------
        metadata : ResponseMetadata
            The metadata of the answer.
        process_number : int
            `ServerLifecycle.process_number` when the request was sent. The answer of
            an earlier server process changes nothing.
        sent_at : float
            When the request was sent, in seconds.
        now : float
            Present time in seconds.
        """
        self.sync_process()
        if process_number != self._process_number:
            return
        if metadata.is_leaving:
            self._lifecycle.record_leaving(now)
        if metadata.malformed_rate not in (None, self._malformed_rate):
            self._malformed_rate = metadata.malformed_rate
            log_event(
                Event.SERVER_RATE_REFUSED,
                server=self._lifecycle.instance,
                value=metadata.malformed_rate,
            )
        rate = metadata.advertised_rate
        if rate is None and (
            metadata.malformed_rate is not None or not metadata.is_sealed
        ):
            # Only an answer with the server's proof tells that a rate has ended.
            return
        self._has_answer = True
        previous = self._rate.rate
        if self._rate.record_answer(rate, sent_at, now):
            self._log_rate(previous, now)

    def apply_notice(self, notice, now):
        """Apply the `ServerNotice` that came with a caller's call.

        The caller may have got it through an earlier process of this node.

        Returns
        -------
        bool
            False if `notice` says that the server at this node is leaving, so that the
            call must not be forwarded.
        """
        self.sync_process()
        lifecycle = self._lifecycle
        is_start_known = bool(notice.server_start_ms and lifecycle.server_start_ms)
        is_same_start = notice.server_start_ms == lifecycle.server_start_ms
        if notice.server != lifecycle.instance or (
            is_start_known and not is_same_start
        ):
            return True
        if notice.is_leaving and not lifecycle.is_leaving:
            # A server may start again under its id. While a start time is not known,
            # only this call is refused.
            if is_start_known:
                lifecycle.record_leaving(now, admits_calls=False)
            return False
        if notice.rate is not None and not self._has_answer:
            previous = self._rate.rate
            self._rate.adopt(notice.rate, now)
            if previous is None:
                self._log_rate(previous, now)
        return True

    def make_notice(self):
        """Return what callers should know of the server, None if it is nothing."""
        lifecycle = self._lifecycle
        if self._rate.rate is None and not lifecycle.is_leaving:
            return None
        return ServerNotice(
            lifecycle.instance,
            lifecycle.server_start_ms,
            self._rate.rate,
            lifecycle.is_leaving,
        )

    def sync_process(self):
        """Forget what was said if another server process has begun since."""
        if self._process_number == self._lifecycle.process_number:
            return
        self._process_number = self._lifecycle.process_number
        self._malformed_rate = None
        self._has_answer = False
        self._rate.reset()

    def _log_rate(self, previous, now):
        log_event(
            Event.SERVER_RATE_CHANGED,
            server=self._lifecycle.instance,
            rate=self._rate.rate,
            previous=previous,
            requests_per_second=round(self._arrivals.rate(now), 2),
        )
