"""Tests of client accounts that another entry process charges."""

import asyncio

import pytest

from sassafrasridge_core import errors
from sassafrasridge_core import placement
from sassafrasridge_node import admission
from sassafrasridge_node import charging
from sassafrasridge_node import clocks
from sassafrasridge_node import rpc
from tests.node import test_sessionfront as front


class Holder:
    """Simulate the entry process that holds an account's tokens."""

    def __init__(self, outcome=charging.TAKEN, fails=False):
        self.outcome = outcome
        self.fails = fails
        self.calls = []

    def get(self, address):
        return self

    async def call(self, api, call, timeout_s):
        assert api == 'charge'
        self.calls.append(call)
        if self.fails:
            raise rpc.RpcError('no answer', sent=True)
        return rpc.idl.ChargeReply(outcome=self.outcome, retry_after_s=2.0)


def admitter(holder):
    state = front.EntryProcess().state
    state.entries = {'h': 'address of h'}
    state.charging_entry = lambda account: 'h'
    return charging.SharedAdmitter(state, holder)


def charge(found, times=1):
    async def work():
        for _ in range(times):
            await found.charge_account('acme', clocks.boottime() + 0.05)

    asyncio.run(work())


class TestChargingElsewhere:
    def test_the_holder_takes_the_token(self):
        holder = Holder()
        charge(admitter(holder), 2)
        assert [call.account for call in holder.calls] == ['acme', 'acme']
        assert 0 < holder.calls[0].wait_s <= 0.05

    def test_a_refusal_carries_the_retry_time(self):
        with pytest.raises(errors.RateLimitedError) as caught:
            charge(admitter(Holder(charging.LIMITED)))
        assert caught.value.retry_after_s == 2.0

    @pytest.mark.parametrize(
        'holder', [Holder(charging.UNABLE), Holder(fails=True)]
    )
    def test_without_the_holder_tokens_are_taken_here(self, holder):
        """Guards against refusing accounts because one process failed."""
        found = admitter(holder)
        with pytest.raises(errors.RateLimitedError):
            # This process has no share of the account's tokens yet.
            charge(found)
        assert 'acme' in found._queues

    def test_a_silent_holder_is_not_asked_again_at_once(self):
        holder = Holder(fails=True)
        found = admitter(holder)
        for _ in range(2):
            with pytest.raises(errors.RateLimitedError):
                charge(found)
        assert len(holder.calls) == 1


class TestChargingHere:
    def test_without_a_lease_the_holder_is_unable(self):
        state = front.EntryProcess().state
        state.config_valid = lambda: False
        found = charging.SharedAdmitter(state, None)
        call = rpc.idl.ChargeCall(account='acme', wait_s=0.01)
        reply = asyncio.run(found.serve_charge(call))
        assert reply.outcome == charging.UNABLE

    def test_without_tokens_the_charge_is_limited(self):
        found = charging.SharedAdmitter(front.EntryProcess().state, None)
        call = rpc.idl.ChargeCall(account='acme', wait_s=0.01)
        reply = asyncio.run(found.serve_charge(call))
        assert reply.outcome == charging.LIMITED
        assert reply.retry_after_s >= admission.MAX_RATE_WAIT_S


class TestPlacement:
    def test_accounts_with_small_bursts_have_the_same_holder_everywhere(self):
        entries = [f'e{n}' for n in range(20)]
        found = placement.charging_entry('acme', 5.0, entries)
        assert found in entries
        assert placement.charging_entry('acme', 5.0, entries[::-1]) == found

    def test_the_holder_stays_when_another_process_leaves(self):
        """Guards against moving all accounts when one process leaves."""
        entries = [f'e{n}' for n in range(20)]
        found = placement.charging_entry('acme', 5.0, entries)
        rest = [e for e in entries if e == found or e != 'e7']
        assert placement.charging_entry('acme', 5.0, rest) == found

    def test_accounts_with_large_bursts_have_no_holder(self):
        assert placement.charging_entry('acme', 50.0, ['a', 'b']) is None
