"""Validation of thrift binary protocol messages before decoding.

thriftpy2's compiled decoder trusts length and count fields: a damaged message
can make it allocate as much memory as a field claims, loop for a long time or
crash. This check scans a message once and accepts it only if its lengths,
counts, types and nesting are consistent with the bytes it contains.
"""

import struct

# Maximum nesting of structures; ridge.thrift uses five levels.
MAX_STRUCT_DEPTH = 12

PROTOCOL_VERSION_MASK = 0xFFFF0000
PROTOCOL_VERSION = 0x80010000

_STOP = 0
_STRING, _STRUCT, _MAP, _SET, _LIST = 11, 12, 13, 14, 15
# Size of a value by type code, for the types of fixed size.
_FIXED_VALUE_BYTES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}

# Smallest encoded size of a value by type code.
_MIN_VALUE_BYTES = {
    **_FIXED_VALUE_BYTES,
    _STRING: 4,
    _STRUCT: 1,
    _MAP: 6,
    _SET: 5,
    _LIST: 5,
}

_unpack_i32 = struct.Struct('>i').unpack_from
_unpack_header = struct.Struct('>Ii').unpack_from
_FIELD_HEADER_BYTES = 3


def check_message(data: bytes) -> None:
    """Raise ValueError if a message cannot be decoded safely."""
    try:
        version, length = _unpack_header(data, 0)
        if version & PROTOCOL_VERSION_MASK != PROTOCOL_VERSION:
            raise ValueError('unsupported protocol version')
        start = 8 + length + 4
        if length < 0 or start > len(data):
            raise ValueError('the method name is longer than the message')
        end = _skip_struct(data, start, 0)
    except (struct.error, IndexError):
        raise ValueError('the message ends within a value')
    if end != len(data):
        raise ValueError(f'{len(data) - end} extra bytes after the message')


def _skip_struct(data: bytes, offset: int, depth: int) -> int:
    """Return the offset after a structure."""
    if depth > MAX_STRUCT_DEPTH:
        raise ValueError(
            f'structures are nested over {MAX_STRUCT_DEPTH} levels deep'
        )
    while True:
        kind = data[offset]
        if kind == _STOP:
            return offset + 1
        offset += _FIELD_HEADER_BYTES
        size = _FIXED_VALUE_BYTES.get(kind)
        if size is not None:
            offset += size
        elif kind == _STRING:
            offset = _skip_string(data, offset)
        else:
            offset = _skip_value(data, offset, kind, depth)
        if offset > len(data):
            raise ValueError('a value is longer than the message')


def _skip_string(data: bytes, offset: int) -> int:
    (length,) = _unpack_i32(data, offset)
    if length < 0 or offset + 4 + length > len(data):
        raise ValueError('a string is longer than the message')
    return offset + 4 + int(length)


def _skip_value(data: bytes, offset: int, kind: int, depth: int) -> int:
    size = _FIXED_VALUE_BYTES.get(kind)
    if size is not None:
        return offset + size
    if kind == _STRING:
        return _skip_string(data, offset)
    if kind == _STRUCT:
        return _skip_struct(data, offset, depth + 1)
    if kind in (_LIST, _SET):
        return _skip_list(data, offset, depth)
    if kind == _MAP:
        return _skip_map(data, offset, depth)
    raise ValueError(f'unknown type code {kind}')


def _skip_list(data: bytes, offset: int, depth: int) -> int:
    kind = data[offset]
    (count,) = _unpack_i32(data, offset + 1)
    offset += 5
    min_bytes = _MIN_VALUE_BYTES.get(kind)
    if (
        min_bytes is None
        or count < 0
        or count * min_bytes > len(data) - offset
    ):
        raise ValueError('a list is longer than the message')
    if kind in _FIXED_VALUE_BYTES:
        return offset + int(count) * _FIXED_VALUE_BYTES[kind]
    for _ in range(count):
        offset = _skip_value(data, offset, kind, depth + 1)
    return offset


def _skip_map(data: bytes, offset: int, depth: int) -> int:
    key, value = data[offset], data[offset + 1]
    (count,) = _unpack_i32(data, offset + 2)
    offset += 6
    if count == 0:
        return offset
    min_bytes = _MIN_VALUE_BYTES.get(key, 0), _MIN_VALUE_BYTES.get(value, 0)
    if (
        0 in min_bytes
        or count < 0
        or count * sum(min_bytes) > len(data) - offset
    ):
        raise ValueError('a map is longer than the message')
    for _ in range(count):
        offset = _skip_value(data, offset, key, depth + 1)
        offset = _skip_value(data, offset, value, depth + 1)
    return offset
