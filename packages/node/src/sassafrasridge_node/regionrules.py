"""Application of home regions to targets and entry processes."""

from sassafrasridge_core import errors
from sassafrasridge_core import regions
from sassafrasridge_node import backends
from sassafrasridge_node import entry


class OutsideRegionsError(errors.UnavailableError):
    """Report a request that no target or process in its regions can serve."""

    kind = 'outside_regions'
    remedy = (
        'Ask an operator to allow a region that has the primary, or wait '
        'until the primary is in an allowed region.'
    )


def allows_target(
    state: entry.EntryState,
    allowed: regions.Allowed,
    backend: backends.Backend,
) -> bool:
    """Return whether a target is in the allowed regions."""
    if allowed is None:
        return True
    return regions.permits(allowed, state.region_of(backend.info.zone))


def allows_entry(
    state: entry.EntryState, allowed: regions.Allowed, name: str
) -> bool:
    """Return whether an entry process is in the allowed regions."""
    if allowed is None:
        return True
    zone = state.zone if name == state.name else state.zone_of(name)
    return regions.permits(allowed, state.region_of(zone))


def refusal_reason(
    state: entry.EntryState,
    allowed: regions.Allowed,
    group: str,
    primary: bool,
) -> str:
    """Return why no target may serve a statement, '' if one may.

    ``primary`` tells that only the primary can serve it. A target that is
    known only from its group's view has no zone until it announces itself, so
    it does not count as outside. A primary in a drained zone is being
    replaced, so it does not count either.
    """
    if allowed is None:
        return ''
    if not allowed:
        return 'the route and the account have no region in common'
    listed = ', '.join(sorted(allowed))
    current = state.primary(group)
    if (
        primary
        and current is not None
        and not current.drained
        and current.info.zone
        and not allows_target(state, allowed, current)
    ):
        return (
            f'the primary {current.info.server} in zone {current.info.zone} '
            f'is outside the regions {listed}'
        )
    members = [m for m in state.members(group) if not m.drained]
    if members and not any(
        not member.info.zone or allows_target(state, allowed, member)
        for member in members
    ):
        outside = ' and outside drained zones' if state.drains else ''
        return f'no target of {group} is in the regions {listed}{outside}'
    return ''


def require_target(
    state: entry.EntryState,
    allowed: regions.Allowed,
    group: str,
    primary: bool,
) -> None:
    """Raise OutsideRegionsError if no target may serve a statement."""
    reason = refusal_reason(state, allowed, group, primary)
    if reason:
        raise OutsideRegionsError(reason)


def require_own_region(
    state: entry.EntryState, allowed: regions.Allowed
) -> None:
    """Raise OutsideRegionsError if this process may not serve a relay."""
    if not allows_entry(state, allowed, state.name):
        raise OutsideRegionsError(
            f'entry process {state.name} in zone {state.zone} is outside the '
            f'regions {", ".join(sorted(allowed or ()))}'
        )


def serving_entries(
    state: entry.EntryState, allowed: regions.Allowed, names: list[str]
) -> list[str]:
    """Return the processes that may get a statement's text.

    Raises OutsideRegionsError if there are some, but none may.
    """
    found = [name for name in names if allows_entry(state, allowed, name)]
    if names and not found:
        raise OutsideRegionsError(
            'no entry process that serves the database is in the regions '
            + ', '.join(sorted(allowed or ()))
        )
    return found
