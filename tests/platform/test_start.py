"""Tests of the start of processes after a loss of power."""

import contextlib
import socket

import orjson
import pytest

from sassafrasridge_node import front
from sassafrasridge_node import idl
from sassafrasridge_node import metrics
from sassafrasridge_testkit import processes
from sassafrasridge_testkit import starttime

# Modules that serve neither sessions nor the readiness probe.
NOT_AT_START = (
    'cherrypy',
    'eliot',
    'itsdangerous',
    'prometheus_client',
    'sassafrasridge_core.raft',
    'sassafrasridge_node.control',
    'sassafrasridge_node.dataapi',
    'sassafrasridge_node.gateway',
    'sassafrasridge_node.operatorapi',
    'sassafrasridge_node.storage',
)


@pytest.fixture(scope='module')
def process(tmp_path_factory):
    """Return an entry process that can't reach control."""
    lab = starttime.Lab(tmp_path_factory.mktemp('start'))
    process = lab.create('entry', '-X', 'importtime').start()
    yield process
    process.kill()


class TestEntryProcess:
    @pytest.fixture
    def get(self, process):
        def call(path):
            host, port = process.ready['http'].split(':')
            with contextlib.closing(
                socket.create_connection((host, int(port)), 10)
            ) as conn:
                conn.sendall(
                    f'GET {path} HTTP/1.1\r\nHost: x\r\n'
                    'Connection: close\r\n\r\n'.encode()
                )
                answer = b''.join(iter(lambda: conn.recv(65536), b''))
            head, _, body = answer.partition(b'\r\n\r\n')
            return int(head.split()[1]), body

        return call

    def test_imports_only_what_it_serves_with(self, process):
        """Guards against a slow start of all VMs after a loss of power."""
        modules = starttime.imports(process)
        assert 'sassafrasridge_node.sessionfront' in modules
        assert not modules.keys() & set(NOT_AT_START)

    def test_pages_load_with_their_first_request(self, process, get):
        """Guards against interfaces that the short start leaves out."""
        assert get('/api/readyz')[0] == 503
        assert get('/v1/status')[0] == 401
        assert b'sassafrasridge_sessions 0.0' in get('/metrics')[1]
        assert get('/nowhere')[0] == 404

    def test_delayed_log_lines_are_written(self, process):
        """Guards against a start that the log doesn't show."""
        processes.wait_until(
            lambda: starttime.log_line(process, 'started'), 10, 'started'
        )
        line = starttime.log_line(process, 'started')
        assert line['processor_ms'] >= line['listening_processor_ms'] > 0
        assert line['node'] and line['task_uuid'] and line['timestamp']


class TestLazyApp:
    def test_failed_load_is_answered_and_tried_again(self):
        """Guards against an interface that stays broken or hangs."""
        loads = []

        def load():
            loads.append(1)
            if len(loads) == 1:
                raise ImportError('no module named cherrypy')
            return lambda environ, start_response: 'answer'

        app = front.LazyApp(load, metrics.Metrics())
        refusal = app({'PATH_INFO': '/metrics'}, None)
        assert refusal.status == 503
        assert 'dependencies' in orjson.loads(refusal.body)['error']['remedy']
        assert app({'PATH_INFO': '/metrics'}, None) == 'answer'


class TestCompiledIdl:
    def test_equals_the_parsed_file(self):
        """Guards against calls that other daemons cannot decode."""
        compiled = {}
        exec(idl.compile_module(), compiled)  # noqa: S102
        parsed = idl.parse()

        def shape(spec):
            if isinstance(spec, type):
                return spec.__name__, shape_of(spec)
            if isinstance(spec, tuple):
                return tuple(shape(part) for part in spec)
            return spec

        def shape_of(struct):
            fields = {n: shape(s) for n, s in struct.thrift_spec.items()}
            made = sorted(vars(struct()))
            spec = struct.default_spec
            return list(fields.items()), spec, struct._ttype, made

        for name, found in vars(parsed).items():
            if hasattr(found, 'thrift_services'):
                other = compiled[name]
                assert other.thrift_services == found.thrift_services
                for method in found.thrift_services:
                    for part in ('_args', '_result'):
                        ours = getattr(other, method + part)
                        theirs = getattr(found, method + part)
                        assert shape_of(ours) == shape_of(theirs)
                    assert ours.oneway == theirs.oneway
            elif isinstance(found, type):
                assert shape_of(compiled[name]) == shape_of(found)
