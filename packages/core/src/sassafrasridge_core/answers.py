"""Compact log of the answers to accepted release notes, by number."""

import base64
import struct
from typing import Any

# Older answers are dropped. This covers 58 days at 1,700 notes per day.
MAX_ANSWERS = 100_000
# Records are dropped in batches because each removal from the front of the
# buffer moves all remaining records.
_DROP_BATCH = 1_000
# Fields: number, revision, wall time in s, index of the operator, content
# digest.
_RECORD = struct.Struct('<qqdI32s')


class Answer:
    """Hold the answer to an accepted note, for resends of the note.

    ``time`` is a wall time in s, ``digest`` the hex digest of the content.
    """

    __slots__ = ('number', 'revision', 'time', 'operator', 'digest')

    def __init__(
        self,
        number: int,
        revision: int,
        time: float,
        operator: str,
        digest: str,
    ) -> None:
        self.number = number
        self.revision = revision
        self.time = time
        self.operator = operator
        self.digest = digest

    def as_json(self) -> dict[str, Any]:
        """Return the answer as JSON-able values."""
        return {name: getattr(self, name) for name in self.__slots__}


class AnswerLog:
    """Hold the latest answers as fixed-size records in one buffer.

    A record takes 60 bytes, so 100,000 records take 6 MB.
    """

    __slots__ = ('_data', '_operators', '_limit')

    def __init__(self, limit: int = MAX_ANSWERS) -> None:
        self._data = bytearray()
        self._operators: list[str] = []
        self._limit = limit

    def __len__(self) -> int:
        return len(self._data) // _RECORD.size

    def append(self, answer: Answer) -> None:
        """Append an answer; its number must be higher than all others."""
        if answer.operator not in self._operators:
            self._operators.append(answer.operator)
        self._data += _RECORD.pack(
            answer.number,
            answer.revision,
            answer.time,
            self._operators.index(answer.operator),
            bytes.fromhex(answer.digest),
        )
        if len(self) >= self._limit + _DROP_BATCH:
            del self._data[: _DROP_BATCH * _RECORD.size]

    def answer_at(self, position: int) -> Answer:
        """Return the answer at a position, in ascending order of numbers."""
        number, revision, time, operator, digest = _RECORD.unpack_from(
            self._data, position * _RECORD.size
        )
        name = self._operators[operator]
        return Answer(number, revision, time, name, digest.hex())

    def first_at_or_above(self, number: int) -> int:
        """Return the position of the first answer at or above a number."""
        low, high = 0, len(self)
        while low < high:
            middle = (low + high) // 2
            if self.answer_at(middle).number < number:
                low = middle + 1
            else:
                high = middle
        return low

    def get(self, number: int) -> Answer | None:
        """Return the answer to the note with this number, or None."""
        position = self.first_at_or_above(number)
        if position < len(self) and self.answer_at(position).number == number:
            return self.answer_at(position)
        return None

    def last(self) -> Answer | None:
        """Return the answer with the highest number, or None."""
        return self.answer_at(len(self) - 1) if self._data else None

    def dump(self) -> dict[str, Any]:
        """Return the records as JSON-able values."""
        return {
            'operators': self._operators,
            'records': base64.b64encode(self._data).decode(),
        }

    @classmethod
    def load(
        cls, data: dict[str, Any], limit: int = MAX_ANSWERS
    ) -> 'AnswerLog':
        """Return the log from the values of :meth:`dump`."""
        log = cls(limit)
        log._operators = list(data['operators'])
        log._data = bytearray(base64.b64decode(data['records']))
        return log
