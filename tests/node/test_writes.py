"""Tests of writes that wait for a primary or a lease."""

import asyncio
import random

import pytest

from sassafrasridge_core import errors
from sassafrasridge_node import admission
from sassafrasridge_node import clocks
from sassafrasridge_node import writes

DEADLINE_S = 0.4


class _State:
    """An entry process without a lease."""

    def __init__(self, config_valid):
        self.view_changed = asyncio.Event()
        self._config_valid = config_valid

    def primary(self, group):
        return None

    def lease_valid(self):
        return False

    def config_valid(self):
        return self._config_valid


def _run(config_valid, in_doubt):
    """Return the error of a write and the seconds until it."""

    async def run():
        writer = writes.Writer(_State(config_valid), None, random.Random())
        attempt = writes.Attempt('shop', 'id', 'digest', [])
        attempt.in_doubt = in_doubt
        started = clocks.boottime()
        with pytest.raises(errors.RidgeError) as caught:
            await writer.run('g', attempt, started + DEADLINE_S, lambda: None)
        return caught.value, clocks.boottime() - started

    return asyncio.run(run())


class TestWithoutLease:
    def test_short_loss_is_waited_out(self):
        """Guards against refusing writes while control changes leader."""
        exc, taken_s = _run(config_valid=True, in_doubt=False)
        assert isinstance(exc, admission.NoLeaseError)
        assert taken_s >= DEADLINE_S

    def test_process_that_is_cut_off_refuses_at_once(self):
        """Guards against holding a write that another process can serve."""
        exc, taken_s = _run(config_valid=False, in_doubt=False)
        assert isinstance(exc, admission.NoLeaseError)
        assert exc.outcome is errors.Outcome.NOT_RUN
        assert taken_s < DEADLINE_S / 2

    def test_write_in_doubt_is_never_called_not_run(self):
        """Guards against a false "not run" of a write that was sent."""
        exc, taken_s = _run(config_valid=False, in_doubt=True)
        assert exc.outcome is errors.Outcome.UNKNOWN
        assert taken_s >= DEADLINE_S
