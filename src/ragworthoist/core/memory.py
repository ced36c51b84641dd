"""How much memory a process holds for others, and what it drops first.

Answers the load of clients, servers and peers that make a process hold bytes and never
let it finish: uploads that stop short, heads without end, answers that nobody reads.
"""

# What objects cost besides their bytes.
HEADER_OVERHEAD_BYTES = 200
REQUEST_OVERHEAD_BYTES = 4096
# Share of a machine's memory that may be held. The rest is for the program and for what
# is not counted exactly, such as memory that the allocator has not returned.
HELD_SHARE = 0.25
# Evictions go on until this share of the bound is held, so that they are rare.
RELIEVED_SHARE = 0.8


class MemoryBudget:
    """Bytes that one process holds for others, counted by account.

    When more than the bound is held, the largest accounts are evicted, and among equal
    ones those opened first. An ordinary
    request holds little and for a short time, so it is among the last.

    Parameters
    ----------
    limit_bytes : float, optional
        Bound on the sum of all accounts.

    Attributes
    ----------
    held_bytes : int
        Sum of all accounts.
    evicted_count : int
        Number of accounts that have been evicted.

    Examples
    --------
    >>> budget = MemoryBudget(100)
    >>> large = budget.open_account(lambda: print("large is evicted"))
    >>> small = budget.open_account(lambda: print("small is evicted"))
    >>> large.add(70)
    >>> small.add(40)
    large is evicted
    >>> budget.held_bytes
    40
    """

    def __init__(self, limit_bytes=float("inf")):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.evicted_count = 0
        # In the order in which they were opened.
        self._accounts = {}

    def open_account(self, evict=None):
        """Return a new `MemoryAccount`.

        Parameters
        ----------
        evict : callable, optional
            Called without arguments once the account is evicted; the owner has to drop
            what it holds. An account without it is counted and never evicted.
        """
        account = MemoryAccount(self, evict)
        self._accounts[account] = None
        return account

    def relieve(self):
        """Evict accounts if more than the bound is held."""
        if self.held_bytes <= self.limit_bytes:
            return
        for account in self._select(self.limit_bytes * RELIEVED_SHARE):
            self.evicted_count += 1
            account.evict()

    def describe(self):
        """Return the state as plain values."""
        return {
            "held_bytes": self.held_bytes,
            "limit_bytes": self.limit_bytes,
            "accounts": len(self._accounts),
            "evicted": self.evicted_count,
        }

    def _select(self, goal_bytes):
        """Return the accounts to evict, largest first, until `goal_bytes` are held."""
        evictable = [a for a in self._accounts if a.is_evictable and a.held_bytes]
        evictable.sort(key=_get_held_bytes, reverse=True)
        remaining = self.held_bytes
        for index, account in enumerate(evictable):
            if remaining <= goal_bytes:
                return evictable[:index]
            remaining -= account.held_bytes
        return evictable

    def _forget(self, account):
        self.held_bytes -= account.held_bytes
        self._accounts.pop(account, None)


class MemoryAccount:
    """Bytes that one owner holds, as part of a `MemoryBudget`.

    The owner closes the account on every way out, and leaving its context does so as
    well. A closed account counts nothing.
    """

    __slots__ = ("_budget", "_evict", "held_bytes")

    def __init__(self, budget, evict):
        self._budget = budget
        self._evict = evict
        self.held_bytes = 0

    def __enter__(self):
        return self

    def __exit__(self, *_exception):
        self.close()

    @property
    def is_evictable(self):
        """Whether the owner can be told to drop what it holds."""
        return self._evict is not None

    @property
    def is_open(self):
        """Whether the account is neither closed nor evicted."""
        return self._budget is not None

    def add(self, count):
        """Count `count` more bytes, or fewer if it is negative."""
        budget = self._budget
        if budget is None:
            return
        self.held_bytes += count
        budget.held_bytes += count
        if budget.held_bytes > budget.limit_bytes:
            budget.relieve()

    def resize(self, count):
        """Count `count` bytes in all."""
        if count != self.held_bytes:
            self.add(count - self.held_bytes)

    def close(self):
        """Give back what is counted."""
        if self._budget is not None:
            budget, self._budget = self._budget, None
            budget._forget(self)
            self.held_bytes = 0
            # Otherwise owner and account would refer to each other, and what the owner
            # holds would stay in memory until the next collection of cycles.
            self._evict = None

    def evict(self):
        """Close the account and tell its owner."""
        evict = self._evict
        self.close()
        evict()


def measure_headers(headers):
    """Return the bytes that `headers`, a list of (name, value), take in memory."""
    return sum(
        len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in headers
    )


def _get_held_bytes(account):
    return account.held_bytes
