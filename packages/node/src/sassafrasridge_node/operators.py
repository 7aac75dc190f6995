"""Handling of operator commands and announcements in every daemon."""

import asyncio
import collections.abc
import typing

import orjson

from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_node import clocks
from sassafrasridge_node import entry
from sassafrasridge_node import ports
from sassafrasridge_node import rpc

if typing.TYPE_CHECKING:
    from sassafrasridge_node import control

COMMAND_TIMEOUT_S = 4.0
MEMBERSHIP_TIMEOUT_S = 14.0
# Limit on how long a planned stop waits for its record in the audit trail.
DRAIN_RECORD_TIMEOUT_S = 2.0
NOTE_COMMANDS = ('submit_note', 'check_note')


class Operators(ports.OperatorPort):
    """Forward commands to control, and announcements to the local roles."""

    def __init__(
        self,
        pool: rpc.ClientPool,
        members: list[str],
        state: entry.EntryState | None,
        member: 'control.ControlMember | None',
        drain: collections.abc.Callable[[], None],
        name: str = '',
    ) -> None:
        self._process_name = name
        self._pool = pool
        self._member_addresses = members
        self._state = state
        self._member = member
        self._drain = drain

    async def command(
        self, kind: str, body: dict[str, typing.Any], who: str, address: str
    ) -> ports.OperatorReply:
        """Execute a command at the control leader, except for drain.

        A drain stops this process. Raises RidgeError.
        """
        if kind == 'drain':
            recorded = await self._record_drain(who, address)
            self._drain()
            return ports.OperatorReply(
                {'draining': True, 'recorded': recorded}, 202
            )
        if kind in NOTE_COMMANDS:
            body = {'note': body}
        if 'who' in body:
            body = {**body, 'filter_who': body['who']}
        payload = orjson.dumps({**body, 'who': who, 'address': address})
        timeout_s = (
            MEMBERSHIP_TIMEOUT_S
            if kind == 'change_members'
            else COMMAND_TIMEOUT_S
        )
        reply = await self._send_to_leader(kind, payload, timeout_s)
        return ports.OperatorReply(orjson.loads(reply.body), reply.status)

    async def _record_drain(self, who: str, address: str) -> bool:
        """Record a planned stop in the audit trail; return whether it worked.

        The stop goes ahead even if control cannot be reached.
        """
        body = {'process': self._process_name, 'who': who, 'address': address}
        try:
            async with asyncio.timeout(DRAIN_RECORD_TIMEOUT_S):
                reply = await self._send_to_leader(
                    'record_drain', orjson.dumps(body), DRAIN_RECORD_TIMEOUT_S
                )
        except (TimeoutError, errors.RidgeError, rpc.RemoteCallError):
            return False
        return bool(reply.status == 200)

    async def _send_to_leader(
        self, kind: str, payload: bytes, timeout_s: float
    ) -> typing.Any:
        if self._member is not None:
            return await self._member.command(kind, payload, timeout_s)
        error: errors.RidgeError = errors.UnavailableError(
            'no control member can be reached',
            kind='no_leader',
            retry_after_s=1.0,
        )
        for address in self._member_addresses:
            client = self._pool.get(address)
            try:
                reply = await client.call(
                    'command', kind, payload, timeout_s, timeout_s=timeout_s
                )
            except rpc.RpcError as exc:
                if exc.sent:
                    raise errors.unknown_outcome_error()
                continue
            if reply.status != 503:
                return reply
            error = errors.UnavailableError(
                'no control leader is known',
                kind='no_leader',
                retry_after_s=1.0,
            )
        raise error

    def announce(self, info: model.TargetInfo) -> None:
        """Process the announcement of a target."""
        if self._state is not None:
            self._state.record_announcement(info)
        if self._member is not None:
            self._member.record_announcement(clocks.boottime(), info)

    def readiness(self) -> str | None:
        """Return why this process is not ready, or None if it is."""
        if self._state is None:
            return None
        if self._state.draining:
            return 'draining'
        if not self._state.config_valid():
            return 'no_lease'
        return None
