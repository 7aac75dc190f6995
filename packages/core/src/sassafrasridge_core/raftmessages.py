"""Messages between the members of the replicated log.

An encoded message is a 4-byte length, a JSON object of that length and the
payloads of the entries and of the snapshot part, which JSON can't hold as they
are.
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
MAX_ENTRIES = 256
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
_MAX_INTEGER = 2**63 - 1
_MAX_TEXT = 256
_LENGTH = struct.Struct('>I')


class MalformedMessageError(errors.BadRequestError):
    """Report bytes that are no message of the replicated log."""

    kind = 'malformed_message'
    remedy = 'Check that all control members run the same version.'


@dataclasses.dataclass(slots=True)
class Message:
    """Hold one message; which fields count depends on ``kind``.

    ``index`` and ``log_term`` name the entry before ``entries`` (append), the
    last entry (votes), the snapshot, or in answers the last entry that matches
    or a hint where to look for it. ``sent_at`` is the leader's clock in
    seconds and is repeated by the answer; ``offset`` and ``total`` are bytes
    of a snapshot.
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

    def encode(self) -> bytes:
        """Return the bytes that ``decode`` reads."""
        head = {name: getattr(self, name) for name in (*_TEXTS, *_INTEGERS)}
        head['granted'] = self.granted
        head['sent_at'] = self.sent_at
        head['data'] = len(self.data)
        if self.members is not None:
            head['members'] = raftmembers.encode(self.members).decode()
        head['entries'] = [
            (item.index, item.term, item.kind, len(item.payload))
            for item in self.entries
        ]
        encoded = orjson.dumps(head)
        payloads = [item.payload for item in self.entries]
        return b''.join(
            (_LENGTH.pack(len(encoded)), encoded, *payloads, self.data)
        )

    @classmethod
    def decode(cls, data: bytes) -> 'Message':
        """Return the message in ``data``; raise MalformedMessageError."""
        return decode(data)


_TEXTS = ('kind', 'sender', 'disk_id', 'recipient')
_INTEGERS = ('term', 'index', 'log_term', 'commit', 'offset', 'total')


def decode(data: bytes) -> Message:
    """Return the message in ``data``; raise MalformedMessageError."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise MalformedMessageError(f'a message has {len(data)} bytes')
    try:
        (length,) = _LENGTH.unpack_from(data)
        start = _LENGTH.size + length
        head = orjson.loads(data[_LENGTH.size : start])
        return _build(head, data[start:])
    except MalformedMessageError:
        raise
    except (
        struct.error,
        ValueError,
        TypeError,
        KeyError,
        errors.BadRequestError,
    ) as exc:
        raise MalformedMessageError(f'a message is malformed: {exc}')


def _build(head: dict[str, object], body: bytes) -> Message:
    message = Message(
        _text(head['kind']),
        _text(head['sender']),
        _text(head['disk_id']),
        _text(head['recipient']),
        _integer(head['term']),
        _integer(head['index']),
        _integer(head['log_term']),
        _integer(head['commit']),
        head['granted'] is True,
        _seconds(head['sent_at']),
        _integer(head['offset']),
        _integer(head['total']),
    )
    if message.kind not in KINDS:
        raise MalformedMessageError(f'{message.kind!r} is not a kind')
    message.entries, start = _entries(head['entries'], message.index, body)
    message.data = body[start:]
    if len(message.data) != _integer(head['data']):
        raise MalformedMessageError('a message is cut off or too long')
    if 'members' in head:
        encoded = head['members']
        if not isinstance(encoded, str):
            raise MalformedMessageError('members are not a text')
        message.members = raftmembers.decode(encoded.encode())
    if message.kind == SNAPSHOT and message.members is None:
        raise MalformedMessageError('a snapshot names no members')
    return message


def _entries(
    listed: object, before: int, body: bytes
) -> tuple[list[raftlog.Entry], int]:
    if not isinstance(listed, list) or len(listed) > MAX_ENTRIES:
        raise MalformedMessageError('the list of entries is not usable')
    entries = []
    start = 0
    for expected, (index, term, kind, size) in enumerate(listed, before + 1):
        end = start + _integer(size)
        if index != expected or kind not in raftlog.KINDS or end > len(body):
            raise MalformedMessageError(f'entry {index!r} is not usable')
        payload = body[start:end]
        if kind == raftlog.MEMBERS:
            raftmembers.decode(payload)
        entries.append(raftlog.Entry(expected, _integer(term), kind, payload))
        start = end
    return entries, start


def _text(value: object) -> str:
    if not isinstance(value, str) or len(value) > _MAX_TEXT:
        raise MalformedMessageError('a name is not a short text')
    return value


def _integer(value: object) -> int:
    if type(value) is not int or not 0 <= value <= _MAX_INTEGER:
        raise MalformedMessageError('a number is not in range')
    return value


def _seconds(value: object) -> float:
    if not isinstance(value, int | float) or not math.isfinite(value):
        raise MalformedMessageError('a time is not a number')
    return float(value)
