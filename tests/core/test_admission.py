from collections import Counter

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from ragworthoist import Document
from ragworthoist.core.admission import Admission, Entry, EntryState
from ragworthoist.core.entities import Call
from ragworthoist.core.policy import Policy

SLOTS = 3


def make_admission(**defaults):
    values = {"limit": "fixed", "fixed_limit": SLOTS} | defaults
    document = Document.model_validate({"defaults": values})
    return Admission(Policy(document).service("stock"))


def make_call(rank=0, kind="order", draw=0, deadline=1000.0, weight=1.0):
    return Call(
        request_id=b"r",
        kind=kind,
        rank=rank,
        weight=weight,
        deadline=deadline,
        draw=draw,
        retry_allowance=0,
        service="stock",
        method="GET",
        target="/stock",
    )


class AdmissionMachine(RuleBasedStateMachine):
    """Checks each decision against independent records of the waiting calls."""

    @initialize()
    def start(self):
        self.admission = make_admission()
        self.now = 0.0
        self.waiting = []
        self.running = []
        self.quickest = {}

    def decide(self, entry):
        if entry in self.waiting:
            self.waiting.remove(entry)
        late = entry.call.deadline <= self.now + self.admission.service_time
        if entry.state is EntryState.RUNNING:
            # With free slots, a call is late only if it has less time left than the
            # quickest call of its kind took.
            quickest = self.quickest.get(entry.call.kind, 0.0)
            assert not late or entry.call.deadline > self.now + quickest
            assert not late or not self.waiting
            self.running.append(entry)
            assert all(w.call.rank >= entry.call.rank for w in self.waiting)
        elif not late:
            assert all(w.call.rank <= entry.call.rank for w in self.waiting)

    @rule(
        rank=st.integers(0, 2),
        kind=st.integers(0, 2),
        draw=st.integers(0, 65_535),
        client_timeout=st.floats(0.0, 5.0),
        count=st.integers(1, 20),
    )
    def offer(self, rank, kind, draw, client_timeout, count):
        for number in range(count):
            call = make_call(
                rank, f"{rank}-{kind}", draw + number, self.now + client_timeout
            )
            entry = Entry(call, self.now, self.decide)
            self.waiting.append(entry)
            self.admission.offer(entry, self.now)

    @rule(index=st.integers(0, 100), took=st.floats(0.001, 1.0))
    def finish(self, index, took):
        if self.running:
            self.now += took
            entry = self.running.pop(index % len(self.running))
            kind, latency = entry.call.kind, self.now - entry.started
            self.quickest[kind] = min(latency, self.quickest.get(kind, latency))
            self.admission.finish(entry, self.now)

    @rule(index=st.integers(0, 100))
    def withdraw(self, index):
        if self.waiting:
            entry = self.waiting.pop(index % len(self.waiting))
            assert self.admission.withdraw(entry)

    @rule(seconds=st.floats(0.0, 2.0))
    def tick(self, seconds):
        self.now += seconds
        self.admission.tick(self.now)

    @invariant()
    def counts_match_records(self):
        assert len(self.admission) == len(self.waiting) <= self.admission.capacity
        assert self.admission.in_flight == len(self.running) <= SLOTS
        if self.waiting:
            assert len(self.running) == SLOTS


TestAdmission = AdmissionMachine.TestCase
TestAdmission.settings = settings(max_examples=60, stateful_step_count=40)


class TestEstimate:
    def finish_calls(self, admission, kind, seconds):
        now = 0.0
        for latency in seconds:
            entry = Entry(make_call(0, kind, 1, now + 100.0), now, lambda entry: None)
            admission.offer(entry, now)
            now += latency
            admission.finish(entry, now)
        return now

    @pytest.mark.parametrize(
        ("kind", "client_timeout", "state"),
        [
            ("quick", 0.05, EntryState.RUNNING),
            ("quick", 0.005, EntryState.SHED),
            ("slow", 0.05, EntryState.SHED),
            ("slow", 0.25, EntryState.RUNNING),
            ("unseen", 0.05, EntryState.RUNNING),
            ("unseen", 0.0, EntryState.SHED),
        ],
    )
    def test_idle_server_estimates_by_the_quickest_call_of_the_kind(
        self, kind, client_timeout, state
    ):
        """With free slots, only calls with less time than the quickest are refused.

        The mean service time would refuse calls that an idle server can finish.
        """
        admission = make_admission()
        self.finish_calls(admission, "quick", [0.01, 0.02, 0.03])
        now = self.finish_calls(admission, "slow", [0.2, 0.4, 0.6] * 20)
        entry = Entry(
            make_call(0, kind, 1, now + client_timeout), now, lambda entry: None
        )
        admission.offer(entry, now)
        assert entry.state is state

    def test_slow_kind_is_tried_again(self):
        """Refused calls yield no measurement, so refusals must end by themselves."""
        admission = make_admission()
        now = self.finish_calls(admission, "slow", [60.0])
        states = []
        while EntryState.RUNNING not in states:
            call = make_call(0, "slow", 1, now + 1.0)
            entry = Entry(call, now, lambda entry: states.append(entry.state))
            admission.offer(entry, now)
        assert 1 < len(states) < 100


class TestOffer:
    @pytest.mark.parametrize(
        ("rates", "weights", "shares"),
        [
            ({"listing": 10, "photo": 1}, {}, {"photo": 1.0}),
            ({"listing": 10, "photo": 10}, {}, {"photo": 0.5, "listing": 0.5}),
            ({"listing": 20, "photo": 20}, {"photo": 3.0}, {"photo": 0.75}),
            (
                {"order": 30, "booking": 3, "welfare": 3},
                {},
                {"booking": 3, "welfare": 3},
            ),
        ],
    )
    def test_other_kinds_of_a_rank_keep_their_share_under_a_flood(
        self, rates, weights, shares
    ):
        """The server runs ten calls per round; `rates` calls of each kind arrive."""
        admission = make_admission(fixed_limit=10)
        served = Counter()
        running = []

        def decide(entry):
            if entry.state is EntryState.RUNNING:
                running.append(entry)
                served[entry.call.kind] += 1

        rounds = 200
        for number in range(rounds):
            for kind, rate in rates.items():
                for draw in range(rate):
                    call = make_call(0, kind, draw, weight=weights.get(kind, 1.0))
                    admission.offer(Entry(call, number, decide), number)
            finished, running[:] = list(running), []
            for entry in finished:
                admission.finish(entry, number)

        for kind, share in shares.items():
            fair = min(rates[kind], share * 10 if share <= 1 else share)
            assert served[kind] >= 0.9 * fair * rounds

    def test_highest_draws_of_a_kind_are_shed(self):
        admission = make_admission(fixed_limit=1)
        shed = []

        def decide(entry):
            if entry.state is EntryState.SHED:
                shed.append(entry.call.draw)

        draws = [(number * 7919) % 1000 for number in range(200)]
        for draw in draws:
            admission.offer(Entry(make_call(draw=draw), 0.0, decide), 0.0)

        waiting = admission.capacity
        kept = sorted(draws[1:])[:waiting]
        assert sorted(shed) == sorted(draws[1:])[waiting:]
        assert len(kept) + len(shed) + 1 == len(draws)


class TestApply:
    def test_waiting_calls_are_kept_when_the_policy_changes(self):
        admission = make_admission(fixed_limit=1)
        decided = []
        entries = [Entry(make_call(rank), 0.0, decided.append) for rank in (1, 2, 0)]
        for entry in entries:
            admission.offer(entry, 0.0)
        document = Document.model_validate(
            {"defaults": {"limit": "fixed", "fixed_limit": 1, "rank_order": False}}
        )
        admission.apply(Policy(document).service("stock"))

        for expected in (entries[0], entries[2], entries[1]):
            assert decided[-1] is expected
            admission.finish(expected, 1.0)

        assert len(admission) == admission.in_flight == 0
