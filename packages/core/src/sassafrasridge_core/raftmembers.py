"""Membership of the Raft group and single-member changes of it.

A member is identified by its name and disk id. The disk id '' means that the
disk is not known yet. This occurs only before the first log entry, in a
cluster that was started with names only. Such a cluster needs the votes of all
members to elect its first leader, and the first entry records the disk ids
that voted. A member that has this entry never votes for a candidate without
it. So no second membership can be formed, even if one disk is lost meanwhile.
"""

import collections.abc
import dataclasses

import orjson

from sassafrasridge_core import errors

UNKNOWN_DISK = ''
MAX_MEMBERS = 32


class MembershipError(errors.ConflictError):
    """Report an invalid membership change."""

    kind = 'membership'
    remedy = 'Check the list of members and repeat the change.'


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """Describe one member; a member that is not a voter is a learner."""

    disk_id: str = UNKNOWN_DISK
    voter: bool = True
    address: str = ''


Members = collections.abc.Mapping[str, Member]
Bootstrap = collections.abc.Mapping[str, Member | str | None]


@dataclasses.dataclass(slots=True, frozen=True)
class AddLearner:
    """Add a learner; an existing member loses its former disk and vote."""

    name: str
    disk_id: str
    address: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class Promote:
    """Turn a learner that has caught up into a voter."""

    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class Remove:
    """Remove a member."""

    name: str


Change = AddLearner | Promote | Remove


def bootstrap(members: Bootstrap) -> Members:
    """Return the initial members from names and disk ids, None if unknown."""
    return {
        name: value
        if isinstance(value, Member)
        else Member(value or UNKNOWN_DISK)
        for name, value in members.items()
    }


def voters(members: Members) -> list[str]:
    """Return the names of the voters."""
    return [name for name, member in members.items() if member.voter]


def all_disks_known(members: Members) -> bool:
    """Return whether the disk ids of all voters are known."""
    return all(item.disk_id for item in members.values() if item.voter)


def quorum(members: Members) -> int:
    """Return how many voters elect a leader or commit an entry.

    This is a majority, or all voters while a disk id is unknown.
    """
    count = len(voters(members))
    return count // 2 + 1 if all_disks_known(members) else count


def is_member(members: Members, name: str, disk_id: str) -> bool:
    """Return whether this name with this disk is a member."""
    member = members.get(name)
    return member is not None and member.disk_id in (UNKNOWN_DISK, disk_id)


def is_voter(members: Members, name: str, disk_id: str) -> bool:
    """Return whether this name with this disk is a voter."""
    return is_member(members, name, disk_id) and members[name].voter


def bind_disks(
    members: Members, disks: collections.abc.Mapping[str, str]
) -> Members:
    """Return the members with their unknown disk ids filled in."""
    return {
        name: dataclasses.replace(
            member, disk_id=member.disk_id or disks.get(name, UNKNOWN_DISK)
        )
        for name, member in members.items()
    }


def apply_change(members: Members, change: Change) -> Members:
    """Return the members after one change.

    Raises MembershipError.
    """
    result = dict(members)
    if isinstance(change, AddLearner):
        _check_add_learner(members, change)
        result[change.name] = Member(change.disk_id, False, change.address)
    else:
        if change.name not in members:
            raise MembershipError(f'{change.name!r} is not a member')
        if isinstance(change, Remove):
            del result[change.name]
        elif members[change.name].voter:
            raise MembershipError(f'{change.name!r} is already a voter')
        elif not members[change.name].disk_id:
            raise MembershipError(
                f'the disk id of {change.name!r} is not known'
            )
        else:
            result[change.name] = dataclasses.replace(
                members[change.name], voter=True
            )
    if not voters(result):
        raise MembershipError('the last voter cannot be removed')
    return result


def _check_add_learner(members: Members, change: AddLearner) -> None:
    if not change.name or not change.disk_id:
        raise MembershipError('a new member needs a name and a disk id')
    listed = members.get(change.name)
    if listed is not None and listed.disk_id == change.disk_id:
        raise MembershipError(
            f'{change.name!r} is already a member with this disk'
        )
    if listed is None and len(members) >= MAX_MEMBERS:
        raise MembershipError(f'there are already {MAX_MEMBERS} members')


def encode(members: Members) -> bytes:
    """Return the payload of an entry of kind 'members'."""
    return orjson.dumps(
        {
            name: [member.disk_id, member.voter, member.address]
            for name, member in members.items()
        }
    )


def decode(data: bytes) -> Members:
    """Return the members in a payload; raise BadRequestError."""
    try:
        result = {}
        for name, (disk_id, voter, address) in orjson.loads(data).items():
            if not isinstance(disk_id, str) or not isinstance(address, str):
                raise ValueError('a disk id or address is not a string')
            result[str(name)] = Member(disk_id, bool(voter), address)
        return result
    except (AttributeError, TypeError, ValueError) as exc:
        raise errors.BadRequestError(
            f'the list of members is malformed: {exc}',
            kind='malformed_members',
        )
