"""Joins a control member without a vote to the members that have one."""

import asyncio
import itertools

import orjson

from sassafrasridge_core import raftmembers
from sassafrasridge_node import control
from sassafrasridge_node import logs
from sassafrasridge_node import rpc

JOIN_INTERVAL_S = 0.25
"""Time between two requests; a new member must vote within the time that the
deployment allows for catching up."""

JOIN_TIMEOUT_S = 0.7


async def join(
    member: control.ControlMember, seeds: list[str], pool: rpc.ClientPool
) -> None:
    """Ask the known members for a vote whenever this member has none."""
    if not _votes(member):
        logs.change('joining', seeds=seeds, disk_id=member.log.disk_id)
    reason = ''
    for turn in itertools.count():
        await asyncio.sleep(JOIN_INTERVAL_S)
        if _votes(member):
            continue
        listed = dict.fromkeys([*member.addresses(), *seeds])
        known = [a for a in listed if a != member.rpc_address]
        if not known:
            continue
        address = known[turn % len(known)]
        last, reason = reason, await _ask(member, address, pool)
        if reason and reason != last:
            logs.change('join_deferred', address=address, reason=reason)


def _votes(member: control.ControlMember) -> bool:
    # The member has another log after its disk failed and works again.
    log = member.log
    return raftmembers.votes(log.members, log.name, log.disk_id)


async def _ask(
    member: control.ControlMember, address: str, pool: rpc.ClientPool
) -> str:
    """Ask for a vote; return why there is none yet, '' on progress."""
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
