"""Costs of the replicated state: snapshot sizes, log and restarts."""

import pathlib
import random
import time
import typing

import orjson

from sassafrasridge_core import grouprecords
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

ITEM_COUNTS = (0, 250, 500, 1000)
CHANGE_COUNTS = (100, 1000, 3000, 10_000)
COMMIT_COUNTS = (20, 40, 80, 160)
COMMANDS_PER_BATCH = 50


def note_command(
    number: int, items: list[typing.Any], changed: bool = False
) -> bytes:
    """Return the encoded log command of a release note."""
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


def _account_commands(count: int) -> list[bytes]:
    items = [
        deployments.account(slopelab.account_name(n), f'key-{n}', [])[0]
        for n in range(count)
    ]
    return [note_command(1, items)] if items else []


def _key_commands(count: int) -> list[bytes]:
    commands = [
        note_command(1, deployments.account('account', 'first', [])[:1])
    ]
    items = [
        {**deployments.account('account', f'key-{n}', [])[1], 'id': f'key-{n}'}
        for n in range(count)
    ]
    return commands + ([note_command(2, items)] if items else [])


def account_change_commands(count: int) -> list[bytes]:
    """Return commands that create an account and change it count times."""
    commands = [
        note_command(1, deployments.account('account', 'first', [])[:1])
    ]
    for number in range(count):
        item = {
            'kind': 'account',
            'name': 'account',
            'rate': 100.0 + number,
            'burst': 100.0,
        }
        commands.append(note_command(number + 2, [item], changed=True))
    return commands


def _audit_commands(count: int) -> list[bytes]:
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


def _group_commands(count: int) -> list[bytes]:
    commands = []
    for number in range(count):
        servers = [slopelab.target_info(3 * number + n) for n in range(3)]
        view = model.GroupView(
            servers[0].group,
            1,
            servers[0].server,
            {server.server: server.address for server in servers},
            {1: 0},
        )
        commands.append(
            orjson.dumps(
                {
                    'type': 'group',
                    'group': grouprecords.as_json(view),
                    'time': 1.7e9,
                }
            )
        )
    return commands


def _entry_commands(count: int) -> list[bytes]:
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


COMMANDS_BY_KIND = {
    'account': _account_commands,
    'key': _key_commands,
    'note': account_change_commands,
    'audit_entry': _audit_commands,
    'group': _group_commands,
    'entry_process': _entry_commands,
}


def _apply_commands(commands: list[bytes]) -> core_state.State:
    state = core_state.State()
    for index, command in enumerate(commands, 1):
        reply = state.apply(index, command)
        if not reply.ok:
            raise AssertionError(f'command {index} was refused: {reply.body}')
    return state


def measure_snapshot_sizes() -> list[slopefit.CostSeries]:
    """Measure snapshot sizes by the number of items of each kind.

    Each note and each group change also adds an audit trail entry, whose
    bytes are included here.
    """
    series_list = []
    for kind, commands in COMMANDS_BY_KIND.items():
        series = slopefit.CostSeries(
            f'snapshot_{kind}_bytes',
            f'Bytes of a snapshot, by {kind.replace("_", " ")}s',
            kind.replace('_', ' '),
            'bytes',
        )
        for count in ITEM_COUNTS:
            series.add(
                count, float(len(_apply_commands(commands(count)).encode()))
            )
        series_list.append(series)
    return series_list


def measure_snapshot_encoding() -> slopefit.CostSeries:
    """Measure how long encoding a snapshot blocks the event loop."""
    series = slopefit.CostSeries(
        'snapshot_note_cpu',
        'Processor time to encode a snapshot, by notes',
        'note',
        's',
    )
    for count in CHANGE_COUNTS:
        state = _apply_commands(account_change_commands(count))
        for _ in range(slopelab.REPETITIONS):
            before = time.process_time()
            state.encode()
            series.add(count, time.process_time() - before)
    return series


class SingleVoterLog:
    """Run a single-voter log with its files in this process."""

    def __init__(self, folder: pathlib.Path, name: str) -> None:
        self.files = storage.Storage(folder, lambda: f'disk-{name}')
        stored = self.files.load({name: ''})
        self.raft = raft.Raft(
            name,
            self.files.disk_id,
            stored,
            raft.RaftConfig(),
            clocks.boottime(),
            random.Random(1),  # noqa: S311
        )
        self.state = core_state.State()
        self._snapshot_index = 0

    def process_ready(self) -> None:
        """Persist and apply ready log entries, as the daemon does."""
        while True:
            ready = self.raft.ready()
            if not ready:
                return
            self.files.persist(ready)
            for entry in ready.committed:
                if entry.kind == 'command':
                    self.state.apply(entry.index, entry.payload)
                self._compact(entry.index)

    def _compact(self, index: int) -> None:
        if index - self._snapshot_index >= control.SNAPSHOT_INTERVAL_ENTRIES:
            self.raft.compact(index, self.state.encode())
            self._snapshot_index = index


def write_data_folder(
    folder: pathlib.Path, name: str, commands: list[bytes]
) -> None:
    """Create a data folder whose log contains committed commands."""
    folder.mkdir(parents=True)
    member = SingleVoterLog(folder, name)
    now = clocks.boottime()
    while not member.raft.can_serve_as_leader(now):
        now += 0.1
        member.raft.tick(now)
        member.process_ready()
    for start in range(0, len(commands), COMMANDS_PER_BATCH):
        for command in commands[start : start + COMMANDS_PER_BATCH]:
            member.raft.propose(now, command)
        member.process_ready()
    member.files.close()


def measure_restarts(kit: harness.Harness) -> list[slopefit.CostSeries]:
    """Measure control member restarts by the number of changes on disk."""
    wall = slopefit.CostSeries(
        'restart_seconds',
        'Time from start to leadership, by changes in the log and snapshot',
        'change',
        's',
        note='wall time; includes the start of the interpreter',
    )
    cpu = slopefit.CostSeries(
        'restart_cpu', 'Processor time of a restart, by changes', 'change', 's'
    )
    for count in CHANGE_COUNTS:
        folder = kit.folder / f'restart-{count}'
        folder.mkdir()
        member_harness = harness.Harness(folder)
        deployment = deployments.Deployment(member_harness, ('z1',), ())
        (node,) = deployment.control.values()
        write_data_folder(
            folder / f'{node.name}.data',
            node.name,
            account_change_commands(count),
        )
        deployment.write_settings(node)
        for _ in range(slopelab.REPETITIONS):
            started = time.monotonic()
            node.process.start()
            slopelab.find_leader(deployment)
            wall.add(count, time.monotonic() - started)
            cpu.add(count, slopemeters.cpu_s(node.process.pid))
            node.process.kill()
    return [wall, cpu]


def measure_commits(kit: harness.Harness) -> list[slopefit.CostSeries]:
    """Measure the processor time of committed changes with three voters."""
    deployment = deployments.Deployment(kit, ('z1', 'z2', 'z3'), ())
    deployment.start()
    leader, others = slopelab.find_leader(deployment)
    deployment.note(added=deployments.account('account', 'key', []))
    series_list = [
        slopefit.CostSeries(
            f'commit_{role}_cpu',
            f'Processor time of committed changes at the {role}',
            'change',
            's',
            note='release notes over HTTP at the leader, three voters',
        )
        for role in ('leader', 'follower')
    ]
    meter = slopemeters.CpuMeter(leader.process.pid, others[0].process.pid)
    for count in COMMIT_COUNTS:
        for _ in range(slopelab.REPETITIONS):
            idle = meter.idle_rates(slopelab.IDLE_SAMPLE_S)
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
            for series, rate, value in zip(
                series_list, idle, used, strict=True
            ):
                series.add(count, value - rate * elapsed)
    for node in deployment.control.values():
        node.process.kill()
    return series_list


def _append_frame_bytes(index: int, command: bytes) -> int:
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


def measure_commit_bytes() -> slopefit.CostSeries:
    """Measure the bytes a leader sends to one follower for changes."""
    series = slopefit.CostSeries(
        'commit_bytes',
        'Bytes from a leader to one follower, by committed changes',
        'change',
        'bytes',
        note='one append message per change, frames included, no TCP headers',
    )
    for count in COMMIT_COUNTS:
        sent = sum(
            _append_frame_bytes(index, command)
            for index, command in enumerate(
                account_change_commands(count)[1:], 1
            )
        )
        series.add(count, float(sent))
    return series


def measure(kit: harness.Harness) -> list[slopefit.CostSeries]:
    """Measure the costs of state, log and restarts."""
    return [
        *measure_snapshot_sizes(),
        measure_snapshot_encoding(),
        *measure_commits(kit),
        measure_commit_bytes(),
        *measure_restarts(kit),
    ]
