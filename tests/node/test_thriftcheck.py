"""Tests of the check of thrift messages before decoding."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from sassafrasridge_node import rpc
from sassafrasridge_node import thriftcheck


def valid_message():
    """Return a valid encoded call with nested structures."""
    req = rpc.idl.RenewRequest(
        entry='e1',
        incarnation=7,
        observations=[rpc.idl.Observation(group='g', server='s', demand=1.0)],
        accounts=[rpc.idl.AccountReport(account='a', tokens=2.5)],
    )
    return rpc.encode_message('renew', 1, 5, req)


class TestCheckMessage:
    def test_valid_message_passes(self):
        thriftcheck.check_message(valid_message())

    @hypothesis.given(strategies.integers(0, 400))
    def test_truncated_message_is_refused(self, size):
        whole = valid_message()
        hypothesis.assume(size < len(whole))
        with pytest.raises(ValueError):
            thriftcheck.check_message(whole[:size])

    @hypothesis.given(strategies.binary(max_size=200))
    def test_random_bytes_raise_only_value_error(self, data):
        try:
            thriftcheck.check_message(data)
        except ValueError:
            return

    def test_huge_count_is_refused_without_iteration(self):
        """Guards against looping over a claimed 2^31 - 1 empty structures."""
        head = rpc.encode_message('renew', 1, 5, rpc.idl.RenewRequest())[:-1]
        claimed = bytes((15, 0, 9, 12)) + (2**31 - 1).to_bytes(4, 'big')
        with pytest.raises(ValueError):
            thriftcheck.check_message(head + claimed + b'\0' * 100)

    def test_deep_nesting_is_refused(self):
        head = rpc.encode_message('renew', 1, 5, rpc.idl.RenewRequest())[:-1]
        with pytest.raises(ValueError):
            thriftcheck.check_message(head + bytes((12, 0, 1)) * 10_000)

    def test_damaged_messages_raise_only_value_error(self):
        rng = random.Random(20260)
        whole = valid_message()
        for _ in range(2000):
            damaged = bytearray(whole)
            for _ in range(rng.randint(1, 4)):
                damaged[rng.randrange(len(damaged))] = rng.randrange(256)
            try:
                thriftcheck.check_message(bytes(damaged))
            except ValueError:
                continue
