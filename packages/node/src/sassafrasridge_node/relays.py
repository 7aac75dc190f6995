"""Relays renewals from a control member to the leader in batches."""

import asyncio
import collections.abc
import typing

from sassafrasridge_node import metrics
from sassafrasridge_node import rpc

# Longest time that a renewal waits for its batch to be sent.
BATCH_INTERVAL_S = 0.05
# Number of renewals in a full batch. A renewal with 100 accounts and 39
# targets takes 17 kB, so a batch of them takes 1.1 MB of the frame limit of
# 4 MiB; see docs/CAPACITY.md.
MAX_BATCH = 64
# Leaves time for a renewal interval and a second attempt within the lease.
BATCH_TIMEOUT_S = 0.4


def refusal(
    req: typing.Any,
    reason: str,
    leader_clock: int | None = None,
    leader_term: int = 0,
) -> typing.Any:
    """Return a renewal reply that refuses the lease.

    The sender reports that it got the reply if ``leader_term`` is set.
    """
    return rpc.idl.RenewReply(
        granted=False,
        reason=reason,
        leader_term=leader_term,
        sequence=req.sequence,
        leader_clock=leader_clock,
    )


def _is_urgent(req: typing.Any) -> bool:
    """Return whether requests of callers wait for the renewal's reply."""
    return any(report.wanted_tokens for report in req.accounts or ())


class RenewalRelay:
    """Collect renewals and send them to the leader in batches."""

    def __init__(
        self,
        member: str,
        leader: collections.abc.Callable[[], rpc.Client | None],
        counters: metrics.Metrics,
    ) -> None:
        self._metrics = counters
        self._member = member
        self._leader_client = leader
        self._queued: list[tuple[typing.Any, asyncio.Future[typing.Any]]] = []
        self._timer: asyncio.TimerHandle | None = None

    async def renew(self, req: typing.Any) -> typing.Any:
        """Return the leader's reply, or a refusal if it doesn't answer."""
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[typing.Any] = loop.create_future()
        self._queued.append((req, fut))
        if len(self._queued) >= MAX_BATCH or _is_urgent(req):
            self._flush()
        elif self._timer is None:
            self._timer = loop.call_later(BATCH_INTERVAL_S, self._flush)
        return await fut

    def _flush(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        batch, self._queued = self._queued, []
        if batch:
            asyncio.ensure_future(self._forward_batch(batch))

    async def _forward_batch(
        self, batch: list[tuple[typing.Any, asyncio.Future[typing.Any]]]
    ) -> None:
        replies = await self._send_batch([req for req, _ in batch])
        for (req, fut), reply in zip(batch, replies, strict=True):
            if not fut.done():
                fut.set_result(reply or refusal(req, 'no_leader'))

    async def _send_batch(
        self, requests: list[typing.Any]
    ) -> collections.abc.Sequence[typing.Any]:
        client = self._leader_client()
        no_replies = [None] * len(requests)
        if client is None:
            return no_replies
        batch = rpc.idl.RenewBatch(member=self._member, requests=requests)
        self._metrics.renewal_batches.inc()
        try:
            reply = await client.call(
                'renew_batch', batch, timeout_s=BATCH_TIMEOUT_S
            )
        except (rpc.RpcError, rpc.RemoteCallError):
            return no_replies
        if len(reply.replies) != len(requests):
            return no_replies
        return typing.cast(list[typing.Any], reply.replies)
