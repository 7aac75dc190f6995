"""Compact records of the accepted release notes, by number."""

import base64
import struct
from typing import Any

# 1,700 notes a day for 58 days.
ANSWER_LIMIT = 100_000
# Records are dropped in batches because each drop moves all others.
_SLACK = 1_000
# number, revision, wall time in s, place of the operator, content digest
_RECORD = struct.Struct('<qqdI32s')


class Answer:
    """Hold what a resend of an accepted note needs."""

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
        """Return the body of the note's answer."""
        return {name: getattr(self, name) for name in self.__slots__}


class AnswerLog:
    """Hold the answers of the last notes in one block of fixed records.

    A record takes 60 bytes, so 100,000 take 6 MB.
    """

    __slots__ = ('_data', '_operators', '_limit')

    def __init__(self, limit: int = ANSWER_LIMIT) -> None:
        self._data = bytearray()
        self._operators: list[str] = []
        self._limit = limit

    def __len__(self) -> int:
        return len(self._data) // _RECORD.size

    def append(self, answer: Answer) -> None:
        """Add an answer whose number is above all others."""
        if answer.operator not in self._operators:
            self._operators.append(answer.operator)
        self._data += _RECORD.pack(
            answer.number,
            answer.revision,
            answer.time,
            self._operators.index(answer.operator),
            bytes.fromhex(answer.digest),
        )
        if len(self) >= self._limit + _SLACK:
            del self._data[: _SLACK * _RECORD.size]

    def at(self, place: int) -> Answer:
        """Return the answer at a place in ascending order of numbers."""
        number, revision, time, operator, digest = _RECORD.unpack_from(
            self._data, place * _RECORD.size
        )
        name = self._operators[operator]
        return Answer(number, revision, time, name, digest.hex())

    def place(self, number: int) -> int:
        """Return the place of the first answer not below the number."""
        low, high = 0, len(self)
        while low < high:
            middle = (low + high) // 2
            if self.at(middle).number < number:
                low = middle + 1
            else:
                high = middle
        return low

    def get(self, number: int) -> Answer | None:
        """Return the answer of a number, or None."""
        place = self.place(number)
        if place < len(self) and self.at(place).number == number:
            return self.at(place)
        return None

    def last(self) -> Answer | None:
        """Return the answer with the highest number, or None."""
        return self.at(len(self) - 1) if self._data else None

    def dump(self) -> dict[str, Any]:
        """Return the records as JSON-able values."""
        return {
            'operators': self._operators,
            'records': base64.b64encode(self._data).decode(),
        }

    @classmethod
    def load(
        cls, data: dict[str, Any], limit: int = ANSWER_LIMIT
    ) -> 'AnswerLog':
        """Return the log that :meth:`dump` described."""
        log = cls(limit)
        log._operators = list(data['operators'])
        log._data = bytearray(base64.b64decode(data['records']))
        return log
