"""Messages between the members of the Raft group.

An encoded message consists of a 4-byte length, a JSON header of that length,
the payloads of the entries, and the snapshot chunk. The payloads and the chunk
are outside the header because JSON cannot contain binary data.
"""

import dataclasses
import math
import struct

import orjson

from sassafrasridge_core import errors
from sassafrasridge_core import raftlog
from sassafrasridge_core import raftmembers

APPEND = 'append'
APPEND_ACK = 'append_ack'
HEARTBEAT = 'heartbeat'
HEARTBEAT_ACK = 'heartbeat_ack'
SNAPSHOT = 'snapshot'
SNAPSHOT_ACK = 'snapshot_ack'
PREVOTE = 'prevote'
PREVOTE_ACK = 'prevote_ack'
VOTE = 'vote'
VOTE_ACK = 'vote_ack'
UNLISTED = 'unlisted'
FROM_LEADER = (APPEND, HEARTBEAT, SNAPSHOT)
KINDS = (
    *FROM_LEADER,
    APPEND_ACK,
    HEARTBEAT_ACK,
    SNAPSHOT_ACK,
    PREVOTE,
    PREVOTE_ACK,
    VOTE,
    VOTE_ACK,
    UNLISTED,
)
MAX_MESSAGE_ENTRIES = 256
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
_MAX_INTEGER = 2**63 - 1
_MAX_TEXT_LENGTH = 256
_HEADER_LENGTH = struct.Struct('>I')


class MalformedMessageError(errors.BadRequestError):
    """Report data that is not a valid Raft message."""

    kind = 'malformed_message'
    remedy = 'Check that all control members run the same version.'


@dataclasses.dataclass(slots=True)
class Message:
    """Hold one message; ``kind`` determines which fields are used.

    ``index`` and ``log_term`` identify the entry before ``entries`` (append),
    the candidate's last entry (votes), the last entry of the snapshot, or in
    responses the last matching entry or a hint where to look for it.
    ``sent_at`` is the send time in s by the leader's clock; the response
    returns it. ``offset`` and ``total`` are byte counts of the snapshot; in a
    rejected append ``offset`` is the index that did not match.
    ``restarted`` marks a sender that has known no leader since its start; in
    a vote request, all voters have reported that for the pre-vote before it.
    """

    kind: str
    sender: str
    disk_id: str
    recipient: str
    term: int
    index: int = 0
    log_term: int = 0
    commit: int = 0
    granted: bool = False
    sent_at: float = 0.0
    offset: int = 0
    total: int = 0
    entries: list[raftlog.Entry] = dataclasses.field(default_factory=list)
    members: raftmembers.Members | None = None
    data: bytes = b''
    restarted: bool = False

    def encode(self) -> bytes:
        """Return the encoded message, the inverse of :meth:`decode`."""
        header = {
            name: getattr(self, name)
            for name in (*_TEXT_FIELDS, *_INTEGER_FIELDS)
        }
        header['granted'] = self.granted
        header['sent_at'] = self.sent_at
        if self.restarted:
            header['restarted'] = True
        header['data'] = len(self.data)
        if self.members is not None:
            header['members'] = raftmembers.encode(self.members).decode()
        header['entries'] = [
            (item.index, item.term, item.kind, len(item.payload))
            for item in self.entries
        ]
        encoded = orjson.dumps(header)
        payloads = [item.payload for item in self.entries]
        return b''.join(
            (_HEADER_LENGTH.pack(len(encoded)), encoded, *payloads, self.data)
        )

    @classmethod
    def decode(cls, data: bytes) -> 'Message':
        """Return the message in ``data``; raise MalformedMessageError."""
        return decode(data)


_TEXT_FIELDS = ('kind', 'sender', 'disk_id', 'recipient')
_INTEGER_FIELDS = ('term', 'index', 'log_term', 'commit', 'offset', 'total')


def decode(data: bytes) -> Message:
    """Return the message in ``data``; raise MalformedMessageError."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise MalformedMessageError(
            f'the message has {len(data)} bytes, the limit is '
            f'{MAX_MESSAGE_BYTES}'
        )
    try:
        (length,) = _HEADER_LENGTH.unpack_from(data)
        start = _HEADER_LENGTH.size + length
        header = orjson.loads(data[_HEADER_LENGTH.size : start])
        return _decode_message(header, data[start:])
    except MalformedMessageError:
        raise
    except (
        struct.error,
        ValueError,
        TypeError,
        KeyError,
        errors.BadRequestError,
    ) as exc:
        raise MalformedMessageError(f'the message is malformed: {exc}')


def _decode_message(header: dict[str, object], body: bytes) -> Message:
    message = Message(
        _checked_text(header['kind']),
        _checked_text(header['sender']),
        _checked_text(header['disk_id']),
        _checked_text(header['recipient']),
        _checked_integer(header['term']),
        _checked_integer(header['index']),
        _checked_integer(header['log_term']),
        _checked_integer(header['commit']),
        header['granted'] is True,
        _checked_seconds(header['sent_at']),
        _checked_integer(header['offset']),
        _checked_integer(header['total']),
    )
    # Members of earlier releases neither send nor read this field.
    message.restarted = header.get('restarted') is True
    if message.kind not in KINDS:
        raise MalformedMessageError(f'unknown message kind {message.kind!r}')
    message.entries, start = _decode_entries(
        header['entries'], message.index, body
    )
    message.data = body[start:]
    if len(message.data) != _checked_integer(header['data']):
        raise MalformedMessageError('the message is truncated or too long')
    if 'members' in header:
        encoded = header['members']
        if not isinstance(encoded, str):
            raise MalformedMessageError('the list of members is not a string')
        message.members = raftmembers.decode(encoded.encode())
    if message.kind == SNAPSHOT and message.members is None:
        raise MalformedMessageError('the snapshot has no list of members')
    return message


def _decode_entries(
    encoded_entries: object, previous_index: int, body: bytes
) -> tuple[list[raftlog.Entry], int]:
    if (
        not isinstance(encoded_entries, list)
        or len(encoded_entries) > MAX_MESSAGE_ENTRIES
    ):
        raise MalformedMessageError(
            'the list of entries is invalid or too long'
        )
    entries = []
    start = 0
    for expected, (index, term, kind, size) in enumerate(
        encoded_entries, previous_index + 1
    ):
        end = start + _checked_integer(size)
        if (
            index != expected
            or kind not in raftlog.ENTRY_KINDS
            or end > len(body)
        ):
            raise MalformedMessageError(f'entry {index!r} is invalid')
        payload = body[start:end]
        if kind == raftlog.MEMBERS:
            raftmembers.decode(payload)
        entries.append(
            raftlog.Entry(expected, _checked_integer(term), kind, payload)
        )
        start = end
    return entries, start


def _checked_text(value: object) -> str:
    if not isinstance(value, str) or len(value) > _MAX_TEXT_LENGTH:
        raise MalformedMessageError(
            f'a text field is not a string of at most {_MAX_TEXT_LENGTH} '
            'characters'
        )
    return value


def _checked_integer(value: object) -> int:
    if type(value) is not int or not 0 <= value <= _MAX_INTEGER:
        raise MalformedMessageError(
            'a number is not an integer in the valid range'
        )
    return value


def _checked_seconds(value: object) -> float:
    if not isinstance(value, int | float) or not math.isfinite(value):
        raise MalformedMessageError('a time is not a finite number')
    return float(value)
