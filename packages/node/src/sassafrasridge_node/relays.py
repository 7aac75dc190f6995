"""Relays renewals from a control member to the leader in batches."""

import asyncio
import collections.abc
import typing

from sassafrasridge_node import metrics
from sassafrasridge_node import rpc

BATCH_INTERVAL_S = 0.05
MAX_BATCH = 64
"""A renewal with 100 accounts and 39 targets takes 17 kB, so that a full batch
of them takes 1.1 MB of the 4 MiB of a frame; see docs/CAPACITY.md."""

CALL_TIMEOUT_S = 0.4
"""Shorter than the renewal interval plus a second try within the lease."""


def refusal(req: typing.Any, reason: str) -> typing.Any:
    """Return a reply that grants nothing."""
    return rpc.idl.RenewReply(
        granted=False, reason=reason, sequence=req.sequence
    )


class RenewalRelay:
    """Collect renewals and pass them on to the leader."""

    def __init__(
        self,
        member: str,
        leader: collections.abc.Callable[[], rpc.Client | None],
        counters: metrics.Metrics,
    ) -> None:
        self._metrics = counters
        self._member = member
        self._leader = leader
        self._waiting: list[tuple[typing.Any, asyncio.Future[typing.Any]]] = []
        self._timer: asyncio.TimerHandle | None = None

    async def renew(self, req: typing.Any) -> typing.Any:
        """Return the leader's reply, or a refusal when there is none."""
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[typing.Any] = loop.create_future()
        self._waiting.append((req, fut))
        if len(self._waiting) >= MAX_BATCH:
            self._flush()
        elif self._timer is None:
            self._timer = loop.call_later(BATCH_INTERVAL_S, self._flush)
        return await fut

    def _flush(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        batch, self._waiting = self._waiting, []
        if batch:
            asyncio.ensure_future(self._pass_on(batch))

    async def _pass_on(
        self, batch: list[tuple[typing.Any, asyncio.Future[typing.Any]]]
    ) -> None:
        replies = await self._ask([req for req, _ in batch])
        for (req, fut), reply in zip(batch, replies, strict=True):
            if not fut.done():
                fut.set_result(reply or refusal(req, 'no_leader'))

    async def _ask(
        self, requests: list[typing.Any]
    ) -> collections.abc.Sequence[typing.Any]:
        client = self._leader()
        nothing = [None] * len(requests)
        if client is None:
            return nothing
        batch = rpc.idl.RenewBatch(member=self._member, requests=requests)
        self._metrics.renewal_batches.inc()
        try:
            reply = await client.call(
                'renew_batch', batch, timeout_s=CALL_TIMEOUT_S
            )
        except (rpc.RpcError, rpc.RemoteCallError):
            return nothing
        if len(reply.replies) != len(requests):
            return nothing
        return typing.cast(list[typing.Any], reply.replies)
