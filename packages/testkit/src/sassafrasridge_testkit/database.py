"""Stand-in for one server of a database group.

Run it with ``python -m sassafrasridge_testkit.database --group g --server g1
--zone z1 --port 0``. It prints one JSON line with its address once it accepts
connections. A connection counts against the connection limit from its first
``/execute``, so that the control process can fence a server that has reached
its limit.
"""

import argparse
import asyncio
import collections.abc
import pathlib
import signal
import sys
import typing

import orjson

from sassafrasridge_testkit import engine
from sassafrasridge_testkit import faults
from sassafrasridge_testkit import replication
from sassafrasridge_testkit import sessions
from sassafrasridge_testkit import txlog
from sassafrasridge_testkit import webclient
from sassafrasridge_testkit import webserver

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 0.25
JOIN_ATTEMPTS = 20
JOIN_RETRY_DELAY_S = 0.25
JOIN_TIMEOUT_S = 0.5

Body = dict[str, typing.Any]
Handler = collections.abc.Callable[[Body], Body]


class Settings:
    """Command-line options of the server; durations are in seconds."""

    __slots__ = (
        'group',
        'server',
        'zone',
        'host',
        'port',
        'advertise',
        'announce',
        'announce_token',
        'members',
        'primary',
        'restart_role',
        'data',
        'apply_lag_s',
        'record',
        'limits',
    )

    def __init__(self, args: argparse.Namespace) -> None:
        self.group: str = args.group
        self.server: str = args.server
        self.zone: str = args.zone
        self.host: str = args.host
        self.port: int = args.port
        self.advertise: str | None = args.advertise
        self.announce = [
            (item.partition('@')[0], item.partition('@')[2])
            for item in args.announce.split(',')
            if item
        ]
        self.announce_token: str | None = args.announce_token
        self.members = _parse_members(args.members)
        self.primary: bool = args.primary
        self.restart_role: str = args.restart_role
        self.data = pathlib.Path(args.data) if args.data else None
        self.apply_lag_s = args.apply_lag_ms / 1000
        self.record: bool = args.record
        self.limits = sessions.Limits()
        self.limits.slots = args.slots
        self.limits.connections = args.connections
        self.limits.statement_cost_s = args.cost_ms / 1000
        self.limits.connect_cost_s = args.connect_cost_ms / 1000
        self.limits.majority_timeout_s = args.majority_timeout_ms / 1000
        self.limits.writer_wait_s = args.writer_wait_ms / 1000
        self.limits.idle_transaction_s = args.idle_transaction_ms / 1000


class Server:
    """Serve requests, announce this server and replicate its log."""

    def __init__(self, settings: Settings) -> None:
        self.address = ''
        self.listen = ''
        self._settings = settings
        self._faults = faults.Faults()
        self._faults.record = settings.record
        self._observations = faults.Observations()
        self._leaving = False
        self._connections: set[webserver.Connection] = set()
        log = txlog.Log(settings.data)
        self._replication = replication.Replication(
            settings.server, settings.group, log, self._faults, self._step_down
        )
        self._replication.apply_lag_s = settings.apply_lag_s
        self._replication.source_host = settings.host
        self._session_host = sessions.ServerContext(
            settings.limits,
            self._replication,
            self._faults,
            self._observations,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._join_task: asyncio.Task[None] | None = None
        self._handlers: dict[str, Handler] = {
            '/status': self._status,
            '/fence': self._fence,
            '/promote': self._promote,
            '/follow': self._follow,
            '/replicate': self._replicate,
            '/join': self._join,
            '/members': self._set_members,
            '/faults': self._change_faults,
            '/observations': self._report_observations,
        }

    async def start(self) -> None:
        """Start listening, then take the initial role and announce it."""
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            lambda: webserver.Connection(self._handle, self._connections),
            self._settings.host,
            self._settings.port,
        )
        host, port = listener.sockets[0].getsockname()[:2]
        listen_address = f'{host}:{port}'
        self.listen = listen_address
        self.address = self._settings.advertise or listen_address
        self._take_role()
        for address, advertised in self._settings.announce:
            self._tasks.append(
                loop.create_task(
                    self._announce(address, advertised or self.address)
                )
            )

    def _take_role(self) -> None:
        if self._replication.log.term:
            self._replication.restore_role(
                self._settings.restart_role == 'primary'
            )
        elif self._settings.primary:
            members = {
                **self._settings.members,
                self._settings.server: self.address,
            }
            self._replication.promote(1, 0, members)

    async def _handle(
        self, conn: webserver.Connection, req: webserver.Request
    ) -> webserver.Answer | None:
        self._observations.record_request(req, self._faults.record)
        body: Body = {}
        try:
            body = _decode_body(req)
            if body.get('group', self._settings.group) != self._settings.group:
                raise replication.Refused(
                    'wrong_group',
                    f'this server belongs to group {self._settings.group}',
                )
            if req.path == '/execute':
                return await self._execute(conn, body)
            if req.path == '/status':
                await self._open_session(conn)
            handler = self._handlers.get(req.path)
            if handler is None:
                raise replication.Refused(
                    'unknown_path', f'unknown path {req.path}', 404
                )
            if req.path == '/faults' and 'stall_connections' in body:
                self._stall(conn, body.pop('stall_connections'))
            return webserver.Answer(
                200, {'id': body.get('id'), **handler(body)}
            )
        except replication.Refused as exc:
            answer = _refusal_answer(body, exc.kind, str(exc), exc.status)
        except engine.ReadOnlyViolation as exc:
            answer = _refusal_answer(body, exc.kind, str(exc), 409)
        except engine.StatementFailed as exc:
            answer = _refusal_answer(body, exc.kind, str(exc), 400)
        except (KeyError, TypeError, ValueError, AttributeError) as exc:
            answer = _refusal_answer(body, 'bad_request', repr(exc), 400)
        if req.path == '/execute':
            self._observations.count_call(answer.body['error']['kind'])
        return answer

    async def _execute(
        self, conn: webserver.Connection, body: Body
    ) -> webserver.Answer | None:
        if (
            conn.session is None
            or conn.session not in self._session_host.open_sessions
        ):
            if (
                len(self._session_host.open_sessions)
                >= self._settings.limits.connections
            ):
                answer = _refusal_answer(
                    body,
                    'too_many_connections',
                    'connection limit reached',
                    503,
                )
                answer.close = True
                self._observations.count_call('too_many_connections')
                return answer
            await self._open_session(conn, counted=True)
        answer_or_none = await conn.session.execute(
            sessions.ExecuteRequest(body)
        )
        if answer_or_none is None:
            return None
        return self._faults.apply_to_answer(answer_or_none)

    async def _open_session(
        self, conn: webserver.Connection, counted: bool = False
    ) -> None:
        """Open the session of a connection and wait its connect cost once."""
        is_new = conn.session is None
        if is_new:
            conn.session = sessions.Session(self._session_host)
        if counted:
            self._session_host.open_sessions.add(conn.session)
            self._observations.peak_connections = max(
                self._observations.peak_connections,
                len(self._session_host.open_sessions),
            )
        if is_new:
            if self._settings.limits.connect_cost_s:
                await asyncio.sleep(self._settings.limits.connect_cost_s)

    def _step_down(self) -> None:
        self._session_host.step_down()

    def _status(self, body: Body) -> Body:
        log = self._replication.log
        return {
            'server': self._settings.server,
            'group': self._settings.group,
            'zone': self._settings.zone,
            'role': log.role,
            'term': log.term,
            'last_term': log.last_term,
            'received': len(log),
            'applied': self._replication.applied,
            'leaving': self._leaving,
        }

    def _fence(self, body: Body) -> Body:
        self._replication.fence(int(body['term']))
        return self._status(body)

    def _promote(self, body: Body) -> Body:
        self._replication.promote(
            int(body['term']), int(body['start']), body.get('members')
        )
        return self._status(body)

    def _follow(self, body: Body) -> Body:
        self._replication.follow(int(body['term']), int(body['start']))
        if self._join_task is not None:
            self._join_task.cancel()
        self._join_task = asyncio.get_running_loop().create_task(
            self._join_primary(str(body['primary']))
        )
        return self._status(body)

    async def _join_primary(self, address: str) -> None:
        """Send this server's address, which may be new, to the primary."""
        client = webclient.Client(address)
        body = {
            'group': self._settings.group,
            'term': self._replication.log.term,
            'server': self._settings.server,
            'address': self.address,
        }
        for _ in range(JOIN_ATTEMPTS):
            try:
                status, _ = await client.post('/join', body, JOIN_TIMEOUT_S)
            except webclient.CallFailed:
                status = 0
            if status == 200:
                break
            await asyncio.sleep(JOIN_RETRY_DELAY_S)
        client.close()

    def _join(self, body: Body) -> Body:
        log = self._replication.log
        if body['term'] != log.term or not self._replication.is_primary:
            raise replication.Refused('not_primary', f'role is {log.role}')
        name, address = body['server'], body['address']
        if name in log.members and log.members[name] != address:
            self._replication.set_members({**log.members, name: address})
        return {}

    def _replicate(self, body: Body) -> Body:
        if self._faults.refuse_replication:
            raise replication.Refused(
                'refused_by_fault', 'fault refuse_replication is set', 503
            )
        return self._replication.replicate(body)

    def _set_members(self, body: Body) -> Body:
        self._replication.set_members(body['members'])
        return self._status(body)

    def _change_faults(self, body: Body) -> Body:
        changes = {
            name: value
            for name, value in body.items()
            if name not in ('id', 'group')
        }
        limits = self._settings.limits
        if 'apply_lag_ms' in changes:
            self._replication.apply_lag_s = changes.pop('apply_lag_ms') / 1000
        if 'cost_ms' in changes:
            limits.statement_cost_s = changes.pop('cost_ms') / 1000
        if 'leaving' in changes:
            self._leaving = bool(changes.pop('leaving'))
        if 'watch' in changes:
            self._observations.watch(changes.pop('watch'))
        self._faults.change(changes)
        self._replication.apply_due()
        return {'faults': self._faults.as_json()}

    def _report_observations(self, body: Body) -> Body:
        return {
            **self._observations.as_json(),
            'connections': len(self._session_host.open_sessions),
        }

    def _stall(self, requesting_conn: webserver.Connection, mode: str) -> None:
        """Stop answering on all other open connections.

        ``mode`` is 'drop' to ignore their requests, 'run' to execute them;
        raises ValueError otherwise.
        """
        if mode not in ('drop', 'run'):
            raise ValueError(f'unknown stall mode {mode!r}')
        for conn in self._connections:
            if conn is not requesting_conn:
                conn.stall_mode = mode

    async def _announce(self, address: str, advertised: str) -> None:
        client = webclient.Client(address, self._settings.host)
        loop = asyncio.get_running_loop()
        while True:
            started_s = loop.time()
            if not self._faults.stop_announcing:
                try:
                    await client.post(
                        '/v1/announce',
                        self._announcement(advertised),
                        ANNOUNCE_TIMEOUT_S,
                        self._settings.announce_token,
                    )
                except webclient.CallFailed:
                    pass
            remaining_s = ANNOUNCE_INTERVAL_S - (loop.time() - started_s)
            await asyncio.sleep(max(0.0, remaining_s))

    def _announcement(self, advertised: str) -> Body:
        log = self._replication.log
        return {
            'group': self._settings.group,
            'server': self._settings.server,
            'role': log.role,
            'term': log.term,
            'last_term': log.last_term,
            'position': self._replication.applied,
            'address': advertised,
            'zone': self._settings.zone,
            'slots': self._settings.limits.slots,
            'connections': self._settings.limits.connections,
            'leaving': self._leaving,
        }


def _decode_body(req: webserver.Request) -> Body:
    body = orjson.loads(req.body) if req.body else {}
    if not isinstance(body, dict):
        raise ValueError('the request body is not a JSON object')
    return body


def _refusal_answer(
    body: Body, kind: str, message: str, status: int
) -> webserver.Answer:
    return webserver.Answer(
        status, webserver.error(body.get('id'), kind, message)
    )


def _parse_members(text: str) -> dict[str, str]:
    pairs = (item.split('=', 1) for item in text.split(',') if item)
    return {name: address for name, address in pairs}


def parse(argv: collections.abc.Sequence[str] | None = None) -> Settings:
    """Parse the command line; exits on invalid options."""
    parser = argparse.ArgumentParser(description='Stand-in database server')
    parser.add_argument('--group', required=True)
    parser.add_argument('--server', required=True)
    parser.add_argument('--zone', default='z1')
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument(
        '--advertise', help='address to announce, such as a fault proxy'
    )
    parser.add_argument(
        '--announce',
        default='',
        help='addr,addr; addr@own announces own instead of --advertise',
    )
    parser.add_argument('--announce-token')
    parser.add_argument('--members', default='', help='name=addr,name=addr')
    parser.add_argument('--primary', action='store_true')
    parser.add_argument(
        '--restart-role', choices=('primary', 'replica'), default='primary'
    )
    parser.add_argument('--data', help='file that stores the log')
    parser.add_argument('--record', action='store_true')
    parser.add_argument('--slots', type=int, default=5)
    parser.add_argument('--connections', type=int, default=30)
    parser.add_argument('--cost-ms', type=float, default=1.0)
    parser.add_argument('--connect-cost-ms', type=float, default=0.0)
    parser.add_argument('--apply-lag-ms', type=float, default=0.0)
    parser.add_argument('--majority-timeout-ms', type=float, default=1000.0)
    parser.add_argument('--writer-wait-ms', type=float, default=1000.0)
    parser.add_argument('--idle-transaction-ms', type=float, default=5000.0)
    return Settings(parser.parse_args(argv))


async def run(settings: Settings) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    server = Server(settings)
    await server.start()
    ready = {
        'server': settings.server,
        'address': server.address,
        'listen': server.listen,
    }
    sys.stdout.write(orjson.dumps(ready).decode() + '\n')
    sys.stdout.flush()
    await stop.wait()


if __name__ == '__main__':
    asyncio.run(run(parse()))
