"""Tests of the order in which statements wait for a target."""

import collections
import math

import hypothesis
from hypothesis import strategies
import pytest

from sassafrasridge_core import model
from sassafrasridge_core import queueing
from sassafrasridge_core import scheduling

URGENT = scheduling.WorkClass(0, 0)
MIDDLE = scheduling.WorkClass(1, 0)
LOW = scheduling.WorkClass(2, 0)

Queue = scheduling.PriorityQueue


def work(work_class=URGENT, due_at=math.inf, run_s=0.0, **fields):
    fields.setdefault('urgent', work_class.priority == 0)
    return scheduling.Work(work_class, due_at, run_s, **fields)


def push(queue, item, work_class=URGENT, now=0.0, account='a', due_at=1e9):
    return queue.push(
        now, account, item, 1.0, 1e9, work(work_class, due_at=due_at)
    )


def drain(queue, now=0.0):
    return [queue.pop(now) for _ in range(len(queue))]


class TestOrder:
    def test_classes_are_served_by_priority(self):
        queue = Queue()
        account_classes = [scheduling.WorkClass(1, p) for p in (2, 0)]
        for found in (LOW, *account_classes, URGENT):
            push(queue, found, found)
        assert drain(queue) == [URGENT, *sorted(account_classes), LOW]

    def test_statements_that_can_meet_their_objective_go_first(self):
        """Guards against making all late because some are late."""
        queue = Queue()
        push(queue, 'late', due_at=1.0)
        push(queue, 'late from the start', now=1.5, due_at=1.0)
        push(queue, 'on time', due_at=5.0)
        assert drain(queue, 2.0) == ['on time', 'late from the start', 'late']

    def test_an_open_transaction_goes_before_new_work_of_its_class(self):
        queue = Queue()
        push(queue, 'new')
        queue.push(0.0, 'a', 'open', 1.0, 9.0, work(in_transaction=True))
        assert drain(queue) == ['open', 'new']

    def test_only_the_most_urgent_class_uses_the_reserve(self):
        queue = Queue()
        push(queue, 'low', LOW)
        assert queue.pop(0.0, urgent_only=True) is None
        push(queue, 'urgent')
        assert queue.pop(0.0, urgent_only=True) == 'urgent'
        assert len(queue) == 1

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(['push', 'pop', 'cancel']),
                strategies.sampled_from('abc'),
                strategies.sampled_from([1.0, 2.0, 4.0]),
                strategies.floats(0.01, 3.0),
            ),
            max_size=60,
        )
    )
    def test_with_one_class_the_order_is_that_of_the_fair_queue(self, steps):
        """Guards against a change for deployments with one priority."""
        queues = [kind() for kind in (queueing.FairQueue, Queue)]
        for number, (action, account, cost, timeout_s) in enumerate(steps):
            now = number * 0.05
            # As before each turn in an entry process.
            expired = [queue.expire(now) for queue in queues]
            assert expired[0] == expired[1]
            if action == 'push':
                results = [
                    queue.push(now, account, number, cost, now + timeout_s)
                    for queue in queues
                ]
            elif action == 'pop':
                results = [queue.pop(now) for queue in queues]
            else:
                results = [
                    queue.cancel(lambda item: item % 3 == 0)
                    for queue in queues
                ]
            assert results[0] == results[1]
        assert len(queues[0]) == len(queues[1])


class TestGuarantee:
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3),
                strategies.integers(0, 3),
                strategies.booleans(),
            ),
            max_size=200,
        )
    )
    def test_a_waiting_priority_gets_one_of_eight_turns(self, steps):
        """Guards against a class that starves behind a busier one.

        A route priority gets one of any eight turns, an account priority one
        of any eight turns of its route priority.
        """
        queue = Queue()
        # Turns of others since the last one of each, while it waits.
        passed = collections.Counter()
        for priority, account_priority, pops in steps:
            if not pops:
                found = scheduling.WorkClass(priority, account_priority)
                push(queue, found, found)
                continue
            served = queue.pop(0.0)
            if served is None:
                continue
            waiting = queue.waiting()
            routes = {found.priority for found in waiting}
            passed.update(routes)
            passed.update(c for c in waiting if c.priority == served.priority)
            passed[served] = passed[served.priority] = 0
            assert max(passed.values()) < scheduling.MAX_TURNS
            for found in [*passed]:
                if found not in waiting and found not in routes:
                    del passed[found]

    def test_account_priorities_leave_urgent_routes_their_precedence(self):
        """Guards against equal shares for nine classes that all wait."""
        queue = Queue()
        classes = [
            scheduling.WorkClass(priority, account_priority)
            for priority in range(3)
            for account_priority in range(3)
        ]
        for number in range(80):
            for found in classes:
                push(queue, found, found, account=str(number))
        served = collections.Counter(queue.pop(0.0) for _ in range(80))
        by_route = collections.Counter()
        for found, count in served.items():
            by_route[found.priority] += count
        lower = 80 // scheduling.MAX_TURNS
        assert by_route == {0: 80 - 2 * lower, 1: lower, 2: lower}
        assert served[URGENT] > by_route[0] / 2

    def test_classes_without_statements_are_dropped(self):
        """Guards against turns that cost more with each class ever seen."""
        queue = Queue()
        for priority in range(50):
            push(queue, 'first', scheduling.WorkClass(priority, 0))
            push(queue, 'second', scheduling.WorkClass(priority, 1))
            assert len(drain(queue)) == 2
        assert len(queue._classes) == 1

    def test_the_most_urgent_class_gets_all_other_turns(self):
        queue = Queue()
        for number in range(100):
            push(queue, 'low', LOW, account=str(number))
            push(queue, 'urgent', account=str(number))
        served = [queue.pop(0.0) for _ in range(80)]
        assert served.count('low') == 80 // scheduling.MAX_TURNS


class TestFullQueue:
    @hypothesis.given(strategies.lists(strategies.integers(0, 3), max_size=40))
    def test_nothing_is_refused_in_favour_of_a_lower_class(self, priorities):
        """Guards against a burst that fills the queue before urgent work."""
        queue = Queue(max_total=5)
        for number, priority in enumerate(priorities):
            before = list(queue.waiting())
            refusal = push(
                queue, (priority, number), scheduling.WorkClass(priority)
            )
            displaced = queue.take_displaced()
            if refusal is not None:
                assert max(before) <= (priority, 0)
            for lost, _ in displaced:
                assert lost > priority
                assert lost == max(before).priority
            assert len(queue) <= 5

    def test_the_latest_statement_of_the_account_gives_way(self):
        queue = Queue(max_per_account=2)
        push(queue, 'first', LOW)
        push(queue, 'second', LOW)
        push(queue, 'other', LOW, account='b')
        assert push(queue, 'urgent') is None
        assert queue.take_displaced() == ['second']
        assert push(queue, 'third', LOW) is model.QUEUE_FULL


class Server:
    """Serve a queue at a constant rate in steps of 10 ms."""

    STEP_S = 0.01

    def __init__(self, queue):
        self.queue = queue
        self.now = 0.0
        self.waits = {}
        self.refused = []
        self.stopped = False

    def offer(self, name, work_class, account, objective_s, timeout_s):
        item = (name, self.now)
        fields = ()
        if isinstance(self.queue, Queue):
            fields = (work(work_class, self.now + objective_s),)
        refusal = self.queue.push(
            self.now, account, item, 1.0, self.now + timeout_s, *fields
        )
        if refusal is not None:
            self.refused.append((name, 0.0))

    def step(self):
        self.now += self.STEP_S
        self.refused += [
            (name, self.now - at) for name, at in self.queue.expire(self.now)
        ]
        if self.stopped:
            return
        item = self.queue.pop(self.now)
        if item is not None:
            name, at = item
            self.waits.setdefault(name, []).append(self.now - at)


class TestBurstOfReads:
    """Load: reads at 2.4 times the capacity beside a few urgent writes."""

    def run(self, kind):
        server = Server(kind())
        for step in range(1000):
            for number in range(2 + step % 2):
                server.offer('read', LOW, f'r{number}', 2.5, 2.0)
            if step % 5 == 0:
                server.offer('write', URGENT, f'w{step % 7}', 0.5, 1.0)
            server.step()
        return server

    def test_urgent_writes_hardly_wait(self):
        """Guards against writes that wait behind a burst of reads."""
        served = self.run(Queue)
        assert len(served.waits['write']) == 200
        assert max(served.waits['write']) <= 0.05
        assert not [name for name, _ in served.refused if name == 'write']
        without = self.run(queueing.FairQueue)
        assert max(without.waits['write']) > 0.05

    def test_reads_that_cannot_be_served_are_refused_at_once(self):
        """Guards against holding callers until their time-out."""
        server = self.run(Queue)
        at_once = [waited for _, waited in server.refused if waited == 0.0]
        assert len(at_once) > 0.8 * len(server.refused)
        # The others still use the whole capacity.
        assert sum(map(len, server.waits.values())) > 990


class TestBusyAccount:
    def test_one_account_at_seven_times_its_usual_delays_no_other(self):
        """Load: four accounts at a tenth of the capacity, one at seven."""
        server = Server(Queue())
        for step in range(1000):
            if step % 10 < 7:
                server.offer('busy', MIDDLE, 'busy', 1.0, 1.0)
            if step % 10 in (0, 3, 5, 8):
                server.offer('usual', MIDDLE, f'u{step % 10}', 1.0, 1.0)
            server.step()
        # The last one still waits at the end.
        assert len(server.waits['usual']) >= 399
        assert max(server.waits['usual']) <= 0.1
        assert len(server.waits['busy']) > 550


class TestReturnAfterOutage:
    """Load: a target that stands still for 1 s while statements arrive."""

    def run(self, kind):
        server = Server(kind())
        for step in range(500):
            server.stopped = 100 <= step < 200
            if step % 4 < 3:
                server.offer('write', URGENT, f'w{step % 9}', 0.5, 1.0)
            server.step()
        return server

    def test_new_statements_do_not_wait_for_late_ones(self):
        """Guards against late answers long after the target is back."""
        on_time = {}
        for kind in (Queue, queueing.FairQueue):
            waits = self.run(kind).waits['write']
            on_time[kind] = sum(wait <= 0.5 for wait in waits)
        assert on_time[Queue] > on_time[queueing.FairQueue]
        assert on_time[Queue] >= 325

    def test_the_queue_accepts_statements_as_soon_as_it_is_served(self):
        """Guards against refusals for the rate measured in the outage."""
        server = self.run(Queue)
        last = server.refused[-1] if server.refused else None
        server.offer('write', URGENT, 'new', 0.5, 1.0)
        assert (server.refused or [None])[-1] == last


class TestExpectedWait:
    def test_less_urgent_statements_are_not_counted_as_ahead(self):
        queue = Queue()
        for number in range(50):
            push(queue, number, LOW, account=str(number))
        for step in range(20):
            queue.pop(step * 0.1)
        urgent = queue.expected_wait_s('a', 1.0, work(URGENT))
        assert urgent == pytest.approx(0.1 * 8 / 7 / 1.25, rel=0.2)
        assert queue.expected_wait_s('a', 1.0, work(LOW)) > 2.0
