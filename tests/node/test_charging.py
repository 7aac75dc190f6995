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

    def test_the_holder_learns_the_priority(self):
        """Guards against urgent requests that wait behind others there."""
        holder = Holder()
        found = admitter(holder)
        asyncio.run(
            found.charge_account('acme', clocks.boottime() + 0.05, priority=2)
        )
        assert holder.calls[0].priority == 2

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


class SilentHolder(Holder):
    """Simulate a holder behind a partition: calls run into their timeout."""

    async def call(self, api, call, timeout_s):
        self.calls.append(call)
        await asyncio.sleep(timeout_s)
        raise rpc.RpcError('no answer', sent=True)


class TestHoldersCutOff:
    """Pattern: half of the entry VMs are cut off from the others.

    They charge half of the accounts for everybody. Tokens of these accounts
    that are not in use there can be had from the control leader.
    """

    def test_the_first_operation_is_charged_here_in_time(self):
        """Guards against refusing accounts within their rate."""
        holder = SilentHolder()
        found = admitter(holder)
        state = found._state

        def renew_now():
            # The leader's answer arrives after a relayed exchange.
            asyncio.get_running_loop().call_later(0.1, grant_tokens)

        def grant_tokens():
            bucket = state.bucket('acme')
            bucket._validity.until = float('inf')
            bucket._holding.tokens = bucket._holding.capacity = 1.0

        state.renew_now = renew_now
        objective_share_s = 0.3

        async def work():
            started = clocks.boottime()
            await found.charge_account('acme', started + objective_share_s)
            return clocks.boottime() - started

        assert asyncio.run(work()) < 0.5
        assert len(holder.calls) == 1

    def test_a_holder_without_a_token_is_waited_for(self):
        """Guards against taking a short burst for a silent process."""

        class BusyHolder(Holder):
            async def call(self, api, call, timeout_s):
                self.calls.append(call)
                if len(self.calls) == 1:
                    await asyncio.sleep(call.wait_s)
                    return rpc.idl.ChargeReply(
                        outcome=charging.LIMITED, retry_after_s=1.0
                    )
                return rpc.idl.ChargeReply(outcome=charging.TAKEN)

        holder = BusyHolder()
        found = admitter(holder)

        async def work():
            await found.charge_account('acme', clocks.boottime() + 0.6)

        asyncio.run(work())
        assert len(holder.calls) == 2
        assert holder.calls[1].wait_s > 0.4


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
