"""Whose input is parsed next, while some clients send input that is costly to parse.

Answers the load of clients that send very many small items, such as chunks of one
byte: the parser calls back for each, and other connections and timers would wait.
"""

from collections import deque

# Items of one connection that are parsed as they arrive. Ordinary requests have fewer.
FREE_ITEMS = 256
# Items that are parsed in one turn for all connections that have more.
ITEMS_PER_TURN = 2048


class ParsingTurns:
    """Connections whose input has more items than are parsed as they arrive.

    They take turns: in each, a bounded number of items is parsed, and whoever has more
    goes to the end of the queue.

    Examples
    --------
    >>> turns = ParsingTurns()
    >>> turns.join("a")
    >>> turns.join("b")
    >>> turns.take_turn(lambda connection: ITEMS_PER_TURN)
    >>> turns.take_turn(print)
    b
    """

    def __init__(self):
        self._waiting = deque()

    def __bool__(self):
        return bool(self._waiting)

    def join(self, connection):
        """Add `connection` to the end of the queue."""
        self._waiting.append(connection)

    def take_turn(self, parse):
        """Call `parse(connection)` for waiting connections until the turn is over.

        `parse` returns the number of items that were parsed, and may call `join`.
        """
        items = 0
        for _ in range(len(self._waiting)):
            if items >= ITEMS_PER_TURN:
                return
            items += parse(self._waiting.popleft()) or 0
