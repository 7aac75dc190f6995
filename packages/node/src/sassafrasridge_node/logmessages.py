"""Sends the messages of the replicated log to other members."""

import asyncio
import collections.abc
import typing

from sassafrasridge_core import raftmessages
from sassafrasridge_node import clocks
from sassafrasridge_node import commitreports
from sassafrasridge_node import rpc

# Shorter than the shortest election timeout, so that an unresponsive
# connection is replaced before a follower starts an election.
MESSAGE_TIMEOUT_S = 0.3


class MessageSender:
    """Send messages, each with the commits that its recipient lacks.

    ``address`` returns the thrift address of a member, None if unknown.
    """

    def __init__(
        self,
        address: collections.abc.Callable[[str], str | None],
        pool: rpc.ClientPool,
        reports: commitreports.CommitReports,
    ) -> None:
        self._address = address
        self._pool = pool
        self._reports = reports
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, message: raftmessages.Message, to_voter: bool) -> None:
        """Start to send a message; ``to_voter`` if its recipient votes."""
        address = self._address(message.recipient)
        if address is None:
            return
        attached = self._reports.attachment(
            clocks.boottime(), message, to_voter
        )
        wire = rpc.idl.LogMessage(
            sender=message.sender,
            recipient=message.recipient,
            body=message.encode(),
            acknowledged=attached.body if attached else None,
        )
        task = asyncio.ensure_future(self._deliver(address, wire, attached))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver(
        self,
        address: str,
        wire: typing.Any,
        attached: commitreports.Attachment | None,
    ) -> None:
        # The log resends lost messages, so a failed call needs no handling.
        try:
            received = await self._pool.get(address).call(
                'log_message', wire, timeout_s=MESSAGE_TIMEOUT_S
            )
        except (rpc.RpcError, rpc.RemoteCallError):
            return
        if received and attached is not None:
            self._reports.delivered(clocks.boottime(), attached)
