"""Operators' commands and announcements at any daemon."""

import asyncio
import collections.abc
import typing

import orjson

from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_node import clocks
from sassafrasridge_node import control
from sassafrasridge_node import entry
from sassafrasridge_node import front
from sassafrasridge_node import rpc

COMMAND_TIMEOUT_S = 4.0
MEMBER_TIMEOUT_S = 14.0
DRAIN_RECORD_TIMEOUT_S = 2.0
"""A planned stop waits no longer for its record in the audit trail."""

NOTE_COMMANDS = ('submit_note', 'check_note')


class Operators(front.OperatorPort):
    """Pass commands to a control member, and announcements to the tasks."""

    def __init__(
        self,
        pool: rpc.ClientPool,
        members: list[str],
        state: entry.EntryState | None,
        member: control.ControlMember | None,
        drain: collections.abc.Callable[[], None],
        name: str = '',
    ) -> None:
        self._name = name
        self._pool = pool
        self._members = members
        self._state = state
        self._member = member
        self._drain = drain

    async def command(
        self, kind: str, body: dict[str, typing.Any], who: str, address: str
    ) -> front.OperatorReply:
        """Execute a command at the control leader."""
        if kind == 'drain':
            recorded = await self._record_drain(who, address)
            self._drain()
            return front.OperatorReply(
                {'draining': True, 'recorded': recorded}, 202
            )
        if kind in NOTE_COMMANDS:
            body = {'note': body}
        if 'who' in body:
            body = {**body, 'filter_who': body['who']}
        payload = orjson.dumps({**body, 'who': who, 'address': address})
        limit = (
            MEMBER_TIMEOUT_S if kind == 'change_members' else COMMAND_TIMEOUT_S
        )
        reply = await self._send(kind, payload, limit)
        return front.OperatorReply(orjson.loads(reply.body), reply.status)

    async def _record_drain(self, who: str, address: str) -> bool:
        """Record a planned stop; it goes on when control can't be reached."""
        body = {'process': self._name, 'who': who, 'address': address}
        try:
            async with asyncio.timeout(DRAIN_RECORD_TIMEOUT_S):
                reply = await self._send(
                    'record_drain', orjson.dumps(body), DRAIN_RECORD_TIMEOUT_S
                )
        except (TimeoutError, errors.RidgeError, rpc.RemoteCallError):
            return False
        return bool(reply.status == 200)

    async def _send(
        self, kind: str, payload: bytes, limit_s: float
    ) -> typing.Any:
        if self._member is not None:
            return await self._member.command(kind, payload, limit_s)
        failure: errors.RidgeError = errors.UnavailableError(
            'no control member answers', kind='no_leader', retry_after_s=1.0
        )
        for address in self._members:
            client = self._pool.get(address)
            try:
                reply = await client.call(
                    'command', kind, payload, limit_s, timeout_s=limit_s
                )
            except rpc.RpcError as exc:
                if exc.sent:
                    raise control.unknown_outcome_error()
                continue
            if reply.status != 503:
                return reply
            failure = errors.UnavailableError(
                'no control leader is known',
                kind='no_leader',
                retry_after_s=1.0,
            )
        raise failure

    def announce(self, info: model.TargetInfo) -> None:
        """Take a target's announcement."""
        if self._state is not None:
            self._state.record_announcement(info)
        if self._member is not None:
            self._member.record_announcement(clocks.boottime(), info)

    def readiness(self) -> str | None:
        """Return why this process is not ready, or None."""
        if self._state is None:
            return None
        if self._state.draining:
            return 'draining'
        if not self._state.config_valid():
            return 'no_lease'
        return None
