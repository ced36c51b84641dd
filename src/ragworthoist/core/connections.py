"""How many connections of clients a process keeps, and which it closes first.

Answers the load of clients that open connections and keep them: without a bound, no
descriptor is left for connections to servers, peers and the store.
"""

import heapq

# Share of a process's descriptors for the connections of clients. The others are for
# files, servers, peers and the store.
CLIENT_SHARE = 0.5
# Share of the bound that is closed at once, so that the choice is rarely made.
CLOSED_SHARE = 0.05


class ConnectionBudget:
    """Bound on the number of connections at one address.

    Parameters
    ----------
    limit : float, optional
        Largest number of connections.
    """

    def __init__(self, limit=float("inf")):
        self.limit = limit

    def select_excess(self, connections):
        """Return the connections to close before another one is kept.

        Those are returned that have waited longest for their clients: without a
        request, for the rest of one, or for the client to read an answer. A connection
        whose request is in progress waits for this node and is not returned.

        Parameters
        ----------
        connections : collection
            Objects with an attribute `waiting_since`, the time in seconds from which
            the connection has waited for its client, None if it does not.

        Returns
        -------
        list or None
            The connections to close, empty if there is room. None if none can be
            closed, so that the new connection has to be refused.

        Examples
        --------
        >>> from types import SimpleNamespace as Connection
        >>> early, late = Connection(waiting_since=1.0), Connection(waiting_since=2.0)
        >>> budget = ConnectionBudget(limit=2)
        >>> budget.select_excess([late, early]) == [early]
        True
        >>> budget.select_excess([late])
        []
        """
        excess = len(connections) + 1 - self.limit
        if excess <= 0:
            return []
        count = max(excess, int(self.limit * CLOSED_SHARE))
        waiting = [c for c in connections if c.waiting_since is not None]
        selected = heapq.nsmallest(count, waiting, key=lambda c: c.waiting_since)
        return selected if len(selected) >= excess else None

    def make_room(self, connections):
        """Close connections, if needed, before another one is added.

        Parameters
        ----------
        connections : set
            The connections, as for `select_excess`; they also have a method
            `close_at_once`. Those that are closed are removed.

        Returns
        -------
        bool
            Whether there is room for another connection.
        """
        excess = self.select_excess(connections)
        if excess is None:
            return False
        for connection in excess:
            connections.discard(connection)
            connection.close_at_once()
        return True
