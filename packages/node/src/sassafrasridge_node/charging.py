"""Has another entry process take the tokens of small client accounts."""

import typing

from sassafrasridge_core import errors
from sassafrasridge_node import admission
from sassafrasridge_node import clocks
from sassafrasridge_node import entry
from sassafrasridge_node import logs
from sassafrasridge_node import peers
from sassafrasridge_node import rpc

TAKEN = 'taken'
LIMITED = 'limited'
UNABLE = 'unable'
"""What became of a charge: a token, none in time, or no lease there."""

ANSWER_MARGIN_S = 0.2
"""Time beyond the wait for a token in which the answer arrives."""


class SharedAdmitter(admission.Admitter):
    """Charge accounts here, or through the process that holds their tokens."""

    def __init__(self, state: entry.EntryState, pool: rpc.ClientPool) -> None:
        super().__init__(state)
        self._pool = pool
        self._silent = peers.SilentPeers()

    async def charge_account(self, account: str, deadline: float) -> None:
        """Take a token of a client account; wait briefly for one.

        Raises RateLimitedError, not run.
        """
        if account != admission.ANONYMOUS:
            holder = self._state.charging_entry(account)
            if holder and await self._charge_at(holder, account, deadline):
                return
        await super().charge_account(account, deadline)

    async def _charge_at(
        self, holder: str, account: str, deadline: float
    ) -> bool:
        """Return False when the holder can't tell; raise RateLimitedError."""
        address = self._state.entries.get(holder)
        if address is None or holder in self._silent:
            return False
        rest_s = deadline - clocks.boottime()
        wait_s = max(0.0, min(admission.MAX_RATE_WAIT_S, rest_s))
        call = rpc.idl.ChargeCall(account=account, wait_s=wait_s)
        try:
            reply = await self._pool.get(address).call(
                'charge', call, timeout_s=wait_s + ANSWER_MARGIN_S
            )
        except (rpc.RpcError, rpc.RemoteCallError) as exc:
            self._silent.note(holder)
            logs.change(
                'charge_failed',
                account=account,
                entry=holder,
                reason=str(exc),
                entries_revision=self._state.entries_revision,
            )
            return False
        if reply.outcome == LIMITED:
            raise admission.limited(account, reply.retry_after_s)
        return bool(reply.outcome == TAKEN)

    async def serve(self, call: typing.Any) -> typing.Any:
        """Take a token for another entry process."""
        if not self._state.config_valid():
            return rpc.idl.ChargeReply(outcome=UNABLE, retry_after_s=0.0)
        deadline = clocks.boottime() + call.wait_s
        try:
            await super().charge_account(call.account, deadline)
        except errors.RateLimitedError as exc:
            return rpc.idl.ChargeReply(
                outcome=LIMITED, retry_after_s=exc.retry_after_s or 0.0
            )
        except errors.RidgeError as exc:
            logs.change(
                'charge_refused', account=call.account, reason=exc.message
            )
            return rpc.idl.ChargeReply(outcome=UNABLE, retry_after_s=0.0)
        return rpc.idl.ChargeReply(outcome=TAKEN, retry_after_s=0.0)
