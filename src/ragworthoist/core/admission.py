"""Admission of calls to one backend server.

Every call to the server passes through one table, where it is forwarded, waits or is
refused. Ranks have strict priority: no call is shed for lack of room while a call of a
less urgent rank waits. Within a rank the kinds share the server fairly by weight.
Within a kind retries are shed first, and then the calls with the highest draws.
"""

from collections import deque
from dataclasses import dataclass
from enum import IntEnum

from ragworthoist._registry import Registry
from ragworthoist.core.advertised_rate import AdvertisedRate
from ragworthoist.core.levels import LevelTable
from ragworthoist.core.limits import Sample, limits

queue_orders = Registry("queue order")
shedding_rules = Registry("shedding rule")

MIN_QUEUE_CAPACITY = 32
MAX_QUEUE_CAPACITY = 2000
QUEUE_CAPACITY_PER_LIMIT = 6.0
SERVICE_TIME_SMOOTHING = 0.05
# A slower call moves the quickest time of its kind by this share of the difference, so
# little that the time stays near the quickest 5 % of the calls.
QUICKEST_SMOOTHING = 0.02
# A refused call yields no measurement. Each refusal lowers the quickest time by this
# factor, so that a call is tried again after a few dozen refusals at most.
QUICKEST_DECAY = 0.95
UNRANKED_QUEUE_CAPACITY = 1_000_000
# A call waits for the rate of a server for at most this share of the time after which
# it could no longer be served.
MAX_RATE_WAIT_SHARE_OF_SLACK = 0.5


class EntryState(IntEnum):
    """State of an entry. It only changes to a state further down this list."""

    WAITING = 0
    RUNNING = 1
    DONE = 2
    SHED = 3


@dataclass(slots=True, eq=False)
class Entry:
    """One call in the admission table.

    Attributes
    ----------
    arrived : float
        Time of arrival in seconds.
    notify : callable
        Called with the entry when it is started or shed, but not when it is withdrawn.
        The state is then `RUNNING` (forward the call now) or `SHED` (the call will
        never run).
    started : float
        Time at which the call was forwarded, in seconds.
    queue : tuple
        Rank and kind under which the entry waits. A change of policy does not move
        it.
    is_rate_limited : bool
        Whether the entry was shed because of the rate that the server advertises.
    """

    call: object
    arrived: float
    notify: object
    state: EntryState = EntryState.WAITING
    started: float = 0.0
    queue: tuple = ()
    is_rate_limited: bool = False


@queue_orders.register("first_in")
def pop_oldest(queue, is_queue_late):
    """Remove and return the entry that has waited longest."""
    return queue.popleft()


@queue_orders.register("newest_when_late")
def pop_newest_when_late(queue, is_queue_late):
    """Remove and return the newest entry if the queue is late, else the oldest.

    A queue is late if its oldest entry has waited longer than the policy's
    `queue_seconds`.
    """
    return queue.pop() if is_queue_late else queue.popleft()


@queue_orders.register("draw_when_late")
def pop_lowest_draw_when_late(queue, is_queue_late):
    """Remove and return the oldest entry or, if the queue is late, the lowest draw.

    A queue is late as in `pop_newest_when_late`. First attempts then precede retries,
    and entries with a lower draw precede others.
    """
    if not is_queue_late:
        return queue.popleft()
    entry = min(queue, key=_shedding_key)
    queue.remove(entry)
    return entry


@shedding_rules.register("draw")
def choose_highest_draw(queue):
    """Return the entry with the highest draw; retries precede first attempts.

    The draw of a request is the same at every hop, so all hops shed the same requests.
    """
    return max(queue, key=_shedding_key)


@shedding_rules.register("chance")
def choose_newest(queue):
    """Return the newest entry, an arbitrary request at each hop (a baseline)."""
    return queue[-1]


def _shedding_key(entry):
    # Retries are shed before first attempts, whatever their draw.
    return (entry.call.is_retry, entry.call.draw)


class _KindQueue:
    __slots__ = ("name", "weight", "entries", "virtual_time")

    def __init__(self, name, weight):
        self.name = name
        self.weight = weight
        self.entries = deque()
        self.virtual_time = 0.0


class _RankQueue:
    """Waiting calls of one rank, with weighted fair queueing between the kinds.

    The kind with the lowest virtual time is next. Each of its calls that leaves the
    queue to be forwarded advances that time by 1 / weight.
    """

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
        How calls to the server beside this node are admitted.
    rate : AdvertisedRate, optional
        The rate of the server, kept over all calls.

    Attributes
    ----------
    in_flight : int
        Number of calls that were forwarded to the server and have not ended.
    levels : LevelTable
        Admission levels of the kinds.
    limiter : object
        Concurrency limit in force, one of the registry `limits`.
    service_time : float
        Smoothed latency of the calls that succeeded, in seconds.
    """

    def __init__(self, policy, rate=None):
        self.in_flight = 0
        self.rate = rate or AdvertisedRate()
        self.levels = LevelTable(policy.levels_follow_ranks)
        self.service_time = 0.0
        self._quickest = {}
        self._ranks = {}
        self._length = 0
        self.apply(policy)

    def apply(self, policy):
        """Replace the `ServicePolicy`; calls that wait or run are kept."""
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
        wanted = self.limiter.limit * QUEUE_CAPACITY_PER_LIMIT
        return int(max(MIN_QUEUE_CAPACITY, min(MAX_QUEUE_CAPACITY, wanted)))

    def estimate_seconds(self, kind):
        """Return the seconds that a call of `kind` is expected to take once it runs.

        While the server is busy this is the mean service time, because slots should
        not be spent on calls that will mostly be late. With capacity to spare it is
        the quickest time of the kind: only calls with less time left than that
        cannot be served in time.
        """
        return self.service_time if self.is_busy else self._quickest.get(kind, 0.0)

    def estimate_wait(self, rank, now):
        """Return the seconds until a call of `rank` that arrives now is forwarded."""
        ahead = self._count_ahead(rank)
        return max(self._estimate_slot_wait(ahead), self.rate.estimate_wait(ahead, now))

    def list_waiting(self):
        """Return the waiting entries."""
        return [
            entry
            for rank in self._ranks.values()
            for kind in rank.kinds.values()
            for entry in kind.entries
        ]

    def offer(self, entry, now):
        """Start, queue or refuse `entry`; its `notify` is called now or later."""
        call = entry.call
        if now + self.estimate_seconds(call.kind) >= call.deadline:
            if call.kind in self._quickest:
                self._quickest[call.kind] *= QUICKEST_DECAY
            if self.is_busy and not self._is_held_by_rate():
                self.levels.record(call.kind, call.rank, True)
            self._refuse(entry)
            return
        if not self._length and self._has_room(now):
            self.levels.record(call.kind, call.rank, False)
            self._start(entry, now)
            return
        ahead = self._count_ahead(call.rank)
        longest = self._longest_wait(call)
        rate_wait = self.rate.estimate_wait(ahead, now)
        exceeds_rate = rate_wait > self._longest_rate_wait(entry)
        is_too_long = exceeds_rate or self._estimate_slot_wait(ahead) > longest
        self._enqueue(entry)
        if is_too_long:
            self._displace(entry, self._ranks[entry.queue[0]], exceeds_rate)
        elif self._length > self.capacity:
            self._displace(entry, self._least_urgent_queue(), self._is_held_by_rate())
        else:
            self.levels.record(call.kind, call.rank, False)

    def withdraw(self, entry):
        """Remove a waiting `entry`; return whether its call was never forwarded."""
        if entry.state is not EntryState.WAITING:
            return entry.state is EntryState.SHED
        self._remove(entry)
        entry.state = EntryState.SHED
        return True

    def finish(self, entry, now, ok=True, onward_seconds=0.0):
        """Record the end of a call that was forwarded.

        `onward_seconds` is the time during which onward calls, which the server makes
        to serve the call, were in flight.
        """
        entry.state = EntryState.DONE
        latency = now - entry.started
        own_seconds = max(0.0, latency - onward_seconds)
        sample = Sample(entry.call.kind, own_seconds, latency, self.in_flight, ok)
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
        """Free the slot of a call that turned out not to have been forwarded."""
        entry.state = EntryState.DONE
        self.in_flight -= 1
        self.start_waiting(now)

    def start_waiting(self, now):
        """Forward waiting calls while the limit allows."""
        while self._length and self._has_room(now):
            entry = self._dequeue(now)
            if now + self.service_time >= entry.call.deadline:
                self._shed_entry(entry, self._is_held_by_rate())
            else:
                self._start(entry, now)

    def tick(self, now):
        """Shed calls that can no longer be served in time and adjust the levels."""
        for rank in self._ranks.values():
            for kind in rank.kinds.values():
                self._drop_late(kind, now)
        self.start_waiting(now)
        self.levels.tick(now, self._length / self.capacity, self._next_shed_kind())

    def _drop_late(self, kind, now):
        latest = now + self.service_time
        is_held_by_rate = self._is_held_by_rate()
        late = [
            entry
            for entry in kind.entries
            if entry.call.deadline <= latest
            or (
                is_held_by_rate and now - entry.arrived > self._longest_rate_wait(entry)
            )
        ]
        for entry in late:
            self._remove(entry)
            self._shed_entry(entry, is_held_by_rate)

    def _has_room(self, now):
        return self.in_flight < self.limiter.limit and self.rate.allows(now)

    def _is_held_by_rate(self):
        """Return whether calls wait for the rate of the server rather than a slot."""
        return self.rate.rate is not None and self.in_flight < self.limiter.limit

    def _start(self, entry, now):
        entry.state = EntryState.RUNNING
        entry.started = now
        self.rate.record_request(now)
        self.in_flight += 1
        entry.notify(entry)

    def _refuse(self, entry):
        entry.state = EntryState.SHED
        entry.notify(entry)

    def _shed_entry(self, entry, is_rate_limited):
        entry.is_rate_limited = is_rate_limited
        if not is_rate_limited:
            self.levels.record_late_shed(entry.call.kind)
        entry.state = EntryState.SHED
        entry.notify(entry)

    def _queue_of(self, call):
        # Without ranks (a baseline) there is one queue for all kinds.
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
        return self._least_urgent_queue().longest_kind().name if self._length else None

    def _least_urgent_queue(self):
        return self._ranks[max(i for i, rank in self._ranks.items() if rank.length)]

    def _count_ahead(self, rank):
        return sum(queue.length for r, queue in self._ranks.items() if r <= rank)

    def _estimate_slot_wait(self, ahead):
        if not self.is_busy:
            return 0.0
        return (ahead + 1) * self.service_time / self.limiter.limit

    def _longest_wait(self, call):
        share = self.policy.max_wait_share
        return share * call.latency_target if share else float("inf")

    def _longest_rate_wait(self, entry):
        """Return how many seconds `entry` may wait for the rate of the server.

        Other servers may have room, so enough time is left to send the call to one.
        """
        call = entry.call
        slack = call.deadline - entry.arrived - self.service_time
        return min(self._longest_wait(call), MAX_RATE_WAIT_SHARE_OF_SLACK * slack)

    def _displace(self, arrival, rank, is_rate_limited):
        """Shed one call of `rank`, which may be `arrival` itself."""
        kind = rank.longest_kind()
        victim = self._choose_to_shed(kind.entries)
        self._remove(victim)
        if victim is arrival:
            arrival.is_rate_limited = is_rate_limited
            if not is_rate_limited:
                self.levels.record(arrival.call.kind, arrival.call.rank, True)
            self._refuse(arrival)
            return
        self.levels.record(arrival.call.kind, arrival.call.rank, False)
        self._shed_entry(victim, is_rate_limited)

    def _dequeue(self, now):
        urgent = min(index for index, rank in self._ranks.items() if rank.length)
        rank = self._ranks[urgent]
        kind = rank.next_kind()
        is_queue_late = now - kind.entries[0].arrived > self.policy.queue_seconds
        entry = self._pop_next(kind.entries, is_queue_late)
        rank.virtual_time = kind.virtual_time
        kind.virtual_time += 1.0 / kind.weight
        rank.length -= 1
        self._length -= 1
        return entry
