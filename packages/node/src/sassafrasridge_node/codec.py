"""Converts between thrift structures and the types of the core package."""

import typing

from sassafrasridge_core import model
from sassafrasridge_core import promotion
from sassafrasridge_core import shares
from sassafrasridge_node import rpc


def group_to_wire(view: model.GroupView) -> typing.Any:
    """Return the thrift record of a group view."""
    return rpc.idl.GroupRecord(
        group=view.group,
        term=view.term,
        primary=view.primary or '',
        members=[
            rpc.idl.MemberAddress(server=server, address=address)
            for server, address in view.members.items()
        ],
        starts=[
            rpc.idl.TermStart(term=term, index=index)
            for term, index in view.starts.items()
        ],
        changing=view.changing,
    )


def group_from_wire(record: typing.Any) -> model.GroupView:
    """Return the group view of a thrift record."""
    return model.GroupView(
        record.group,
        record.term,
        record.primary or None,
        {m.server: m.address for m in record.members},
        {s.term: s.index for s in record.starts},
        record.changing,
    )


def observation_to_wire(
    info: model.TargetInfo,
    announcement_age_s: float,
    success_age_s: float,
    demand: float,
    limit: tuple[int, int],
    serves: bool,
    refused_s: float = 0.0,
    rate: float = 0.0,
) -> typing.Any:
    """Return the thrift observation of a target.

    ``limit`` is the version and the connections of the last grant, ``rate``
    its rate in statements/s.
    """
    return rpc.idl.Observation(
        group=info.group,
        server=info.server,
        zone=info.zone,
        address=info.address,
        role=info.role,
        term=info.term,
        position=info.position,
        slots=info.slots,
        connections=info.connections,
        leaving=info.leaving,
        announcement_age_s=announcement_age_s,
        success_age_s=success_age_s,
        demand=demand,
        limit_version=limit[0],
        limit=limit[1],
        serves=serves,
        refused_s=refused_s or None,
        rate=rate or None,
    )


def observation_from_wire(
    now: float, obs: typing.Any
) -> promotion.TargetObservation:
    """Return the sighting of a thrift observation received at ``now``."""
    info = _target_info(obs, obs.term, obs.position, obs.connections)
    return promotion.TargetObservation(
        now,
        obs.announcement_age_s,
        obs.success_age_s,
        info,
        obs.refused_s or 0.0,
    )


def acknowledged_to_wire(
    positions: dict[str, model.Position],
    counts: dict[str, tuple[int, int]],
) -> list[typing.Any]:
    """Return the thrift records of acknowledged commits.

    ``counts`` holds a term and the number of its commits, by group.
    """
    records = []
    for group in positions.keys() | counts.keys():
        term, count = counts.get(group, (None, None))
        position = positions.get(group) or model.Position(term or 0, 0)
        records.append(
            rpc.idl.AcknowledgedCommit(
                group=group,
                term=position.term,
                index=position.index,
                count_term=term,
                count=count,
            )
        )
    return records


def acknowledged_from_wire(
    records: list[typing.Any] | None,
) -> dict[str, model.Position]:
    """Return the last acknowledged commits by group."""
    return {
        record.group: model.Position(record.term, record.index)
        for record in records or []
    }


def commit_counts_from_wire(
    records: list[typing.Any] | None,
) -> dict[str, tuple[int, int]]:
    """Return terms and numbers of their acknowledged commits by group."""
    return {
        record.group: (record.count_term, record.count)
        for record in records or []
        if record.count_term is not None and record.count is not None
    }


def report_to_wire(report: shares.Report) -> typing.Any:
    """Return the thrift report on a client account."""
    return rpc.idl.AccountReport(
        account=report.account,
        version=report.version,
        rate=report.rate,
        capacity=report.capacity,
        tokens=report.tokens,
        returned=report.returned,
        demand_rate=report.demand_rate,
        wanted_tokens=report.wanted_tokens,
    )


def grant_to_wire(grant: shares.Grant) -> typing.Any:
    """Return the thrift record of a share grant."""
    return rpc.idl.ShareGrant(
        account=grant.account,
        base=grant.base,
        version=grant.version,
        rate=grant.rate,
        capacity=grant.capacity,
        tokens=grant.tokens,
        prompt=grant.prompt,
        retry_s=grant.retry_s,
    )


def target_to_wire(info: model.TargetInfo) -> typing.Any:
    """Return the thrift record of a target."""
    return rpc.idl.TargetRecord(
        server=info.server,
        group=info.group,
        zone=info.zone,
        address=info.address,
        role=info.role,
        slots=info.slots,
        leaving=info.leaving,
    )


def target_from_wire(record: typing.Any) -> model.TargetInfo:
    """Return the target of a thrift record."""
    return _target_info(record)


def _target_info(
    record: typing.Any, term: int = 0, position: int = 0, connections: int = 0
) -> model.TargetInfo:
    return model.TargetInfo(
        record.server,
        record.group,
        record.zone,
        record.address,
        record.role,
        term,
        position,
        record.slots,
        connections,
        record.leaving,
    )
