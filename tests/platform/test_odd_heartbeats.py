"""Tests of heartbeats that another writer sent."""

import orjson
import pytest

from sassafrasridge_core import errors
from sassafrasridge_core import model
from sassafrasridge_node import codec
from sassafrasridge_node import rpc
from sassafrasridge_platform import calls

HEARTBEAT = {
    'service': 'orders',
    'address': '10.0.0.1:8080',
    'zone': 'z',
    'version': 'v1',
    'capacity': 2,
    'state': 'ready',
    'coldRemainingMs': 0,
    'dbRole': 'replica',
    'sequence': 4,
}


def parse(**changes):
    return calls.parse_heartbeat('i-1', orjson.dumps(HEARTBEAT | changes))


class TestOddHeartbeats:
    @pytest.mark.parametrize(
        'changes',
        [
            {'capacity': 1 << 31},
            {'capacity': (1 << 62) - 1},
            {'address': '10.0.0.1:65536'},
            {'address': '10.0.0.1:0'},
            {'born': 1 << 61},
        ],
        ids=str,
    )
    def test_they_are_refused(self, changes):
        """Guards against a list of targets that no renewal can carry."""
        with pytest.raises(errors.BadRequestError):
            parse(**changes)

    @pytest.mark.parametrize('depth', [300, 1000, 100_000])
    def test_deep_nesting_is_refused(self, depth):
        """Guards against a recursion error in a process that reads it."""
        nested = b'[' * depth + b']' * depth
        raw = orjson.dumps(HEARTBEAT).replace(b'"v1"', nested)
        with pytest.raises(errors.BadRequestError):
            calls.parse_heartbeat('i-1', raw)

    def test_the_largest_accepted_one_fits_into_the_messages(self):
        """Guards against limits above those of the messages."""
        info = parse(capacity=model.MAX_COUNT).info
        reply = rpc.idl.RenewReply(targets=[codec.target_to_wire(info)])
        assert rpc.encode_message('renew', 2, 1, reply)
