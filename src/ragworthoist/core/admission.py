"""Admission of calls to one backend server.

The one place of competition: a call is handed over, waits, or is refused. Ranks
are strict: nothing is refused while a call of a lower rank waits. Within a rank
the kinds share the server fairly by weight, and within a kind the draw of the
customer request decides who is shed.
"""

from collections import deque
from dataclasses import dataclass
from enum import IntEnum

from ragworthoist._registry import Registry
from ragworthoist.core.levels import LevelTable
from ragworthoist.core.limits import Sample, limits

queue_orders = Registry("queue order")
shedding_rules = Registry("shedding rule")

MIN_QUEUE_CAPACITY = 32
MAX_QUEUE_CAPACITY = 2000
QUEUE_PER_LIMIT = 6.0
SERVICE_TIME_SMOOTHING = 0.05
# A slower answer moves the quickest known time by this part only, so that it stays near
# the time of the quickest one in twenty.
QUICKEST_SMOOTHING = 0.02
# What is refused teaches nothing: each refusal lowers the time, so that a call is tried
# again after a few dozen at most.
QUICKEST_DECAY = 0.95
UNRANKED_QUEUE_CAPACITY = 1_000_000


class EntryState(IntEnum):
    """How far an entry has come; it moves forward only."""

    WAITING = 0
    RUNNING = 1
    DONE = 2
    SHED = 3


@dataclass(slots=True, eq=False)
class Entry:
    """One call in the admission table.

    `notify` is called with the entry when it leaves the queue: its state is then
    `RUNNING` (hand it over) or `SHED` (it will never run). `queue` is the rank and
    kind it waits under, which a change of policy does not move.
    """

    call: object
    arrived: float
    notify: object
    state: EntryState = EntryState.WAITING
    started: float = 0.0
    queue: tuple = ()


@queue_orders.register("first_in")
def pop_oldest(queue, late):
    """Take the call that has waited longest."""
    return queue.popleft()


@queue_orders.register("newest_when_late")
def pop_newest_when_late(queue, late):
    """Take the newest call when the queue is older than its target."""
    return queue.pop() if late else queue.popleft()


@queue_orders.register("draw_when_late")
def pop_lowest_draw_when_late(queue, late):
    """Take the call with the lowest draw when the queue is older than its target."""
    if not late:
        return queue.popleft()
    entry = min(queue, key=_draw_of)
    queue.remove(entry)
    return entry


@shedding_rules.register("draw")
def choose_highest_draw(queue):
    """Shed the call with the highest draw, the same one at every hop."""
    return max(queue, key=_draw_of)


@shedding_rules.register("chance")
def choose_newest(queue):
    """Shed the newest call, which is arbitrary across hops; a baseline."""
    return queue[-1]


def _draw_of(entry):
    return (entry.call.is_retry, entry.call.draw)


class _KindQueue:
    __slots__ = ("name", "weight", "entries", "virtual_time")

    def __init__(self, name, weight):
        self.name = name
        self.weight = weight
        self.entries = deque()
        self.virtual_time = 0.0


class _RankQueue:
    """The kinds of one rank, sharing by weight with a virtual time each."""

    __slots__ = ("kinds", "virtual_time", "length")

    def __init__(self):
        self.kinds = {}
        self.virtual_time = 0.0
        self.length = 0

    def add(self, entry):
        call = entry.call
        name = entry.queue[1]
        kind = self.kinds.get(name)
        if kind is None:
            kind = self.kinds[name] = _KindQueue(name, call.weight)
        kind.weight = call.weight
        if not kind.entries:
            kind.virtual_time = max(kind.virtual_time, self.virtual_time)
        kind.entries.append(entry)
        self.length += 1

    def next_kind(self):
        waiting = (kind for kind in self.kinds.values() if kind.entries)
        return min(waiting, key=lambda kind: kind.virtual_time)

    def longest_kind(self):
        return max(self.kinds.values(), key=lambda k: len(k.entries) / k.weight)


class Admission:
    """The admission table of one node.

    Parameters
    ----------
    policy : ServicePolicy
        How the service of this node is admitted.
    """

    def __init__(self, policy):
        self.in_flight = 0
        self.levels = LevelTable()
        self.service_time = 0.0
        self._quickest = {}
        self._ranks = {}
        self._length = 0
        self.apply(policy)

    def apply(self, policy):
        """Put another `ServicePolicy` in force; what waits or runs is kept."""
        previous = getattr(self, "policy", None)
        self.policy = policy
        self._pop_next = queue_orders.get(policy.order)
        self._choose_to_shed = shedding_rules.get(policy.shed)
        limit_key = (policy.limit, policy.fixed_limit)
        if previous is None or (previous.limit, previous.fixed_limit) != limit_key:
            self.limiter = limits.get(policy.limit)(policy)

    def __len__(self):
        return self._length

    @property
    def is_busy(self):
        """Whether an arriving call would have to wait."""
        return self._length > 0 or self.in_flight >= self.limiter.limit

    @property
    def capacity(self):
        """Number of calls that may wait."""
        if not self.policy.rank_order:
            return UNRANKED_QUEUE_CAPACITY
        wanted = self.limiter.limit * QUEUE_PER_LIMIT
        return int(max(MIN_QUEUE_CAPACITY, min(MAX_QUEUE_CAPACITY, wanted)))

    def estimate_seconds(self, kind):
        """Return the seconds that a call of `kind` is expected to take, once running.

        A busy server should not spend slots on calls that will mostly be late. With
        room to spare only those are hopeless that are shorter of time than the
        quickest of their kind.
        """
        return self.service_time if self.is_busy else self._quickest.get(kind, 0.0)

    def count_ahead(self, rank):
        """Return how many waiting calls would be handed over before one of `rank`."""
        return sum(queue.length for r, queue in self._ranks.items() if r <= rank)

    def list_waiting(self):
        """Return the entries that wait."""
        return [
            entry
            for rank in self._ranks.values()
            for kind in rank.kinds.values()
            for entry in kind.entries
        ]

    def offer(self, entry, now):
        """Take `entry` in; its `notify` is called now or later."""
        call = entry.call
        if now + self.estimate_seconds(call.kind) >= call.deadline:
            if call.kind in self._quickest:
                self._quickest[call.kind] *= QUICKEST_DECAY
            self._refuse(entry)
            return
        if self.in_flight < self.limiter.limit and not self._length:
            self.levels.record(call.kind, call.rank, False)
            self._start(entry, now)
            return
        self._enqueue(entry)
        if self._length <= self.capacity:
            self.levels.record(call.kind, call.rank, False)
            return
        self._displace(entry)

    def withdraw(self, entry):
        """Remove a waiting `entry`; return whether it had not been handed over."""
        if entry.state is not EntryState.WAITING:
            return entry.state is EntryState.SHED
        self._remove(entry)
        entry.state = EntryState.SHED
        return True

    def finish(self, entry, now, ok=True, onward_seconds=0.0):
        """Account the end of a call that was handed over.

        `onward_seconds` is the time in which onward calls were under way for it.
        """
        entry.state = EntryState.DONE
        latency = now - entry.started
        own = max(0.0, latency - onward_seconds)
        sample = Sample(entry.call.kind, own, latency, self.in_flight, ok)
        self.limiter.record(sample, now)
        self.in_flight -= 1
        if ok:
            change = latency - self.service_time
            self.service_time += SERVICE_TIME_SMOOTHING * change
            self._update_quickest(entry.call.kind, latency)
        self.start_waiting(now)

    def _update_quickest(self, kind, latency):
        known = self._quickest.get(kind)
        if known is None or latency < known:
            self._quickest[kind] = latency
        else:
            self._quickest[kind] = known + QUICKEST_SMOOTHING * (latency - known)

    def release(self, entry, now):
        """Free the place of a call whose hand-over turned out not to happen."""
        entry.state = EntryState.DONE
        self.in_flight -= 1
        self.start_waiting(now)

    def start_waiting(self, now):
        """Hand over waiting calls while the limit allows."""
        while self._length and self.in_flight < self.limiter.limit:
            entry = self._dequeue(now)
            if now + self.service_time >= entry.call.deadline:
                self._shed_entry(entry)
            else:
                self._start(entry, now)

    def tick(self, now):
        """Drop what can no longer be served in time and adjust the levels."""
        for rank in self._ranks.values():
            for kind in rank.kinds.values():
                self._drop_late(kind, now)
        self.start_waiting(now)
        self.levels.tick(now, self._length / self.capacity, self._next_shed_kind())

    def _drop_late(self, kind, now):
        latest = now + self.service_time
        late = [entry for entry in kind.entries if entry.call.deadline <= latest]
        for entry in late:
            self._remove(entry)
            self._shed_entry(entry)

    def _start(self, entry, now):
        entry.state = EntryState.RUNNING
        entry.started = now
        self.in_flight += 1
        entry.notify(entry)

    def _refuse(self, entry):
        self.levels.record(entry.call.kind, entry.call.rank, True)
        entry.state = EntryState.SHED
        entry.notify(entry)

    def _shed_entry(self, entry):
        self.levels.record_late_shed(entry.call.kind)
        entry.state = EntryState.SHED
        entry.notify(entry)

    def _queue_of(self, call):
        # Without ranks there is one queue for all kinds; a baseline.
        return (call.rank, call.kind) if self.policy.rank_order else (0, "")

    def _enqueue(self, entry):
        entry.queue = self._queue_of(entry.call)
        rank = self._ranks.setdefault(entry.queue[0], _RankQueue())
        rank.add(entry)
        self._length += 1

    def _remove(self, entry):
        index, kind = entry.queue
        rank = self._ranks[index]
        rank.kinds[kind].entries.remove(entry)
        rank.length -= 1
        self._length -= 1

    def _next_shed_kind(self):
        return self._lowest_rank().longest_kind().name if self._length else None

    def _lowest_rank(self):
        return self._ranks[max(i for i, rank in self._ranks.items() if rank.length)]

    def _displace(self, arrival):
        kind = self._lowest_rank().longest_kind()
        victim = self._choose_to_shed(kind.entries)
        self._remove(victim)
        if victim is arrival:
            self._refuse(arrival)
            return
        self.levels.record(arrival.call.kind, arrival.call.rank, False)
        self._shed_entry(victim)

    def _dequeue(self, now):
        urgent = min(index for index, rank in self._ranks.items() if rank.length)
        rank = self._ranks[urgent]
        kind = rank.next_kind()
        late = now - kind.entries[0].arrived > self.policy.queue_time
        entry = self._pop_next(kind.entries, late)
        rank.virtual_time = kind.virtual_time
        kind.virtual_time += 1.0 / kind.weight
        rank.length -= 1
        self._length -= 1
        return entry
