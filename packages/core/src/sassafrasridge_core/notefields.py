"""Fields of the items of a release note, and the checks of their values."""

from collections.abc import Callable
import re
from typing import Any

from sassafrasridge_core.configuration import ACCOUNT
from sassafrasridge_core.configuration import GRANT
from sassafrasridge_core.configuration import KEY
from sassafrasridge_core.configuration import ROUTE
from sassafrasridge_core.configuration import SERVICE

MAX_RATE_PER_S = 1e9
# Limit of the slots and also of the connections of a service.
MAX_SLOTS = 10_000
MAX_PATH_CHARS = 200
MAX_REGIONS = 100
POLICIES = ('demand', 'static')

# Names and paths are also parts of callers' URLs. The data path accepts only
# these forms.
_NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_DIGEST_PATTERN = re.compile(r'[0-9a-f]{64}')
_SEGMENT_PATTERN = re.compile(r'[A-Za-z0-9_-][A-Za-z0-9._-]*')
REQUIRED = object()


class Field:
    """Describe a field of an item.

    ``private`` hides its value in errors. With ``omit_default``, an added item
    leaves out the default, so that a note without the field keeps the digest
    that it had before the field existed.
    """

    __slots__ = (
        'accepts',
        'allowed',
        'default',
        'private',
        'convert',
        'omit_default',
    )

    def __init__(
        self,
        accepts: Callable[[Any], bool],
        allowed: str,
        default: Any = REQUIRED,
        private: bool = False,
        convert: Callable[[Any], Any] | None = None,
        omit_default: bool = False,
    ) -> None:
        self.accepts = accepts
        self.allowed = allowed
        self.default = default
        self.private = private
        self.convert = convert
        self.omit_default = omit_default


class Kind:
    """Describe a kind of item by its fields.

    ``identity`` names the fields that form the record's key, ``changeable``
    those that a change may set.
    """

    __slots__ = ('identity', 'fields', 'changeable')

    def __init__(
        self,
        identity: tuple[str, ...],
        fields: dict[str, Field],
        changeable: tuple[str, ...],
    ) -> None:
        self.identity = identity
        self.fields = fields
        self.changeable = changeable


def is_name(value: Any) -> bool:
    return isinstance(value, str) and bool(_NAME_PATTERN.fullmatch(value))


def _is_path(value: Any) -> bool:
    return (
        isinstance(value, str)
        and len(value) <= MAX_PATH_CHARS
        and all(_SEGMENT_PATTERN.fullmatch(part) for part in value.split('/'))
    )


def is_digest(value: Any) -> bool:
    return isinstance(value, str) and bool(_DIGEST_PATTERN.fullmatch(value))


def _is_bool(value: Any) -> bool:
    return isinstance(value, bool)


def is_int(value: Any, low: int, high: int) -> bool:
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and low <= value <= high
    )


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_rate(value: Any) -> bool:
    return _is_number(value) and 0 < value <= MAX_RATE_PER_S


def _is_burst(value: Any) -> bool:
    # A token bucket with a capacity below 1 never admits a statement.
    return _is_rate(value) and value >= 1


def _is_limit(value: Any) -> bool:
    return value is None or is_int(value, 1, MAX_SLOTS)


def _is_cold_rate(value: Any) -> bool:
    return _is_number(value) and 0 <= value <= MAX_RATE_PER_S


def _is_region_list(value: Any) -> bool:
    return (
        isinstance(value, list)
        and len(value) <= MAX_REGIONS
        and all(is_name(name) for name in value)
    )


def _sorted_names(names: list[str]) -> tuple[str, ...]:
    return tuple(sorted(set(names)))


NAME_TEXT = (
    "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit"
)
_NAME_FIELD = Field(is_name, NAME_TEXT)
_PATH_FIELD = Field(
    _is_path,
    f"segments of letters, digits, '.', '_' or '-' separated by '/', "
    f"none starting with '.', at most {MAX_PATH_CHARS} characters",
)
_LIMIT_FIELD = Field(
    _is_limit, f'an integer from 1 to {MAX_SLOTS}, or null', default=None
)
_FLAG_FIELD = Field(_is_bool, 'true or false', default=False)
_REGIONS_FIELD = Field(
    _is_region_list,
    f'a list of at most {MAX_REGIONS} regions, each {NAME_TEXT}',
    default=(),
    convert=_sorted_names,
    omit_default=True,
)

KINDS = {
    ACCOUNT: Kind(
        ('name',),
        {
            'name': _NAME_FIELD,
            'rate': Field(
                _is_rate,
                f'statements/s above 0, at most {MAX_RATE_PER_S:.0f}',
                convert=float,
            ),
            'burst': Field(
                _is_burst,
                f'statements from 1 to {MAX_RATE_PER_S:.0f}',
                convert=float,
            ),
            'regions': _REGIONS_FIELD,
        },
        ('rate', 'burst', 'regions'),
    ),
    KEY: Kind(
        ('id',),
        {
            'id': _NAME_FIELD,
            'account': _NAME_FIELD,
            'digest': Field(
                is_digest,
                'the SHA-256 of the secret as 64 lowercase hex digits',
                private=True,
            ),
        },
        (),
    ),
    SERVICE: Kind(
        ('name',),
        {
            'name': _NAME_FIELD,
            'group': _NAME_FIELD,
            'slots': _LIMIT_FIELD,
            'connections': _LIMIT_FIELD,
            'policy': Field(
                lambda value: value in POLICIES,
                ' or '.join(repr(policy) for policy in POLICIES),
                default=POLICIES[0],
            ),
            'cold_rate': Field(
                _is_cold_rate,
                f'statements/s from 0 (no limit) to {MAX_RATE_PER_S:.0f}',
                default=0.0,
                convert=float,
                omit_default=True,
            ),
        },
        ('group', 'slots', 'connections', 'policy', 'cold_rate'),
    ),
    ROUTE: Kind(
        ('path',),
        {
            'path': _PATH_FIELD,
            'service': _NAME_FIELD,
            'open': _FLAG_FIELD,
            'partition_reads': _FLAG_FIELD,
            'regions': _REGIONS_FIELD,
        },
        ('service', 'open', 'partition_reads', 'regions'),
    ),
    GRANT: Kind(
        ('account', 'service'),
        {'account': _NAME_FIELD, 'service': _NAME_FIELD},
        (),
    ),
}
