"""Malformed input to every listener of real daemons."""

import contextlib
import pathlib
import random
import socket
import struct

import pytest
import requests
from thriftpy2 import thrift

from sassafrasridge_node import rpc
from sassafrasridge_testkit import deployments
from sassafrasridge_testkit import harness

MAX_GROWTH_BYTES = 64 * 1024 * 1024
"""A daemon has 128 MB in all, and is below half of that when it starts."""

SEED = 20260
PAGE_BYTES = 4096
TIMEOUT_S = 5.0


@pytest.fixture(scope='module')
def system():
    with harness.Harness() as kit:
        deployment = deployments.Deployment(kit, entry_zones=('z1',))
        yield deployment.start()


@pytest.fixture
def framing(system):
    secret = pathlib.Path(system._secret_file).read_bytes().strip()
    return rpc.Framing(secret)


@pytest.fixture(autouse=True)
def unharmed(system):
    """Check that every daemon goes on, serves and stays small."""
    nodes = [*system.control.values(), *system.entries.values()]
    before = [resident(node) for node in nodes]
    pids = [node.process.pid for node in nodes]
    yield
    for node, size, pid in zip(nodes, before, pids, strict=True):
        assert node.process.running, node.process.log_end()
        assert node.process.pid == pid
        assert resident(node) - size < MAX_GROWTH_BYTES
        assert metric(node, 'sassafrasridge_lease_valid') in (0.0, 1.0)
    entry = nodes[-1]
    harness.wait_until(
        lambda: metric(entry, 'sassafrasridge_lease_valid') == 1.0, 10, 'lease'
    )


def resident(node):
    text = pathlib.Path(f'/proc/{node.process.pid}/statm').read_text()
    return int(text.split()[1]) * PAGE_BYTES


def metric(node, name):
    page = requests.get(f'http://{node.http}/metrics', timeout=TIMEOUT_S).text
    return sum(
        float(line.rsplit(' ', 1)[1])
        for line in page.splitlines()
        if line.startswith(name) and not line.startswith('#')
    )


def send(address, data):
    """Send bytes, then return what arrives before the end or a time-out."""
    host, port = address.split(':')
    received = b''
    with socket.create_connection((host, int(port)), TIMEOUT_S) as sock:
        sock.settimeout(0.3)
        with contextlib.suppress(OSError):
            sock.sendall(data)
            while part := sock.recv(65536):
                received += part
    return received


def message(name, **fields):
    """Return a well-formed call."""
    body = getattr(rpc.idl.Daemon, f'{name}_args')(**fields)
    return rpc.encode_message(name, thrift.TMessageType.CALL, 1, body)


def renewal():
    reports = [
        rpc.idl.AccountReport(account='shop', version=1, rate=1.0)
        for _ in range(3)
    ]
    req = rpc.idl.RenewRequest(
        entry='ghost', zone='z1', incarnation=7, accounts=reports
    )
    return message('renew', req=req)


def damaged(rng, whole):
    data = bytearray(whole)
    for _ in range(rng.randint(1, 4)):
        data[rng.randrange(len(data))] = rng.choice((0, 0x7F, 0xFF, 0x0F, 12))
    return bytes(data[: rng.choice((len(data), rng.randrange(len(data))))])


def nodes_of(system):
    return [*system.control.values(), *system.entries.values()]


class TestRpc:
    def test_random_bytes_without_a_digest(self, system):
        """Guards against a crash or allocation by anyone on the network."""
        rng = random.Random(SEED)
        for node in nodes_of(system):
            before = metric(node, 'sassafrasridge_rpc_malformed_frames_total')
            bad = [
                struct.pack('>I', 0xFFFFFFFF),
                struct.pack('>I', 3) + b'abc',
                struct.pack('>I', 4 << 20) + b'x' * 1000,
                *(
                    struct.pack('>I', 64) + rng.randbytes(64)
                    for _ in range(20)
                ),
                *(rng.randbytes(rng.randint(1, 200)) for _ in range(20)),
            ]
            for data in bad:
                send(node.rpc, data)
            after = metric(node, 'sassafrasridge_rpc_malformed_frames_total')
            assert after - before >= 22

    def test_well_formed_messages_of_another_kind(self, system, framing):
        """Guards against a task that ends on a field that is missing."""
        calls = [
            message('renew', req=rpc.idl.RenewRequest()),
            message('renew'),
            message('renew_batch', batch=rpc.idl.RenewBatch()),
            message(
                'renew_batch',
                batch=rpc.idl.RenewBatch(requests=[rpc.idl.RenewRequest()]),
            ),
            message('log_message', message=rpc.idl.LogMessage()),
            message('log_message', message=rpc.idl.LogMessage(body=b'\xff')),
            message('command'),
            message('command', kind='submit_note', body=b'[', deadline_s=1.0),
            message('command', kind='submit_note', body=b'{}', deadline_s=1.0),
            message('command', kind='audit', body=b'[]', deadline_s=-1.0),
            message('relay', call=rpc.idl.StatementCall()),
            message('relay', call=rpc.idl.StatementCall(kind='x', body=b'[]')),
            renewal().replace(b'renew', b'xenew'),
        ]
        for node in nodes_of(system):
            for payload in calls:
                reply = send(node.rpc, framing.pack(payload))
                assert len(reply) > 4 + rpc.DIGEST_BYTES, payload


class TestDamagedPeer:
    """A peer that knows the secret and sends damaged messages."""

    @pytest.fixture
    def system(self):
        """Return daemons of the test's own, since it may stop them."""
        with harness.Harness() as kit:
            deployment = deployments.Deployment(kit, entry_zones=('z1',))
            yield deployment.start()

    def test_damaged_messages_with_a_valid_digest(self, system, framing):
        """Guards against a daemon that a faulty peer can stop."""
        rng = random.Random(SEED)
        for node in nodes_of(system):
            before = metric(node, 'sassafrasridge_rpc_malformed_frames_total')
            for _ in range(60):
                send(node.rpc, framing.pack(damaged(rng, renewal())))
            for size in (0, 1, 50, 5000):
                send(node.rpc, framing.pack(rng.randbytes(size)))
            after = metric(node, 'sassafrasridge_rpc_malformed_frames_total')
            assert after > before

    def test_huge_lengths_with_a_valid_digest(self, system, framing):
        """Guards against an allocation of what a length field claims."""
        whole = renewal()
        for node in nodes_of(system):
            before = metric(node, 'sassafrasridge_rpc_malformed_frames_total')
            count = 0
            for place in range(len(whole) - 4):
                if whole[place : place + 3] == b'\0\0\0' and whole[place + 3]:
                    for length in (b'\x7f\xff\xff\xff', b'\xff\xff\xff\xff'):
                        data = whole[:place] + length + whole[place + 4 :]
                        send(node.rpc, framing.pack(data))
                        count += 1
            assert count > 4
            after = metric(node, 'sassafrasridge_rpc_malformed_frames_total')
            assert after > before


class TestHttp:
    @pytest.mark.parametrize(
        'data',
        [
            b'\x00\xff\x16\x03\x01' * 50,
            b'GET / HTTP/9.9\r\n\r\n',
            b'POST /v1/notes HTTP/1.1\r\nContent-Length: -1\r\n\r\n',
            b'POST /v1/notes HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n',
            b'POST /v1/announce HTTP/1.1\r\nTransfer-Encoding: chunked\r\n'
            b'\r\nFFFFFFFFFF\r\n',
            b'GET /' + b'a' * 200_000,
            b'GET / HTTP/1.1\r\n' + b'X: y\r\n' * 50_000,
            b'GET /%00%ff%2e%2e/ HTTP/1.1\r\nHost: x\r\n\r\n',
        ],
    )
    def test_garbage(self, system, data):
        """Guards against a server that garbage stops or fills."""
        for node in nodes_of(system):
            for _ in range(10):
                answer = send(node.http, data)
            assert not answer or answer.startswith(b'HTTP/1.1 ')
            assert b' 200 ' not in answer[:20] and b' 500 ' not in answer[:20]

    def test_malformed_announcements(self, system):
        """Guards against an announcement that stops a task."""
        good = {
            'group': 'g',
            'server': 's',
            'role': 'replica',
            'term': 1,
            'position': 1,
            'address': '127.0.0.1:1',
            'zone': 'z1',
            'slots': 1,
            'connections': 1,
        }
        bad = [b'', b'[', b'[]', b'null', b'\xff' * 100, b'[' * 100_000]
        for field in good:
            for value in (None, [], {}, -1, 1 << 70, 'x' * 300, 1.5, ''):
                bad.append({**good, field: value})
        node = next(iter(system.entries.values()))
        before = metric(node, 'sassafrasridge_errors_total')
        for body in bad:
            options = (
                {'data': body} if isinstance(body, bytes) else {'json': body}
            )
            answer = requests.post(
                f'http://{node.http}/v1/announce', timeout=5, **options
            )
            assert answer.status_code == 400, (body, answer.text)
        after = metric(node, 'sassafrasridge_errors_total')
        assert after - before == len(bad)

    def test_addresses_that_are_none(self, system):
        """Guards against a task that ends on an address it can't parse."""
        for address in ('x', ':', '127.0.0.1:', 'x:y', '127.0.0.1:99999'):
            body = {
                'group': 'g',
                'server': f's {address}',
                'role': 'replica',
                'term': 1,
                'position': 1,
                'address': address,
                'zone': 'z1',
                'slots': 1,
                'connections': 1,
            }
            for node in nodes_of(system):
                answer = requests.post(
                    f'http://{node.http}/v1/announce', json=body, timeout=5
                )
                assert answer.status_code in (200, 400)
