"""Home regions: the targets and entry processes that may get a statement.

A route and an account may name regions. A statement runs only in regions that
both allow; one that names none allows all. A zone without a known region is in
no region.
"""

from collections.abc import Iterable
from collections.abc import Sequence

from sassafrasridge_core import notes

# Allowed regions of a statement, None for all.
Allowed = frozenset[str] | None

MAX_ZONES = 1000


def intersect(*named: Sequence[str]) -> Allowed:
    """Return the regions that every list allows; an empty list allows all.

    >>> sorted(intersect(('r1', 'r2'), ()))
    ['r1', 'r2']
    >>> intersect(('r1',), ('r2',)), intersect((), ())
    (frozenset(), None)
    """
    allowed: Allowed = None
    for names in named:
        if names:
            found = frozenset(names)
            allowed = found if allowed is None else allowed & found
    return allowed


def permits(allowed: Allowed, region: str) -> bool:
    """Return whether a region, '' if it is unknown, is allowed.

    >>> permits(None, ''), permits(frozenset({'r1'}), '')
    (True, False)
    """
    return allowed is None or (region != '' and region in allowed)


class InvalidZone:
    """Describe an invalid line of section [regions]."""

    __slots__ = ('zone', 'found', 'allowed')

    def __init__(self, zone: str, found: str, allowed: str) -> None:
        self.zone = zone
        self.found = found
        self.allowed = allowed


def parse_section(
    lines: Iterable[tuple[str, str]],
) -> tuple[dict[str, str], list[InvalidZone]]:
    """Return the region of each zone, and the invalid lines.

    ``lines`` are the zones and regions of the settings' section [regions].

    >>> parse_section([('z1', 'r1'), ('z2', 'r1')])
    ({'z1': 'r1', 'z2': 'r1'}, [])
    """
    regions: dict[str, str] = {}
    invalid = []
    for zone, region in lines:
        if not notes.is_name(zone):
            allowed = f'a zone of {notes.NAME_TEXT}'
            invalid.append(InvalidZone(zone, notes.show(zone), allowed))
        elif not notes.is_name(region):
            allowed = f'a region of {notes.NAME_TEXT}'
            invalid.append(InvalidZone(zone, notes.show(region), allowed))
        else:
            regions[zone] = region
    if len(regions) > MAX_ZONES:
        invalid.append(
            InvalidZone('', f'{len(regions)} zones', f'at most {MAX_ZONES}')
        )
    return regions, invalid
