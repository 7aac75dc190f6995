"""Tests of the selection of a target for a read."""

import random

from sassafrasridge_core import model
from sassafrasridge_core import routing


def _candidates():
    return [
        routing.Candidate('p', 'z1', 'primary', 2, 100),
        routing.Candidate('near', 'z1', 'replica', 2, 90),
        routing.Candidate('far', 'z2', 'replica', 2, 95),
        routing.Candidate('farther', 'z3', 'replica', 1, 99),
    ]


def _choose(candidates, need, age=None, **kwargs):
    fit = [
        c
        for c in candidates
        if need.is_satisfied_by(c.term, c.applied, {1: 0, 2: 80}, age)
    ]
    return routing.choose(fit, 'z1', ('z2', 'z3'), random.Random(1), **kwargs)


def _covers(term, index):
    return routing.ReadRequirements(model.Position(term, index), float('inf'))


class TestChoose:
    def test_nearest_replica_that_covers_the_token(self):
        """Guards against reads from the primary, far or stale replicas."""
        servers = _candidates()
        assert _choose(servers, _covers(2, 85)).server == 'near'
        assert _choose(servers, _covers(2, 92)).server == 'far'
        assert _choose(servers, _covers(2, 99)).server == 'p'
        assert _choose(servers, _covers(2, 101)) is model.NO_TARGET

    def test_unproven_age_is_not_served(self):
        """Guards against treating data of unknown age as fresh."""
        ages = {90: 0.4, 95: 0.1}

        def age(term, applied):
            return ages.get(applied, float('inf'))

        near = _choose(_candidates(), routing.ReadRequirements(None, 0.5), age)
        assert near.server == 'near'
        far = _choose(_candidates(), routing.ReadRequirements(None, 0.2), age)
        assert far.server == 'far'
        none = _choose(
            _candidates(), routing.ReadRequirements(None, 0.05), age
        )
        assert none is model.NO_TARGET

    def test_a_token_and_an_age_must_both_be_met(self):
        """Guards against checking only one of the two requirements."""
        position = model.Position(2, 92)
        need = routing.ReadRequirements(position, 0.3)
        found = _choose(_candidates(), need, lambda term, applied: 0.2)
        assert found.server == 'far'
        found = _choose(_candidates(), need, lambda term, applied: 0.4)
        assert found is model.NO_TARGET

    def test_open_circuits_and_failed_servers_are_excluded(self):
        """Guards against sending again to the server that just failed."""
        servers = _candidates()
        servers[1].allowed = False
        assert _choose(servers, _covers(2, 85)).server == 'far'
        got = _choose(servers, _covers(2, 85), exclude=('far',))
        assert got.server == 'p'
        for server in servers:
            server.allowed = False
        assert _choose(servers, _covers(2, 85)) is routing.CIRCUIT_OPEN
        assert _choose([], _covers(2, 85)) is model.NO_TARGET

    def test_farther_replica_is_chosen_over_a_full_one(self):
        """Guards against queueing while another replica is idle."""
        servers = _candidates()
        servers[1].limit = servers[1].in_flight = 2
        assert _choose(servers, _covers(2, 85)).server == 'far'

    def test_load_goes_to_the_less_loaded_of_two(self):
        """Guards against uneven load on equally near replicas."""
        rng = random.Random(3)
        servers = [
            routing.Candidate(str(n), 'z1', 'replica', 1, 9) for n in range(4)
        ]
        for _ in range(400):
            got = routing.choose(servers, 'z1', (), rng)
            got.in_flight += 1
        loads = [server.in_flight for server in servers]
        assert max(loads) - min(loads) <= 4
        servers[0].in_flight = 1000
        picks = {
            routing.choose(servers, 'z1', (), rng).server for _ in range(100)
        }
        assert picks == {'1', '2', '3'}
