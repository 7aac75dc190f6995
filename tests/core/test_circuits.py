"""Tests of the circuit breaker."""

import random

from sassafrasridge_core import circuits


def open_circuit(now=0.0):
    circuit = circuits.Circuit()
    for _ in range(circuits.CONSECUTIVE_FAILURES):
        circuit.failure(now)
    return circuit


class TestCircuit:
    """Guards against too much load on a failing or recovering target."""

    def test_opens_after_consecutive_failures(self):
        circuit = circuits.Circuit()
        for _ in range(circuits.CONSECUTIVE_FAILURES - 1):
            circuit.failure(0.0)
        circuit.success(0.0, 0.01)
        assert circuit.allow(0.0, random.Random(1))
        assert not open_circuit().allow(0.0, random.Random(1))

    def test_opens_at_a_ratio_of_failures(self):
        circuit = circuits.Circuit()
        for _ in range(20):
            circuit.success(0.0)
            circuit.failure(0.0)
        assert circuit.state is circuits.State.OPEN

    def test_lets_one_probe_through_at_a_time(self):
        rng, circuit = random.Random(1), open_circuit()
        now = circuits.INITIAL_OPEN_S
        assert [circuit.allow(now, rng) for _ in range(3)] == [
            True,
            False,
            False,
        ]
        circuit.success(now)
        assert circuit.allow(now, rng)

    def test_lost_probe_does_not_block_forever(self):
        rng, circuit = random.Random(1), open_circuit()
        now = circuits.INITIAL_OPEN_S
        assert circuit.allow(now, rng)
        assert circuit.allow(now + circuits.PROBE_TIMEOUT_S, rng)

    def test_failed_probes_extend_the_open_time(self):
        rng, circuit, now, open_times = (
            random.Random(1),
            open_circuit(),
            0.0,
            [],
        )
        for _ in range(6):
            since = now
            while not circuit.allow(now, rng):
                now += 0.01
            open_times.append(now - since)
            circuit.failure(now)
        assert open_times[2] > 3 * open_times[0]
        assert open_times[2] > 1.5 * open_times[1]
        assert max(open_times) <= circuits.MAX_OPEN_S + 0.02

    def test_load_returns_gradually(self):
        rng, circuit = random.Random(1), open_circuit()
        now = circuits.INITIAL_OPEN_S
        for _ in range(circuits.REQUIRED_PROBES):
            assert circuit.allow(now, rng)
            circuit.success(now)
        shares = [
            sum(circuit.allow(now + s, rng) for _ in range(500)) / 500
            for s in (0.0, 1.0, 2.0)
        ]
        assert shares[0] < 0.2 < shares[1] < 0.8
        assert shares[2] == 1
        assert circuit.state is circuits.State.CLOSED

    def test_failure_during_the_ramp_opens_at_once(self):
        rng, circuit = random.Random(1), open_circuit()
        now = circuits.INITIAL_OPEN_S
        for _ in range(circuits.REQUIRED_PROBES):
            circuit.allow(now, rng)
            circuit.success(now)
        circuit.failure(now)
        assert circuit.state is circuits.State.OPEN

    def test_late_success_does_not_close_an_open_circuit(self):
        circuit = open_circuit()
        circuit.success(0.01)
        assert not circuit.allow(0.01, random.Random(1))
