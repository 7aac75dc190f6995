"""Operator and member commands that the control leader executes."""

import asyncio
import collections
import collections.abc
import time
import typing

from sassafrasridge_core import configuration
from sassafrasridge_core import directory
from sassafrasridge_core import errors
from sassafrasridge_core import grouprecords
from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_core import raft
from sassafrasridge_core import raftmembers
from sassafrasridge_core import state as core_state
from sassafrasridge_core import wholeconfig
from sassafrasridge_core import zonedrain
from sassafrasridge_node import clocks
from sassafrasridge_node import control
from sassafrasridge_node import leadership
from sassafrasridge_node import logs

# Largest number of notes or audit entries in one reply.
MAX_LISTED = 1000
# Longest wait for each step of a membership change.
CATCH_UP_TIMEOUT_S = 10.0
CATCH_UP_POLL_INTERVAL_S = 0.05

Body = dict[str, typing.Any]
Handler = collections.abc.Callable[
    [control.ControlMember, Body],
    collections.abc.Awaitable[core_state.Reply],
]


async def submit_note(
    member: control.ControlMember, body: Body
) -> core_state.Reply:
    """Commit a release note."""
    return await member.propose(
        {
            'type': 'note',
            'note': body['note'],
            'operator': body['who'],
            'address': body['address'],
            'time': time.time(),
            'confirmed_revision': _confirmed_revision(member),
        }
    )


async def check_note(
    member: control.ControlMember, body: Body
) -> core_state.Reply:
    """Return the effect of a release note without committing it."""
    return member.state.check_note(
        body['note'], body['who'], _confirmed_revision(member)
    )


def _leadership(
    member: control.ControlMember,
) -> leadership.Leadership:
    if member.leadership is None:
        raise control.NoLeaderError('this member is not the control leader')
    return member.leadership


def _holders(member: control.ControlMember) -> list[leases.LeaseHolder]:
    return list(_leadership(member).lease_table.holders.values())


def _confirmed_revision(member: control.ControlMember) -> int:
    """Return the revision that all registered entry processes have."""
    confirmed: dict[str, int] = {}
    for holder in _holders(member):
        known = confirmed.get(holder.entry, holder.revision)
        confirmed[holder.entry] = min(known, holder.revision)
    return min(
        (confirmed.get(entry, 0) for entry in member.state.entries),
        default=member.state.revision,
    )


async def list_notes(
    member: control.ControlMember, body: Body
) -> core_state.Reply:
    """Return the last accepted notes, newest first."""
    log = member.state.answers
    first = max(0, len(log) - MAX_LISTED)
    notes = [
        log.answer_at(index).as_json() for index in range(first, len(log))
    ]
    return _ok({'notes': notes[::-1]})


async def show_note(
    member: control.ControlMember, body: Body
) -> core_state.Reply:
    """Return a note's answer and the processes where it is in force."""
    answer = member.state.answers.get(int(body['number']))
    if answer is None:
        raise errors.UnknownServiceError(
            f'note {body["number"]} was not accepted',
            kind='unknown_note',
            remedy='Check the number of the note.',
        )
    now = clocks.boottime()
    current = _leadership(member)
    up_to_date, outdated = [], []
    for holder in _holders(member):
        record = {
            'entry': holder.entry,
            'zone': holder.zone,
            'revision': holder.revision,
            'seconds_since_renewal': round(now - holder.answered_at, 3),
        }
        is_behind = holder.revision < answer.revision
        (outdated if is_behind else up_to_date).append(record)
    without_lease = _entries_without_lease(member)
    if not current.lease_table.earlier_shares_expired(now):
        # These processes may hold a lease of an earlier leader and not have
        # renewed it with this leader yet.
        outdated += without_lease
        without_lease = []
    return _ok(
        {
            **answer.as_json(),
            'in_force': not outdated,
            'in_force_at': up_to_date,
            'not_in_force_at': outdated,
            'without_lease': without_lease,
        }
    )


def _entries_without_lease(member: control.ControlMember) -> list[Body]:
    """Return registered entry processes that hold no lease.

    They no longer serve any request that depends on the configuration.
    """
    known = {holder.entry for holder in _holders(member)}
    return [
        {'entry': entry, 'zone': process.zone}
        for entry, process in member.state.entries.items()
        if entry not in known
    ]


async def status(
    member: control.ControlMember, body: Body
) -> core_state.Reply:
    """Return members, entry processes, groups and accounts."""
    now = clocks.boottime()
    current = _leadership(member)
    reconciler = member.reconciler
    state = member.state
    return _ok(
        {
            'leader': member.name,
            'term': member.log.term,
            'revision': state.revision,
            'members': _member_records(member),
            'nodes': [
                {
                    'entry': h.entry,
                    'zone': h.zone,
                    'address': h.address,
                    'revision': h.revision,
                    'lease': current.lease_table.may_be_valid(now, h),
                    'draining': h.draining,
                }
                for h in _holders(member)
            ],
            'groups': [
                {
                    **grouprecords.as_json(view),
                    'group_majority_lost': reconciler is not None
                    and view.group in reconciler.groups_without_majority,
                }
                for view in state.groups.values()
            ],
            'targets': [
                {
                    'group': info.group,
                    'server': info.server,
                    'zone': info.zone,
                    'address': info.address,
                    'role': info.role,
                    'term': info.term,
                    'position': info.position,
                    'leaving': info.leaving,
                    'seconds_since_heard': round(
                        current.detector.seconds_since_heard(
                            now, info.group, info.server
                        ),
                        3,
                    ),
                }
                for group in sorted(current.detector.groups())
                for info in current.detector.targets(group)
            ],
            'accounts': [
                {'name': a.name, 'rate': a.rate, 'burst': a.burst}
                for a in state.accounts()
            ],
        }
    )


async def audit(member: control.ControlMember, body: Body) -> core_state.Reply:
    """Return entries of the audit trail."""
    since = body.get('since')
    try:
        start = None if since is None else float(since)
    except ValueError:
        raise errors.BadRequestError(f'since {since!r} is not a time in s')
    after = body.get('after')
    if after is not None:
        if not (after.isascii() and after.isdigit() and len(after) <= 18):
            raise errors.BadRequestError(f'after {after!r} is not a sequence')
        after = int(after)
    entries = member.state.trail.select(
        who=body.get('filter_who'),
        kind=body.get('kind'),
        since=start,
        limit=MAX_LISTED,
        after=after,
    )
    return _ok({'entries': entries})


async def remove_entry(
    member: control.ControlMember, body: Body
) -> core_state.Reply:
    """Unregister an entry process that will not return."""
    name = str(body.get('name', ''))
    if body.get('action') != 'remove':
        raise errors.BadRequestError(
            f"action {body.get('action')!r} is not 'remove'"
        )
    now = clocks.boottime()
    current = _leadership(member)
    if not current.lease_table.earlier_shares_expired(now):
        # The process may hold a lease of an earlier leader and not have
        # renewed it with this leader yet.
        raise errors.UnavailableError(
            'this leader does not know all lease holders yet',
            kind='no_leader',
            retry_after_s=1.0,
        )
    if any(holder.entry == name for holder in _holders(member)):
        raise errors.ConflictError(
            f'entry process {name!r} holds a lease',
            kind='entry_alive',
            remedy='Stop the process, then try again.',
        )
    if name not in member.state.entries:
        raise errors.UnknownServiceError(
            f'entry process {name!r} is not registered',
            kind='unknown_entry',
            remedy='Check the name with sassafrasridge status.',
        )
    return await member.propose(
        {
            'type': 'entry',
            'action': 'remove',
            'entry': name,
            'operator': body['who'],
            'address': body['address'],
            'time': time.time(),
        }
    )


async def record_drain(
    member: control.ControlMember, body: Body
) -> core_state.Reply:
    """Add the drain of a process by an operator to the audit trail."""
    return await member.propose(
        {
            'type': 'audit',
            'kind': 'drain',
            'what': f'drain {body["process"]}',
            'operator': body['who'],
            'address': body['address'],
            'time': time.time(),
        }
    )


async def list_members(
    member: control.ControlMember, body: Body
) -> core_state.Reply:
    """Return the control members."""
    return _ok({'leader': member.name, 'members': _member_records(member)})


def _member_records(member: control.ControlMember) -> list[Body]:
    progress = member.log.peer_progress()
    now = clocks.boottime()
    found = []
    for name, item in member.log.members.items():
        index, acked_at = progress.get(name, (member.log.last_index, now))
        found.append(
            {
                'name': name,
                'disk_id': item.disk_id,
                'voter': item.voter,
                'address': member.address(name) or '',
                'index': index,
                'seconds_since_answer': round(now - acked_at, 3),
            }
        )
    for name, disk_id in member.log.unlisted.items():
        found.append({'name': name, 'disk_id': disk_id, 'listed': False})
    return found


async def change_members(
    member: control.ControlMember, body: Body
) -> core_state.Reply:
    """Add, remove or replace a control member.

    Adding or replacing a member completes only when it is a voter that
    holds all committed entries, so that the loss of another member is safe
    from then on.
    """
    action, name = body.get('action'), str(body.get('name', ''))
    if action == 'remove':
        await _change_membership(member, raft.Remove(name))
    elif action in ('add', 'replace'):
        await _add_voter(member, name)
    else:
        raise errors.BadRequestError(
            f"action {action!r} is not 'add', 'replace' or 'remove'"
        )
    await member.propose(
        {
            'type': 'audit',
            'kind': 'member',
            'what': f'{action} {name}',
            'operator': body['who'],
            'address': body['address'],
            'time': time.time(),
        }
    )
    return _ok({'members': _member_records(member)})


async def _add_voter(member: control.ControlMember, name: str) -> None:
    disk_id = await _wait_for(lambda: member.log.unlisted.get(name))
    if disk_id is not None:
        await _change_membership(member, raft.AddLearner(name, disk_id))
    listed = member.log.members.get(name)
    if listed is None:
        raise errors.UnavailableError(
            f'member {name!r} has not contacted this cluster',
            kind='unknown_member',
            remedy='Start it with an empty data folder, then try again.',
        )
    if not listed.voter:
        if not await _wait_for(lambda: member.log.caught_up(name)):
            raise errors.UnavailableError(
                f'member {name!r} has not caught up yet',
                kind='membership_busy',
                retry_after_s=1.0,
            )
        await _change_membership(member, raft.Promote(name))
    if not await _wait_for(lambda: member.log.caught_up(name)):
        raise errors.UnavailableError(
            f'member {name!r} does not hold all committed entries yet',
            kind='membership_busy',
            retry_after_s=1.0,
        )


async def _change_membership(
    member: control.ControlMember, change: raftmembers.Change
) -> None:
    term, index = member.log.change_members(clocks.boottime(), change)
    member.wake()
    await _wait_for(lambda: member.applied_index >= index)
    if member.log.term != term:
        raise control.unknown_outcome_error()


async def _wait_for(
    condition: collections.abc.Callable[[], typing.Any],
) -> typing.Any:
    deadline = clocks.boottime() + CATCH_UP_TIMEOUT_S
    while True:
        value = condition()
        if value or clocks.boottime() > deadline:
            return value
        await asyncio.sleep(CATCH_UP_POLL_INTERVAL_S)


def _ok(body: Body) -> core_state.Reply:
    return core_state.Reply(True, 200, body)


async def submit_configuration(
    member: control.ControlMember, body: Body
) -> core_state.Reply:
    """Commit a whole configuration.

    If its number isn't above the one in force, nothing is committed. The
    reply then requires that a majority has recently confirmed this leader
    and that all commits are applied here.
    """
    whole = wholeconfig.parse(body.get('configuration'))
    if whole.number <= member.state.whole_number:
        _require_all_applied(member)
        return _ok({'number': member.state.whole_number, 'changed': False})
    reply = await member.propose(
        {
            'type': 'configuration',
            'configuration': body['configuration'],
            'source': body['source'],
            'operator': body['who'],
            'address': body['address'],
            'time': time.time(),
        }
    )
    logs.log_event(
        'configuration_submitted',
        number=whole.number,
        status=reply.status,
        in_force=member.state.whole_number,
        revision=member.state.revision,
    )
    return reply


async def show_configuration(
    member: control.ControlMember, body: Body
) -> core_state.Reply:
    """Return the source text of the configuration in force."""
    _require_all_applied(member)
    state = member.state
    return _ok({'number': state.whole_number, 'source': state.whole_source})


def _require_all_applied(member: control.ControlMember) -> None:
    """Raise NoLeaderError unless this member has applied all commits."""
    member.require_confirmed_leadership()
    if member.applied_index < member.log.commit_index:
        raise control.NoLeaderError('this member has not applied all commits')


async def drain_zone(
    member: control.ControlMember, body: Body
) -> core_state.Reply:
    """Commit that the targets of a zone must not be used."""
    return await _order_zone(member, body, True)


async def restore_zone(
    member: control.ControlMember, body: Body
) -> core_state.Reply:
    """Commit that the targets of a zone may be used again."""
    return await _order_zone(member, body, False)


async def _order_zone(
    member: control.ControlMember, body: Body, drained: bool
) -> core_state.Reply:
    """Commit an order, also if it repeats the one in force.

    The log then puts it after every order that arrived earlier and is still
    being committed.
    """
    zone = zonedrain.check_zone(body.get('zone'))
    reply = await member.propose(
        {
            'type': 'zone',
            'zone': zone,
            'drained': drained,
            'operator': body['who'],
            'address': body['address'],
            'time': time.time(),
        }
    )
    if not reply.ok:
        return reply
    if reply.body['changed']:
        logs.log_event(
            'zone_drained' if drained else 'zone_restored',
            zone=zone,
            who=body['who'],
            revision=member.state.revision,
        )
    # The member may have lost its leadership since the commit, and with it
    # the list of targets. The order is in force all the same.
    known = member.leadership and _targets_by_zone(member).get(zone, 0)
    return _ok({**reply.body, 'targets': known})


async def list_zones(
    member: control.ControlMember, body: Body
) -> core_state.Reply:
    """Return the zones that are known or drained."""
    _require_all_applied(member)
    targets = _targets_by_zone(member)
    orders = dict(member.state.tables.items(configuration.DRAINED_ZONE))
    zones = []
    for zone in sorted(targets.keys() | orders.keys()):
        order = orders.get(zone)
        zones.append(
            {
                'zone': zone,
                'drained': order is not None,
                'ordered_at': order and order.ordered_at,
                'operator': order and order.operator,
                'targets': targets.get(zone, 0),
            }
        )
    return _ok({'zones': zones})


def _targets_by_zone(member: control.ControlMember) -> dict[str, int]:
    """Return the number of announced targets by zone."""
    current = _leadership(member)
    known = {(i.group, i.server): i for i in current.directory.targets()}
    for group in current.detector.groups():
        for info in current.detector.targets(group):
            known.setdefault((group, info.server), info)
    return dict(collections.Counter(i.zone for i in known.values() if i.zone))


async def register(
    member: control.ControlMember, body: Body
) -> core_state.Reply:
    """Register a target that announced itself to another member."""
    names = model.TargetInfo.__slots__
    # A member of the former release doesn't send the newest fields.
    info = model.TargetInfo(**{n: body[n] for n in names if n in body})
    _require_all_applied(member)
    _leadership(member).register(
        clocks.boottime(),
        directory.Announcement(info, body['born'], body['sequence']),
    )
    return _ok({})


async def unregister(
    member: control.ControlMember, body: Body
) -> core_state.Reply:
    """Remove a target that told another member that it shuts down."""
    _require_all_applied(member)
    _leadership(member).unregister(body['server'])
    return _ok({})


async def join(member: control.ControlMember, body: Body) -> core_state.Reply:
    """Advance a process with an empty disk towards being a voter.

    Each request takes one step: add it as a learner, or promote it once it
    has caught up. The process repeats the request until it is a voter.
    """
    name, disk_id = str(body['name']), str(body['disk_id'])
    now = clocks.boottime()
    listed = member.log.members.get(name)
    change: raftmembers.Change | None = None
    if listed is None or listed.disk_id != disk_id:
        change = raft.AddLearner(name, disk_id, str(body['address']))
    elif not listed.voter and member.log.caught_up(name):
        change = raft.Promote(name)
    if change is not None:
        member.log.change_members(now, change)
        member.wake()
        logs.log_event(
            'member_changed',
            member=name,
            change=type(change).__name__,
            disk_id=disk_id,
        )
    return _ok({'voter': listed is not None and listed.voter})


COMMANDS: dict[str, Handler] = {
    'submit_note': submit_note,
    'check_note': check_note,
    'list_notes': list_notes,
    'show_note': show_note,
    'status': status,
    'audit': audit,
    'remove_entry': remove_entry,
    'record_drain': record_drain,
    'list_members': list_members,
    'change_members': change_members,
    'submit_configuration': submit_configuration,
    'show_configuration': show_configuration,
    'drain_zone': drain_zone,
    'restore_zone': restore_zone,
    'list_zones': list_zones,
    'register': register,
    'unregister': unregister,
    'join': join,
}
