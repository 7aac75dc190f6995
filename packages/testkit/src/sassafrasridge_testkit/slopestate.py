"""Sizes of the replicated state, costs of the log and times of a restart."""

import pathlib
import random
import time
import typing

import orjson

from sassafrasridge_core import model
from sassafrasridge_core import raft
from sassafrasridge_core import raftlog
from sassafrasridge_core import raftmessages
from sassafrasridge_core import state as core_state
from sassafrasridge_node import clocks
from sassafrasridge_node import control
from sassafrasridge_node import rpc
from sassafrasridge_node import storage
from sassafrasridge_testkit import deployments
from sassafrasridge_testkit import harness
from sassafrasridge_testkit import slopefit
from sassafrasridge_testkit import slopelab
from sassafrasridge_testkit import slopemeters

COUNTS = (0, 250, 500, 1000)
RESTARTS = (100, 1000, 3000, 10_000)
COMMITS = (20, 40, 80, 160)
BATCH = 50


def note(number: int, items: list[typing.Any], changed: bool = False) -> bytes:
    """Return the command of a release note."""
    body = {
        'number': number,
        'operator': 'operator',
        'added': [] if changed else items,
        'changed': items if changed else [],
        'withdrawn': [],
    }
    return orjson.dumps(
        {
            'type': 'note',
            'note': body,
            'operator': 'operator',
            'address': '127.0.0.1',
            'time': 1.7e9 + number,
        }
    )


def _accounts(count: int) -> list[bytes]:
    items = [
        deployments.account(slopelab.account_name(n), f'key-{n}', [])[0]
        for n in range(count)
    ]
    return [note(1, items)] if items else []


def _keys(count: int) -> list[bytes]:
    commands = [note(1, deployments.account('account', 'first', [])[:1])]
    items = [
        {**deployments.account('account', f'key-{n}', [])[1], 'id': f'key-{n}'}
        for n in range(count)
    ]
    return commands + ([note(2, items)] if items else [])


def notes(count: int) -> list[bytes]:
    """Return the commands of notes that each change one account."""
    commands = [note(1, deployments.account('account', 'first', [])[:1])]
    for number in range(count):
        item = {
            'kind': 'account',
            'name': 'account',
            'rate': 100.0 + number,
            'burst': 100.0,
        }
        commands.append(note(number + 2, [item], changed=True))
    return commands


def _audits(count: int) -> list[bytes]:
    return [
        orjson.dumps(
            {
                'type': 'audit',
                'operator': 'operator',
                'address': '127.0.0.1',
                'kind': 'drain',
                'what': 'drain entry-1',
                'time': 1.7e9,
            }
        )
    ] * count


def _groups(count: int) -> list[bytes]:
    found = []
    for number in range(count):
        servers = [slopelab.target(3 * number + n) for n in range(3)]
        view = model.GroupView(
            servers[0].group,
            1,
            servers[0].server,
            {s.server: s.address for s in servers},
            {1: 0},
        )
        found.append(
            orjson.dumps(
                {
                    'type': 'group',
                    'group': core_state.group_as_json(view),
                    'time': 1.7e9,
                }
            )
        )
    return found


def _entries(count: int) -> list[bytes]:
    return [
        orjson.dumps(
            {
                'type': 'entry',
                'action': 'register',
                'entry': f'entry-{number}',
                'zone': 'z1',
                'address': f'10.0.0.1:{number}',
                'time': 1.7e9,
            }
        )
        for number in range(count)
    ]


KINDS = {
    'account': _accounts,
    'key': _keys,
    'note': notes,
    'audit_entry': _audits,
    'group': _groups,
    'entry_process': _entries,
}


def _apply(commands: list[bytes]) -> core_state.State:
    state = core_state.State()
    for index, command in enumerate(commands, 1):
        reply = state.apply(index, command)
        if not reply.ok:
            raise AssertionError(f'a command was refused: {reply.body}')
    return state


def sizes() -> list[slopefit.Slope]:
    """Measure the bytes of a snapshot by what the state holds.

    A note and a change of a group also leave one entry in the audit trail;
    the bytes here include it.
    """
    slopes = []
    for kind, commands in KINDS.items():
        slope = slopefit.Slope(
            f'snapshot_{kind}_bytes',
            f'Bytes of a snapshot, by {kind.replace("_", " ")}s',
            kind.replace('_', ' '),
            'bytes',
        )
        for count in COUNTS:
            slope.add(count, float(len(_apply(commands(count)).encode())))
        slopes.append(slope)
    return slopes


def encoding() -> slopefit.Slope:
    """Measure how long a snapshot blocks the event loop."""
    slope = slopefit.Slope(
        'snapshot_note_cpu',
        'Processor time to encode a snapshot, by notes',
        'note',
        's',
    )
    for count in RESTARTS:
        state = _apply(notes(count))
        for _ in range(slopelab.REPETITIONS):
            before = time.process_time()
            state.encode()
            slope.add(count, time.process_time() - before)
    return slope


class LogMember:
    """One voter of a log in this process, with its files."""

    def __init__(self, folder: pathlib.Path, name: str) -> None:
        self.files = storage.Storage(folder, lambda: f'disk-{name}')
        stored = self.files.load({name: ''})
        self.log = raft.Raft(
            name,
            self.files.disk_id,
            stored,
            raft.RaftConfig(),
            clocks.boottime(),
            random.Random(1),  # noqa: S311
        )
        self.state = core_state.State()
        self._snapshot_index = 0

    def drain(self) -> None:
        """Persist and apply what is ready, as the daemon does."""
        while True:
            ready = self.log.ready()
            if not ready:
                return
            self.files.persist(ready)
            for entry in ready.committed:
                if entry.kind == 'command':
                    self.state.apply(entry.index, entry.payload)
                self._compact(entry.index)

    def _compact(self, index: int) -> None:
        if index - self._snapshot_index >= control.SNAPSHOT_INTERVAL_ENTRIES:
            self.log.compact(index, self.state.encode())
            self._snapshot_index = index


def fill(folder: pathlib.Path, name: str, commands: list[bytes]) -> None:
    """Write a data folder that holds committed commands."""
    folder.mkdir(parents=True)
    member = LogMember(folder, name)
    now = clocks.boottime()
    while not member.log.can_serve_as_leader(now):
        now += 0.1
        member.log.tick(now)
        member.drain()
    for start in range(0, len(commands), BATCH):
        for command in commands[start : start + BATCH]:
            member.log.propose(now, command)
        member.drain()
    member.files.close()


def restarts(kit: harness.Harness) -> list[slopefit.Slope]:
    """Measure a daemon's start on a data folder with many changes."""
    wall = slopefit.Slope(
        'restart_seconds',
        'Time from start to leadership, by changes in the log and snapshot',
        'change',
        's',
        note='wall time; includes the start of the interpreter',
    )
    cpu = slopefit.Slope(
        'restart_cpu', 'Processor time of a restart, by changes', 'change', 's'
    )
    for count in RESTARTS:
        folder = kit.folder / f'restart-{count}'
        folder.mkdir()
        part = harness.Harness(folder)
        deployment = deployments.Deployment(part, ('z1',), ())
        (node,) = deployment.control.values()
        fill(folder / f'{node.name}.data', node.name, notes(count))
        deployment.write_settings(node)
        for _ in range(slopelab.REPETITIONS):
            started = time.monotonic()
            node.process.start()
            slopelab.find_leader(deployment)
            wall.add(count, time.monotonic() - started)
            cpu.add(count, slopemeters.cpu_s(node.process.pid))
            node.process.kill()
    return [wall, cpu]


def commits(kit: harness.Harness) -> list[slopefit.Slope]:
    """Measure committed changes at three voters."""
    deployment = deployments.Deployment(kit, ('z1', 'z2', 'z3'), ())
    deployment.start()
    leader, others = slopelab.find_leader(deployment)
    deployment.note(added=deployments.account('account', 'key', []))
    slopes = [
        slopefit.Slope(
            f'commit_{role}_cpu',
            f'Processor time of committed changes at the {role}',
            'change',
            's',
            note='release notes over HTTP at the leader, three voters',
        )
        for role in ('leader', 'follower')
    ]
    meter = slopemeters.CpuMeter(leader.process.pid, others[0].process.pid)
    for count in COMMITS:
        for _ in range(slopelab.REPETITIONS):
            idle = meter.rates(slopelab.IDLE_S)
            meter.start()
            for number in range(count):
                item = {
                    'kind': 'account',
                    'name': 'account',
                    'rate': 100.0 + number,
                    'burst': 100.0 + count,
                }
                deployment.note(changed=[item], node=leader)
            elapsed, used = meter.stop()
            for slope, rate, value in zip(slopes, idle, used, strict=True):
                slope.add(count, value - rate * elapsed)
    for node in deployment.control.values():
        node.process.kill()
    return slopes


def _append_size(index: int, command: bytes) -> int:
    message = raftmessages.Message(
        raftmessages.APPEND,
        'control-1',
        'd' * 16,
        'control-2',
        3,
        index=index,
        log_term=3,
        commit=index,
        sent_at=clocks.boottime(),
        entries=[raftlog.Entry(index + 1, 3, raftlog.COMMAND, command)],
    )
    wire = rpc.idl.LogMessage(
        sender='control-1', recipient='control-2', body=message.encode()
    )
    client = rpc.Client(rpc.idl.Control, '127.0.0.1:1', b's' * 32)
    payload = client._encode_call('log_message', index, (wire,))
    return len(client._framing.pack(payload))


def commit_bytes() -> slopefit.Slope:
    """Measure what a leader sends to one follower for changes."""
    slope = slopefit.Slope(
        'commit_bytes',
        'Bytes from a leader to one follower, by committed changes',
        'change',
        'bytes',
        note='one append message per change, frames included, no TCP headers',
    )
    for count in COMMITS:
        sent = sum(
            _append_size(index, command)
            for index, command in enumerate(notes(count)[1:], 1)
        )
        slope.add(count, float(sent))
    return slope


def measure(kit: harness.Harness) -> list[slopefit.Slope]:
    """Return the slopes of state, log and restarts."""
    return [
        *sizes(),
        encoding(),
        *commits(kit),
        commit_bytes(),
        *restarts(kit),
    ]
