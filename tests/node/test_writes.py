"""Tests of the interpretation of answers to writes."""

import asyncio
import random

import pytest

from sassafrasridge_core import circuits
from sassafrasridge_core import errors
from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_node import admission
from sassafrasridge_node import answers
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import entry
from sassafrasridge_node import metrics
from sassafrasridge_node import writes

DEADLINE_S = 0.4


class _StateWithoutLease:
    """Stub the state of an entry process without a lease."""

    def __init__(self, config_valid):
        self.view_changed = asyncio.Event()
        self._config_valid = config_valid

    def usable_primary(self, group):
        return None

    def out_of_service(self, group):
        return False

    def lease_valid(self):
        return False

    def config_valid(self):
        return self._config_valid


def _run_without_lease(config_valid, in_doubt):
    """Return the error of a write and the seconds until it was raised."""

    async def run():
        writer = writes.Writer(
            _StateWithoutLease(config_valid), None, random.Random()
        )
        attempt = writes.Attempt('shop', 'id', 'digest', [])
        attempt.in_doubt = in_doubt
        started = clocks.boottime()
        with pytest.raises(errors.RidgeError) as caught:
            await writer.submit(
                'g', attempt, started + DEADLINE_S, lambda: None
            )
        return caught.value, clocks.boottime() - started

    return asyncio.run(run())


class TestWriter:
    def setup_method(self):
        counters = metrics.Metrics()
        self.state = entry.EntryState(
            'e', 'z', leases.LeaseTimes(), connections.Dialer(), counters
        )
        self.view(1, 'a')
        self.lease()
        self.writer = writes.Writer(self.state, counters, random.Random(1))
        self.attempt = writes.Attempt('shop', 'id', 'digest', [])

    def view(self, term, primary):
        self.state.groups['g'] = model.GroupView(
            'g', term, primary, {'a': '', 'b': ''}, changing=primary is None
        )

    def lease(self):
        self.state.lease.sent(clocks.boottime(), 1)
        self.state.lease.granted(1)

    def acknowledged_body(self, status=200, **body):
        defaults = {'term': 1, 'position': 5, 'majority_position': 5}
        return self.writer.acknowledged_body(
            'g',
            self.attempt,
            1,
            connections.Answer(status, {**defaults, **body}),
        )

    def test_acknowledges_a_write_that_a_majority_holds(self):
        """Guards against refusing to acknowledge a durable write."""
        assert self.acknowledged_body() is not None

    def test_does_not_acknowledge_without_a_majority(self):
        """Guards against acknowledging a write that only one server holds."""
        assert self.acknowledged_body(majority_position=4) is None
        assert self.attempt.in_doubt

    def test_does_not_acknowledge_without_a_lease(self):
        """Guards against acknowledging while control may promote a replica."""
        self.state.lease.end()
        assert self.acknowledged_body() is None
        assert self.attempt.in_doubt

    @pytest.mark.parametrize('term, primary', [(2, 'b'), (2, None)])
    def test_does_not_acknowledge_a_replaced_primary(self, term, primary):
        """Guards against acknowledging an answer of an earlier primary."""
        self.view(term, primary)
        assert self.acknowledged_body() is None
        assert self.attempt.in_doubt

    def test_failed_statement_was_not_run(self):
        """Guards against reporting a rolled back statement as unknown."""
        with pytest.raises(errors.StatementError):
            self.acknowledged_body(400, error={'kind': 'statement_failed'})
        assert not self.attempt.in_doubt

    def test_failed_statement_leaves_earlier_tries_in_doubt(self):
        """Guards against "not run" while an earlier try may still arrive."""
        self.attempt.in_doubt = True
        with pytest.raises(errors.StatementError):
            self.acknowledged_body(400, error={'kind': 'statement_failed'})
        assert self.attempt.in_doubt

    def test_id_of_another_request_is_refused(self):
        """Guards against returning the result of a different request."""
        with pytest.raises(answers.IdConflictError):
            self.acknowledged_body(409, error={'kind': 'request_conflict'})

    def test_lost_answer_leaves_the_write_in_doubt(self):
        """Guards against reporting "not run" for a write that was sent."""

        class LostBackend:
            circuit = circuits.Circuit()
            info = model.TargetInfo('a', 'g', 'z', '', 'primary', 1, 0, 2, 30)

            def __init__(self, sent):
                self.sent = sent

            async def call(self, conn, body, timeout_s):
                raise connections.ConnectionLostError('', sent=self.sent)

        def send(sent):
            call = self.writer._call_target(
                self.attempt,
                LostBackend(sent),
                None,
                {},
                clocks.boottime() + 1,
            )
            assert asyncio.run(call) is None

        send(False)
        assert not self.attempt.in_doubt
        send(True)
        assert self.attempt.in_doubt
        send(False)
        assert self.attempt.in_doubt

    def test_answer_of_the_primary_tells_the_age_of_replicas(self):
        """Guards against sending reads to the primary while writes succeed.

        No probes are sent then, so only the answers to writes report the
        position of the primary.
        """
        info = model.TargetInfo('a', 'g', 'z', '', 'primary', 1, 0, 2, 30)
        self.state.record_announcement(info)
        (backend,) = self.state.members('g')

        async def call(conn, body, timeout_s):
            return connections.Answer(200, {'term': 1, 'position': 5})

        backend.call = call
        asyncio.run(
            self.writer._call_target(
                self.attempt, backend, None, {}, clocks.boottime() + 1
            )
        )
        age = self.state.timeline('g').age(clocks.boottime(), 1, 5)
        assert age < 1.0

    def test_refusal_by_term_is_tried_again(self):
        """Guards against failing a write that another primary may run."""
        assert (
            self.acknowledged_body(409, error={'kind': 'wrong_term'}) is None
        )
        assert not self.attempt.in_doubt


class TestWithoutLease:
    def test_write_waits_for_a_lease_lost_briefly(self):
        """Guards against refusing writes during a change of control leader."""
        exc, elapsed_s = _run_without_lease(config_valid=True, in_doubt=False)
        assert isinstance(exc, admission.NoLeaseError)
        assert elapsed_s >= DEADLINE_S

    def test_process_that_is_cut_off_refuses_at_once(self):
        """Guards against delaying a write that another process can serve."""
        exc, elapsed_s = _run_without_lease(config_valid=False, in_doubt=False)
        assert isinstance(exc, admission.NoLeaseError)
        assert exc.outcome is errors.Outcome.NOT_RUN
        assert elapsed_s < DEADLINE_S / 2

    def test_write_in_doubt_is_never_called_not_run(self):
        """Guards against a false "not run" for a write that was sent."""
        exc, elapsed_s = _run_without_lease(config_valid=False, in_doubt=True)
        assert exc.outcome is errors.Outcome.UNKNOWN
        assert elapsed_s >= DEADLINE_S


class TestFailedWrites:
    def test_an_error_without_a_position_is_no_sample(self):
        """Guards against a floor below commits of other entry processes.

        The answer to a failed statement has no position, so the last known
        one would count as that of the time at which it was sent.
        """
        state = entry.EntryState(
            'e',
            'z',
            leases.LeaseTimes(),
            connections.Dialer(),
            metrics.Metrics(),
        )
        state.groups['g'] = model.GroupView('g', 1, 'a', {'a': ''})
        state.lease.sent(clocks.boottime(), 1)
        state.lease.granted(1)
        info = model.TargetInfo(
            'a', 'g', 'z', '10.0.0.1:1', 'primary', 1, 0, 5, 0
        )
        writer = writes.Writer(state, metrics.Metrics(), random.Random(1))

        async def work():
            state.record_announcement(info)
            backend = state.backends['g', 'a']
            backend.log_term, backend.applied = 1, 90

            async def fail(conn, body, timeout_s):
                error = {'kind': 'statement_failed'}
                return connections.Answer(400, {'error': error})

            backend.call = fail
            attempt = writes.Attempt('shop', 'id', 'digest', [])
            await writer._call_target(
                attempt, backend, None, {}, clocks.boottime() + 1.0
            )
            backend.close()

        asyncio.run(work())
        assert state.timeline('g').newest() is None
