"""Which nodes watch the store for changes of the configuration.

Watching costs one call for each change and one for each wait, so only the watchers of
a failure domain do it. Those whose watch works tell the other nodes of their domain
several times a second. A node that hears none of them watches the store itself, so that
a change reaches every node that can reach either the store or a watcher.
"""

HEARTBEAT_INTERVAL_SECONDS = 0.4
# Two lost datagrams of each watcher are no reason to watch. A change is still adopted
# within 2 s if the watchers fall silent just before it.
MAX_SILENCE_SECONDS = 1.1
# A node that has begun to watch goes on for this long, so that a link that loses
# datagrams does not make it start over and over.
MIN_WATCH_SECONDS = 4.0


class WatchDuty:
    """Decides whether one node watches the store itself.

    Parameters
    ----------
    now : float
        Time in seconds at which the node starts. It is assumed to have just heard a
        watcher, because it reads the configuration at its start anyway.

    Attributes
    ----------
    heard_at : float
        When a watcher of the failure domain was last heard.

    Examples
    --------
    >>> duty = WatchDuty(now=0.0)
    >>> duty.evaluate(1.0, is_watcher=False), duty.evaluate(1.2, is_watcher=False)
    (False, True)
    >>> duty.record_heartbeat(1.3)
    >>> duty.evaluate(2.0, is_watcher=False), duty.evaluate(9.0, is_watcher=True)
    (True, True)
    """

    def __init__(self, now):
        self.heard_at = now
        self._watch_until = float("-inf")

    def record_heartbeat(self, now):
        """Record that a watcher of this node's failure domain has a working watch."""
        self.heard_at = now

    def evaluate(self, now, is_watcher):
        """Return whether the node has to watch at `now`.

        `is_watcher` tells whether it is one of the watchers of its failure domain.
        """
        if is_watcher or now - self.heard_at > MAX_SILENCE_SECONDS:
            self._watch_until = now + MIN_WATCH_SECONDS
        return now < self._watch_until
