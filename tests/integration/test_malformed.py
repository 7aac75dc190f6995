"""Tests of malformed input to every listener of real daemons."""

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

# A daemon may use 128 MB in all and uses less than half of that at start.
MAX_GROWTH_BYTES = 64 * 1024 * 1024

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
def check_daemons_survive(system):
    """Check that every daemon keeps running, serving and within its memory."""
    nodes = [*system.control.values(), *system.entries.values()]
    sizes_before = [resident_bytes(node) for node in nodes]
    pids = [node.process.pid for node in nodes]
    yield
    for node, size_before, pid in zip(nodes, sizes_before, pids, strict=True):
        assert node.process.running, node.process.log_tail()
        assert node.process.pid == pid
        assert resident_bytes(node) - size_before < MAX_GROWTH_BYTES
        assert read_metric(node, 'sassafrasridge_lease_valid') in (0.0, 1.0)
    entry = nodes[-1]
    harness.wait_until(
        lambda: read_metric(entry, 'sassafrasridge_lease_valid') == 1.0,
        10,
        'lease',
    )


def resident_bytes(node):
    """Return the resident memory of a daemon in bytes."""
    text = pathlib.Path(f'/proc/{node.process.pid}/statm').read_text()
    return int(text.split()[1]) * PAGE_BYTES


def read_metric(node, name):
    """Return the sum of all series of a metric."""
    page = requests.get(f'http://{node.http}/metrics', timeout=TIMEOUT_S).text
    return sum(
        float(line.rsplit(' ', 1)[1])
        for line in page.splitlines()
        if line.startswith(name) and not line.startswith('#')
    )


def send(address, data):
    """Send bytes and return what arrives until the end or a time-out."""
    host, port = address.split(':')
    received = b''
    with socket.create_connection((host, int(port)), TIMEOUT_S) as sock:
        sock.settimeout(0.3)
        with contextlib.suppress(OSError):
            sock.sendall(data)
            while chunk := sock.recv(65536):
                received += chunk
    return received


def encode_call(name, **fields):
    """Return a well-formed RPC call."""
    body = getattr(rpc.idl.Daemon, f'{name}_args')(**fields)
    return rpc.encode_message(name, thrift.TMessageType.CALL, 1, body)


def encode_renewal():
    """Return a well-formed lease renewal."""
    reports = [
        rpc.idl.AccountReport(account='shop', version=1, rate=1.0)
        for _ in range(3)
    ]
    req = rpc.idl.RenewRequest(
        entry='ghost', zone='z1', incarnation=7, accounts=reports
    )
    return encode_call('renew', req=req)


def corrupt(rng, message):
    """Return the message with random bytes replaced, often cut short."""
    data = bytearray(message)
    for _ in range(rng.randint(1, 4)):
        data[rng.randrange(len(data))] = rng.choice((0, 0x7F, 0xFF, 0x0F, 12))
    return bytes(data[: rng.choice((len(data), rng.randrange(len(data))))])


def all_nodes(system):
    """Return the control members and the entry processes."""
    return [*system.control.values(), *system.entries.values()]


class TestRpc:
    def test_random_bytes_without_a_digest(self, system):
        """Guards against a crash or large allocation without the secret."""
        rng = random.Random(SEED)
        for node in all_nodes(system):
            before = read_metric(
                node, 'sassafrasridge_rpc_malformed_frames_total'
            )
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
            after = read_metric(
                node, 'sassafrasridge_rpc_malformed_frames_total'
            )
            assert after - before >= 22

    def test_well_formed_messages_with_missing_fields(self, system, framing):
        """Guards against a task that ends because a field is missing."""
        calls = [
            encode_call('renew', req=rpc.idl.RenewRequest()),
            encode_call('renew'),
            encode_call('renew_batch', batch=rpc.idl.RenewBatch()),
            encode_call(
                'renew_batch',
                batch=rpc.idl.RenewBatch(requests=[rpc.idl.RenewRequest()]),
            ),
            encode_call('log_message', message=rpc.idl.LogMessage()),
            encode_call(
                'log_message', message=rpc.idl.LogMessage(body=b'\xff')
            ),
            encode_call('command'),
            encode_call(
                'command', kind='submit_note', body=b'[', deadline_s=1.0
            ),
            encode_call(
                'command', kind='submit_note', body=b'{}', deadline_s=1.0
            ),
            encode_call('command', kind='audit', body=b'[]', deadline_s=-1.0),
            encode_call('relay', call=rpc.idl.StatementCall()),
            encode_call(
                'relay', call=rpc.idl.StatementCall(kind='x', body=b'[]')
            ),
            encode_renewal().replace(b'renew', b'xenew'),
        ]
        for node in all_nodes(system):
            for payload in calls:
                reply = send(node.rpc, framing.pack(payload))
                assert len(reply) > 4 + rpc.DIGEST_BYTES, payload


class TestDamagedPeer:
    """Send corrupt messages with a valid digest, as a faulty peer would."""

    @pytest.fixture
    def system(self):
        """Return daemons for one test only, since it may stop them."""
        with harness.Harness() as kit:
            deployment = deployments.Deployment(kit, entry_zones=('z1',))
            yield deployment.start()

    def test_corrupt_messages_with_a_valid_digest(self, system, framing):
        """Guards against a daemon that a faulty peer can stop."""
        rng = random.Random(SEED)
        for node in all_nodes(system):
            before = read_metric(
                node, 'sassafrasridge_rpc_malformed_frames_total'
            )
            for _ in range(60):
                send(node.rpc, framing.pack(corrupt(rng, encode_renewal())))
            for size in (0, 1, 50, 5000):
                send(node.rpc, framing.pack(rng.randbytes(size)))
            after = read_metric(
                node, 'sassafrasridge_rpc_malformed_frames_total'
            )
            assert after > before

    def test_huge_lengths_with_a_valid_digest(self, system, framing):
        """Guards against allocating the size that a length field states."""
        message = encode_renewal()
        for node in all_nodes(system):
            before = read_metric(
                node, 'sassafrasridge_rpc_malformed_frames_total'
            )
            count = 0
            for offset in range(len(message) - 4):
                if (
                    message[offset : offset + 3] == b'\0\0\0'
                    and message[offset + 3]
                ):
                    for length in (b'\x7f\xff\xff\xff', b'\xff\xff\xff\xff'):
                        data = (
                            message[:offset] + length + message[offset + 4 :]
                        )
                        send(node.rpc, framing.pack(data))
                        count += 1
            assert count > 4
            after = read_metric(
                node, 'sassafrasridge_rpc_malformed_frames_total'
            )
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
    def test_malformed_requests(self, system, data):
        """Guards against requests that stop a server or fill its memory."""
        for node in all_nodes(system):
            for _ in range(10):
                answer = send(node.http, data)
            assert not answer or answer.startswith(b'HTTP/1.1 ')
            assert b' 200 ' not in answer[:20] and b' 500 ' not in answer[:20]

    def test_malformed_announcements(self, system):
        """Guards against an announcement that ends a task."""
        valid = {
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
        for field in valid:
            for value in (None, [], {}, -1, 1 << 70, 'x' * 300, 1.5, ''):
                bad.append({**valid, field: value})
        node = next(iter(system.entries.values()))
        before = read_metric(node, 'sassafrasridge_errors_total')
        for body in bad:
            options = (
                {'data': body} if isinstance(body, bytes) else {'json': body}
            )
            answer = requests.post(
                f'http://{node.http}/v1/announce', timeout=5, **options
            )
            assert answer.status_code == 400, (body, answer.text)
        after = read_metric(node, 'sassafrasridge_errors_total')
        assert after - before == len(bad)

    def test_invalid_addresses(self, system):
        """Guards against a task that ends on an address it cannot parse."""
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
            for node in all_nodes(system):
                answer = requests.post(
                    f'http://{node.http}/v1/announce', json=body, timeout=5
                )
                assert answer.status_code in (200, 400)
