"""Tests of the circuit breaker and the detection of slow targets."""

import random

from sassafrasridge_core import circuits


def opened(now=0.0):
    circuit = circuits.Circuit()
    for _ in range(circuits.FAILURES_IN_A_ROW):
        circuit.failure(now)
    return circuit


class TestCircuit:
    """Guards against load on a failing or a recovering target."""

    def test_opens_after_failures_in_a_row(self):
        circuit = circuits.Circuit()
        for _ in range(circuits.FAILURES_IN_A_ROW - 1):
            circuit.failure(0.0)
        circuit.success(0.0, 0.01)
        assert circuit.allow(0.0, random.Random(1))
        assert not opened().allow(0.0, random.Random(1))

    def test_opens_at_a_share_of_failures(self):
        circuit = circuits.Circuit()
        for _ in range(20):
            circuit.success(0.0)
            circuit.failure(0.0)
        assert circuit.state is circuits.State.OPEN

    def test_lets_one_probe_through_at_a_time(self):
        rng, circuit = random.Random(1), opened()
        now = circuits.OPEN_S
        assert [circuit.allow(now, rng) for _ in range(3)] == [
            True,
            False,
            False,
        ]
        circuit.success(now)
        assert circuit.allow(now, rng)

    def test_lost_probe_does_not_block_for_good(self):
        rng, circuit = random.Random(1), opened()
        now = circuits.OPEN_S
        assert circuit.allow(now, rng)
        assert circuit.allow(now + circuits.PROBE_TIMEOUT_S, rng)

    def test_failed_probes_make_the_pause_longer(self):
        rng, circuit, now, pauses = random.Random(1), opened(), 0.0, []
        for _ in range(6):
            since = now
            while not circuit.allow(now, rng):
                now += 0.01
            pauses.append(now - since)
            circuit.failure(now)
        assert pauses[2] > 3 * pauses[0]
        assert pauses[2] > 1.5 * pauses[1]
        assert max(pauses) <= circuits.MAX_OPEN_S + 0.02

    def test_load_returns_gradually(self):
        rng, circuit = random.Random(1), opened()
        now = circuits.OPEN_S
        for _ in range(circuits.PROBES):
            assert circuit.allow(now, rng)
            circuit.success(now)
        shares = [
            sum(circuit.allow(now + s, rng) for _ in range(500)) / 500
            for s in (0.0, 1.0, 2.0)
        ]
        assert shares[0] < 0.2 < shares[1] < 0.8
        assert shares[2] == 1
        assert circuit.state is circuits.State.CLOSED

    def test_failure_while_load_returns_opens_at_once(self):
        rng, circuit = random.Random(1), opened()
        now = circuits.OPEN_S
        for _ in range(circuits.PROBES):
            circuit.allow(now, rng)
            circuit.success(now)
        circuit.failure(now)
        assert circuit.state is circuits.State.OPEN

    def test_late_success_does_not_close_an_open_circuit(self):
        circuit = opened()
        circuit.success(0.01)
        assert not circuit.allow(0.01, random.Random(1))
