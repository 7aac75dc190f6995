"""Check of a message in thrift's binary protocol before it is decoded.

thriftpy2's compiled decoder trusts lengths and counts: a damaged message can
make it allocate what a field claims, loop or crash. This check walks through
the message once and lets only those pass whose lengths, counts, types and
nesting fit into the bytes that are there.
"""

import struct

MAX_DEPTH = 12
"""Nesting of structures; the interface file nests five deep."""

VERSION_MASK = 0xFFFF0000
VERSION = 0x80010000

_STOP = 0
_STRING, _STRUCT, _MAP, _SET, _LIST = 11, 12, 13, 14, 15
_SIZES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
"""Bytes of the types of fixed size."""

_LEAST = {**_SIZES, _STRING: 4, _STRUCT: 1, _MAP: 6, _SET: 5, _LIST: 5}
"""Fewest bytes that a value of a type takes."""

_I32 = struct.Struct('>i').unpack_from
_HEADER = struct.Struct('>Ii').unpack_from
_FIELD_BYTES = 3


def check_message(data: bytes) -> None:
    """Raise ValueError unless a message can be decoded safely."""
    try:
        version, length = _HEADER(data, 0)
        if version & VERSION_MASK != VERSION:
            raise ValueError('it has another protocol version')
        start = 8 + length + 4
        if length < 0 or start > len(data):
            raise ValueError('its name is longer than the message')
        end = _struct(data, start, 0)
    except (struct.error, IndexError):
        raise ValueError('the message ends in the middle of a value')
    if end != len(data):
        raise ValueError(f'{len(data) - end} bytes follow the message')


def _struct(data: bytes, at: int, depth: int) -> int:
    """Return where a structure ends."""
    if depth > MAX_DEPTH:
        raise ValueError('its structures are nested too deep')
    while True:
        kind = data[at]
        if kind == _STOP:
            return at + 1
        at += _FIELD_BYTES
        size = _SIZES.get(kind)
        if size is not None:
            at += size
        elif kind == _STRING:
            at = _string(data, at)
        else:
            at = _value(data, at, kind, depth)
        if at > len(data):
            raise ValueError('a value reaches beyond the message')


def _string(data: bytes, at: int) -> int:
    (length,) = _I32(data, at)
    if length < 0 or at + 4 + length > len(data):
        raise ValueError('a text is longer than the message')
    return at + 4 + int(length)


def _value(data: bytes, at: int, kind: int, depth: int) -> int:
    size = _SIZES.get(kind)
    if size is not None:
        return at + size
    if kind == _STRING:
        return _string(data, at)
    if kind == _STRUCT:
        return _struct(data, at, depth + 1)
    if kind in (_LIST, _SET):
        return _elements(data, at, depth)
    if kind == _MAP:
        return _pairs(data, at, depth)
    raise ValueError(f'{kind} is not a type')


def _elements(data: bytes, at: int, depth: int) -> int:
    kind = data[at]
    (count,) = _I32(data, at + 1)
    at += 5
    least = _LEAST.get(kind)
    if least is None or count < 0 or count * least > len(data) - at:
        raise ValueError('a list is longer than the message')
    if kind in _SIZES:
        return at + int(count) * _SIZES[kind]
    for _ in range(count):
        at = _value(data, at, kind, depth + 1)
    return at


def _pairs(data: bytes, at: int, depth: int) -> int:
    key, value = data[at], data[at + 1]
    (count,) = _I32(data, at + 2)
    at += 6
    if count == 0:
        return at
    least = _LEAST.get(key, 0), _LEAST.get(value, 0)
    if 0 in least or count < 0 or count * sum(least) > len(data) - at:
        raise ValueError('a map is longer than the message')
    for _ in range(count):
        at = _value(data, at, key, depth + 1)
        at = _value(data, at, value, depth + 1)
    return at
