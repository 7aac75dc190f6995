"""Tests of client accounts whose burst is too small to divide."""

import concurrent.futures
import random
import time

import pytest

from sassafrasridge_testkit import deployments
from tests.integration import conftest

ENTRIES = 7
RATE_PER_S = 5.0
BURST = 5.0
KEY = 'small-key-001'


@pytest.fixture(scope='module')
def system(make_system):
    system = make_system(('z1',), ['z1'] * ENTRIES)
    system.deployment.note(
        added=deployments.account(
            'small', KEY, [conftest.SERVICE], rate=RATE_PER_S, burst=BURST
        )
    )
    system.deployment.wait_in_force()
    return system


def send_paced_reads(system, seconds, interval_s, seed=1):
    """Send reads to random entry processes at a fixed interval."""
    rng = random.Random(seed)
    callers = [system.caller(n, KEY) for n in range(ENTRIES)]
    answers = []
    started = time.monotonic()
    due_at = started
    while due_at < started + seconds:
        time.sleep(max(0.0, due_at - time.monotonic()))
        answers.append(rng.choice(callers).read('SELECT 1'))
        due_at += interval_s
    return answers


class TestSmallAccount:
    def test_no_refusal_within_the_rate(self, system):
        """Guards against tokens held by processes without waiting requests."""
        answers = send_paced_reads(system, 6.0, 1.0 / (0.8 * RATE_PER_S))
        refused = [a for a in answers if a.status != 200]
        assert not refused, refused

    def test_no_more_than_rate_and_burst(self, system):
        """Guards against granting tokens in each entry process separately."""
        started = time.monotonic()

        def send(number):
            caller = system.caller(number % ENTRIES, KEY)
            return caller.read('SELECT 1', deadline_ms=300).status == 200

        with concurrent.futures.ThreadPoolExecutor(35) as pool:
            served = sum(pool.map(send, range(70)))
        elapsed = time.monotonic() - started
        assert served <= BURST + RATE_PER_S * elapsed

    def test_requests_are_served_after_processes_are_killed(self, system):
        """Guards against tokens that stay with a killed process."""
        nodes = list(system.deployment.entries.values())
        for node in nodes[1:3]:
            node.process.kill()
        caller = system.caller(0, KEY)
        end = time.monotonic() + 10.0
        while caller.read('SELECT 1').status != 200:
            assert time.monotonic() < end, 'no token after 10 s'
            time.sleep(1.0 / RATE_PER_S)
        for node in nodes[1:3]:
            node.process.start()
            system.deployment.wait_ready(node)
