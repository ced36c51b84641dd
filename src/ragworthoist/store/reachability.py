"""Whether the store answers."""

from ragworthoist.events import Event, log_event


class StoreReachability:
    """Whether the store answers this node, logged when it changes."""

    def __init__(self):
        self.is_reachable = True

    def record_result(self, error):
        """Note the outcome of a call: the error, or None."""
        reachable = error is None
        if reachable == self.is_reachable:
            return
        self.is_reachable = reachable
        event = Event.STORE_AVAILABLE if reachable else Event.STORE_UNAVAILABLE
        log_event(event, error=str(error) if error else "")
