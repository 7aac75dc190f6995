"""Members of the replicated log and single changes of them.

A member's identity is (name, disk id). A disk id of '' stands for a member
whose disk is not known yet: this occurs only before the first entry, in a
cluster that is started with names alone. Such a cluster elects its first
leader with the votes of all members, and the first entry binds the disk ids
that voted. A holder of that entry never votes for a candidate without it, so
no second membership can be formed, whichever single disk is lost meanwhile.
"""

import collections.abc
import dataclasses

import orjson

from sassafrasridge_core import errors

UNBOUND = ''
MAX_MEMBERS = 32


class MembershipError(errors.ConflictError):
    """Report a change of members that can't be made."""

    kind = 'membership'
    remedy = 'Check the list of members and repeat the change.'


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """Describe one member; a member that is no voter is a learner."""

    disk_id: str = UNBOUND
    voter: bool = True
    address: str = ''


Members = collections.abc.Mapping[str, Member]
Bootstrap = collections.abc.Mapping[str, Member | str | None]


@dataclasses.dataclass(slots=True, frozen=True)
class AddLearner:
    """Add a learner; a listed name gives up its former disk and vote."""

    name: str
    disk_id: str
    address: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class Promote:
    """Make a learner that has caught up a voter."""

    name: str


@dataclasses.dataclass(slots=True, frozen=True)
class Remove:
    """Remove a member."""

    name: str


Change = AddLearner | Promote | Remove


def bootstrap(members: Bootstrap) -> Members:
    """Return the voters of a new cluster from names and known disk ids."""
    return {
        name: value if isinstance(value, Member) else Member(value or UNBOUND)
        for name, value in members.items()
    }


def voters(members: Members) -> list[str]:
    """Return the names that vote."""
    return [name for name, member in members.items() if member.voter]


def is_bound(members: Members) -> bool:
    """Tell whether the disk ids of all voters are known."""
    return all(item.disk_id for item in members.values() if item.voter)


def quorum(members: Members) -> int:
    """Return how many votes elect a leader."""
    count = len(voters(members))
    return count // 2 + 1 if is_bound(members) else count


def lists(members: Members, name: str, disk_id: str) -> bool:
    """Tell whether this name with this disk is a member."""
    member = members.get(name)
    return member is not None and member.disk_id in (UNBOUND, disk_id)


def votes(members: Members, name: str, disk_id: str) -> bool:
    """Tell whether this name with this disk is a voter."""
    return lists(members, name, disk_id) and members[name].voter


def bind(
    members: Members, disks: collections.abc.Mapping[str, str]
) -> Members:
    """Return the members with the disk ids that were learned."""
    return {
        name: dataclasses.replace(
            member, disk_id=member.disk_id or disks.get(name, UNBOUND)
        )
        for name, member in members.items()
    }


def changed(members: Members, change: Change) -> Members:
    """Return the members after one change; raise MembershipError."""
    result = dict(members)
    if isinstance(change, AddLearner):
        _check_new(members, change)
        result[change.name] = Member(change.disk_id, False, change.address)
    else:
        if change.name not in members:
            raise MembershipError(f'{change.name!r} is not a member')
        if isinstance(change, Remove):
            del result[change.name]
        elif members[change.name].voter:
            raise MembershipError(f'{change.name!r} is a voter already')
        elif not members[change.name].disk_id:
            raise MembershipError(f'the disk of {change.name!r} is not known')
        else:
            result[change.name] = dataclasses.replace(
                members[change.name], voter=True
            )
    if not voters(result):
        raise MembershipError('the last voter cannot be removed')
    return result


def _check_new(members: Members, change: AddLearner) -> None:
    if not change.name or not change.disk_id:
        raise MembershipError('a new member needs a name and a disk id')
    listed = members.get(change.name)
    if listed is not None and listed.disk_id == change.disk_id:
        raise MembershipError(
            f'{change.name!r} is a member with this disk already'
        )
    if listed is None and len(members) >= MAX_MEMBERS:
        raise MembershipError(f'there are {MAX_MEMBERS} members already')


def encode(members: Members) -> bytes:
    """Return the payload of an entry of kind 'members'."""
    return orjson.dumps(
        {
            name: [member.disk_id, member.voter, member.address]
            for name, member in members.items()
        }
    )


def decode(data: bytes) -> Members:
    """Return the members of a payload; raise BadRequestError."""
    try:
        result = {}
        for name, (disk_id, voter, address) in orjson.loads(data).items():
            if not isinstance(disk_id, str) or not isinstance(address, str):
                raise ValueError('a disk id or address is not a text')
            result[str(name)] = Member(disk_id, bool(voter), address)
        return result
    except (AttributeError, TypeError, ValueError) as exc:
        raise errors.BadRequestError(
            f'a list of members is malformed: {exc}',
            kind='malformed_members',
        )
