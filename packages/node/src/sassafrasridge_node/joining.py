"""Makes this control member a voter by requests to the other members."""

import asyncio
import itertools

import orjson

from sassafrasridge_core import raftmembers
from sassafrasridge_node import control
from sassafrasridge_node import logs
from sassafrasridge_node import rpc

# Time between two join requests. A new member must become a voter within the
# time that the deployment allows for catching up.
JOIN_INTERVAL_S = 0.25
# Time after which a join request counts as unanswered.
JOIN_TIMEOUT_S = 0.7


async def join(
    member: control.ControlMember, seeds: list[str], pool: rpc.ClientPool
) -> None:
    """Send join requests while this member is not a voter, until cancelled.

    A member that was removed while it was frozen or cut off is still a voter
    in its own log, but the other members answer that it isn't listed.
    """
    if not _is_voter(member):
        logs.log_event('joining', seeds=seeds, disk_id=member.log.disk_id)
    reason = ''
    for turn in itertools.count():
        await asyncio.sleep(JOIN_INTERVAL_S)
        if _is_voter(member) and not member.log.reported_unlisted:
            continue
        listed = dict.fromkeys([*member.addresses(), *seeds])
        known = [a for a in listed if a != member.rpc_address]
        if not known:
            continue
        address = known[turn % len(known)]
        last, reason = (
            reason,
            await _request_voter_status(member, address, pool),
        )
        if reason and reason != last:
            logs.log_event('join_deferred', address=address, reason=reason)


def _is_voter(member: control.ControlMember) -> bool:
    # Read on each call: after a disk error the member has a new log object.
    log = member.log
    return raftmembers.is_voter(log.members, log.name, log.disk_id)


async def _request_voter_status(
    member: control.ControlMember, address: str, pool: rpc.ClientPool
) -> str:
    """Send a join request; return why it failed, '' if accepted."""
    body = {
        'name': member.log.name,
        'disk_id': member.log.disk_id,
        'address': member.rpc_address,
    }
    try:
        reply = await pool.get(address).call(
            'command',
            'join',
            orjson.dumps(body),
            JOIN_TIMEOUT_S,
            timeout_s=JOIN_TIMEOUT_S,
        )
    except (rpc.RpcError, rpc.RemoteCallError) as exc:
        return type(exc).__name__
    if reply.ok:
        return ''
    return str(orjson.loads(reply.body)['error']['kind'])
