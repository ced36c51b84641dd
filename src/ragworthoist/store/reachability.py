"""Whether the configuration store is reachable."""

from ragworthoist.events import Event, log_event


class StoreReachability:
    """Tracks whether the store answers this node, and logs each change."""

    def __init__(self):
        self.is_reachable = True

    def record_result(self, error):
        """Record the result of a store call: its error, or None for success."""
        reachable = error is None
        if reachable == self.is_reachable:
            return
        self.is_reachable = reachable
        event = Event.STORE_AVAILABLE if reachable else Event.STORE_UNAVAILABLE
        log_event(event, error=str(error) if error else "")
