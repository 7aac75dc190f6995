"""Charges small client accounts through the process with their tokens.

The rate tokens of a small account are all held by one entry process, which
the other entry processes call to take one.
"""

import typing

from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_node import admission
from sassafrasridge_node import clocks
from sassafrasridge_node import entry
from sassafrasridge_node import logs
from sassafrasridge_node import peers
from sassafrasridge_node import rpc

# Outcomes of a charge: a token was taken, none was available in time, or the
# process that holds the tokens could not decide, for example without a lease.
TAKEN = 'taken'
LIMITED = 'limited'
UNABLE = 'unable'

# Time allowed for the reply, in addition to the wait for a token.
ANSWER_MARGIN_S = 0.2

# A process that has the token answers within a round trip. The first call
# waits only briefly for a token, so that a silent process is noticed while the
# operation can still be charged here.
FIRST_WAIT_S = 0.1
FIRST_ANSWER_MARGIN_S = 0.15

# Least time in which this process can get a token from the control leader
# after the holder did not answer: a relayed renewal and its reply.
CONTROL_EXCHANGE_S = 0.3


class SharedAdmitter(admission.Admitter):
    """Charge client accounts here or through the holder of their tokens."""

    def __init__(self, state: entry.EntryState, pool: rpc.ClientPool) -> None:
        super().__init__(state)
        self._pool = pool
        self._silent_peers = peers.UnresponsivePeers()

    async def charge_account(
        self, account: str, deadline: float, priority: int = 0
    ) -> None:
        """Take a rate token of a client account, waiting briefly for one.

        Requests of a lower ``priority`` number get their tokens first. Raises
        RateLimitedError; the request was not run.
        """
        if account != admission.ANONYMOUS:
            holder = self._state.charging_entry(account)
            if holder:
                if await self._charge_through(
                    holder, account, deadline, priority
                ):
                    return
                deadline = max(
                    deadline, clocks.boottime() + CONTROL_EXCHANGE_S
                )
        await super().charge_account(account, deadline, priority)

    async def _charge_through(
        self, holder: str, account: str, deadline: float, priority: int
    ) -> bool:
        """Return whether the holder took a token; raise RateLimitedError.

        Returns False if the holder did not answer or could not decide.
        """
        address = self._state.entries.get(holder)
        if address is None or holder in self._silent_peers:
            return False
        wait_s = _remaining_wait_s(deadline)
        reply = await self._call(
            holder,
            address,
            account,
            priority,
            min(wait_s, FIRST_WAIT_S),
            FIRST_ANSWER_MARGIN_S,
        )
        if reply is not None and reply.outcome == LIMITED:
            wait_s = _remaining_wait_s(deadline)
            if wait_s > 0:
                # The holder works but has no token yet.
                reply = await self._call(
                    holder,
                    address,
                    account,
                    priority,
                    wait_s,
                    ANSWER_MARGIN_S,
                )
        if reply is None:
            return False
        if reply.outcome == LIMITED:
            raise admission.rate_limited_error(account, reply.retry_after_s)
        return bool(reply.outcome == TAKEN)

    async def _call(
        self,
        holder: str,
        address: str,
        account: str,
        priority: int,
        wait_s: float,
        margin_s: float,
    ) -> typing.Any:
        """Return the holder's reply, None if it did not answer in time."""
        call = rpc.idl.ChargeCall(
            account=account,
            wait_s=wait_s,
            priority=min(priority, model.MAX_COUNT),
        )
        try:
            return await self._pool.get(address).call(
                'charge', call, timeout_s=wait_s + margin_s
            )
        except (rpc.RpcError, rpc.RemoteCallError) as exc:
            self._silent_peers.record_failure(holder)
            logs.log_event(
                'charge_failed',
                account=account,
                entry=holder,
                reason=str(exc),
                entries_revision=self._state.entries_revision,
            )
            return None

    async def serve_charge(self, call: typing.Any) -> typing.Any:
        """Take a token on behalf of another entry process."""
        if not self._state.config_valid():
            return rpc.idl.ChargeReply(outcome=UNABLE, retry_after_s=0.0)
        deadline = clocks.boottime() + call.wait_s
        try:
            await super().charge_account(
                call.account, deadline, call.priority or 0
            )
        except errors.RateLimitedError as exc:
            return rpc.idl.ChargeReply(
                outcome=LIMITED, retry_after_s=exc.retry_after_s or 0.0
            )
        except errors.RidgeError as exc:
            logs.log_event(
                'charge_refused', account=call.account, reason=exc.message
            )
            return rpc.idl.ChargeReply(outcome=UNABLE, retry_after_s=0.0)
        return rpc.idl.ChargeReply(outcome=TAKEN, retry_after_s=0.0)


def _remaining_wait_s(deadline: float) -> float:
    """Return how long an operation can still wait for a token, in seconds."""
    return max(
        0.0, min(admission.MAX_RATE_WAIT_S, deadline - clocks.boottime())
    )
