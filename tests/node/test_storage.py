"""Tests of the files of a control member."""

import os
import random
import time

import pytest

from sassafrasridge_core import errors
from sassafrasridge_core import raft
from sassafrasridge_node import storage

MEMBERS = {'a': raft.Member('disk')}


def entry(index, term=1, payload=b'x'):
    return raft.Entry(index, term, 'command', payload)


def entries(first, last, term=1):
    return [
        entry(index, term, b'%d-%d' % (index, term))
        for index in range(first, last + 1)
    ]


def snapshot(index, term=1, data=b'state'):
    return raft.Snapshot(index, term, MEMBERS, data)


def open_storage(folder, disk_id='disk'):
    return storage.Storage(folder, lambda: disk_id)


def reload(folder):
    """Return the state that a restarted process loads."""
    store = open_storage(folder, 'another')
    try:
        return store.load()
    finally:
        store.close()


def write(folder, *readies):
    """Persist each ready; return the log size after each in bytes."""
    store = open_storage(folder)
    store.load({'a': None})
    sizes = []
    for ready in readies:
        store.persist(ready)
        sizes.append((folder / storage.LOG).stat().st_size)
    store.close()
    return sizes


class Crash(BaseException):
    """Simulates a crash of the process at a system call."""


def crash_at(step, patch):
    """Raise Crash at the given system call; a write writes one half."""
    calls_left = [step]

    def patch_call(name, call):
        def run(*args):
            calls_left[0] -= 1
            if calls_left[0] < 0:
                if name == 'write':
                    call(args[0], args[1][: len(args[1]) // 2])
                raise Crash(name)
            return call(*args)

        patch.setattr(os, name, run)

    for name in ('write', 'fdatasync', 'replace', 'fsync'):
        patch_call(name, getattr(os, name))


class TestFirstUse:
    def test_disk_id_is_created_once(self, tmp_path):
        """Guards against a new identity at each restart."""
        folder = tmp_path / 'data'
        store = open_storage(folder)
        stored = store.load({'a': 'disk', 'b': None})
        assert (stored.disk_id, store.disk_id) == ('disk', 'disk')
        store.close()
        again = reload(folder)
        assert again.disk_id == 'disk'
        assert again.members == stored.members
        assert again.members['b'] == raft.Member('')

    def test_crash_at_any_step_of_the_first_use(self, tmp_path, monkeypatch):
        """Guards against a crash that leaves the new folder unusable."""
        for step in range(12):
            folder = tmp_path / f'{step}'
            store = open_storage(folder)
            with monkeypatch.context() as patch:
                crash_at(step, patch)
                try:
                    store.load({'a': None})
                    known = 'disk'
                except Crash:
                    known = None
            store.close()
            store = open_storage(folder, 'second')
            disk_id = store.load({'a': None}).disk_id
            store.close()
            assert disk_id == (known or disk_id)
            assert reload(folder).disk_id == disk_id
        assert known

    def test_second_process_is_refused(self, tmp_path):
        """Guards against two processes that write the same log."""
        store = open_storage(tmp_path)
        with pytest.raises(errors.StorageError, match='another process'):
            open_storage(tmp_path)
        store.close()
        open_storage(tmp_path).close()

    @pytest.mark.parametrize('name', [storage.META, storage.LOG])
    def test_missing_file_is_refused(self, tmp_path, name):
        """Guards against a member that votes twice as its vote was lost."""
        write(tmp_path, raft.Ready(entries=entries(1, 2)))
        (tmp_path / name).unlink()
        with pytest.raises(errors.StorageError, match=name) as caught:
            reload(tmp_path)
        assert 'member replace' in caught.value.render()


class TestLog:
    def test_truncated_entries_do_not_return(self, tmp_path):
        """Guards against entries of a replaced leader after a restart."""
        write(
            tmp_path,
            raft.Ready(raft.HardState(1, 'a/disk'), entries=entries(1, 5)),
            raft.Ready(
                raft.HardState(2), truncate_from=3, entries=entries(3, 3, 2)
            ),
        )
        stored = reload(tmp_path)
        assert stored.hard_state == raft.HardState(2)
        assert stored.entries == entries(1, 2) + entries(3, 3, 2)

    def test_log_cut_at_any_byte_keeps_what_was_synced(self, tmp_path):
        """Guards against a torn write that prevents or corrupts a load."""
        sizes = write(
            tmp_path,
            raft.Ready(raft.HardState(1), entries=entries(1, 3)),
            raft.Ready(raft.HardState(2), entries=entries(4, 5)),
            raft.Ready(truncate_from=5, entries=entries(5, 7, 2)),
        )
        path = tmp_path / storage.LOG
        data = path.read_bytes()
        for size in range(sizes[0], len(data) + 1):
            for tail in (b'', b'\0' * 40, b'\xff' * 7):
                path.write_bytes(data[:size] + tail)
                stored = reload(tmp_path)
                expected = entries(1, 3)
                if size >= sizes[1]:
                    expected = entries(1, 5)
                if size >= sizes[2]:
                    expected = entries(1, 4) + entries(5, 7, 2)
                assert stored.entries == expected
                term = 2 if size >= sizes[1] else 1
                assert stored.hard_state.term == term
                assert path.stat().st_size in sizes

    def test_log_continues_after_a_torn_write(self, tmp_path):
        """Guards against appending after the remains of a torn write."""
        write(tmp_path, raft.Ready(entries=entries(1, 3)))
        path = tmp_path / storage.LOG
        path.write_bytes(path.read_bytes() + b'SRF1 torn')
        write(tmp_path, raft.Ready(entries=entries(4, 4)))
        assert reload(tmp_path).entries == entries(1, 4)

    def test_corruption_before_the_end_is_refused(self, tmp_path):
        """Guards against taking corrupt synced entries for a torn write."""
        write(tmp_path)
        base = (tmp_path / storage.LOG).stat().st_size
        sizes = write(
            tmp_path,
            raft.Ready(entries=entries(1, 3)),
            raft.Ready(entries=entries(4, 5)),
            raft.Ready(entries=entries(6, 6)),
        )
        path = tmp_path / storage.LOG
        data = path.read_bytes()
        for offset in range(sizes[1]):
            damaged = bytearray(data)
            damaged[offset] ^= 0x10
            path.write_bytes(damaged)
            with pytest.raises(errors.StorageError) as caught:
                reload(tmp_path)
            text = caught.value.render()
            frames = [0, base, *sizes]
            found = max(item for item in frames if item <= offset)
            assert f'{path} at offset {found}:' in text
            assert 'member replace' in text
            assert path.read_bytes() == damaged

    def test_entry_that_contains_a_frame_is_not_corruption(self, tmp_path):
        """Guards against refusing a torn write because of its payload."""
        sizes = write(tmp_path, raft.Ready(entries=entries(1, 3)))
        path = tmp_path / storage.LOG
        inner = path.read_bytes()
        path.unlink()
        (tmp_path / storage.META).unlink()
        sizes = write(
            tmp_path,
            raft.Ready(entries=entries(1, 3)),
            raft.Ready(entries=[entry(4, 1, inner)]),
        )
        path.write_bytes(path.read_bytes()[:-1])
        assert reload(tmp_path).entries == entries(1, 3)
        assert path.stat().st_size == sizes[0]

    def test_nothing_is_written_after_a_failed_sync(
        self, tmp_path, monkeypatch
    ):
        """Guards against acknowledging entries that the disk dropped."""

        def fail(handle):
            raise OSError('no space')

        store = open_storage(tmp_path)
        store.load()
        with monkeypatch.context() as patch:
            patch.setattr(os, 'fdatasync', fail)
            with pytest.raises(errors.StorageError, match='no space'):
                store.persist(raft.Ready(entries=entries(1, 1)))
        with pytest.raises(errors.StorageError, match='not used'):
            store.persist(raft.Ready(entries=entries(1, 1)))
        store.close()

    def test_persist_syncs_before_it_returns(self, tmp_path, monkeypatch):
        """Guards against acknowledging changes that power loss undoes."""
        sizes = []
        sync = os.fdatasync

        def record(handle):
            sync(handle)
            sizes.append(os.fstat(handle).st_size)

        store = open_storage(tmp_path)
        store.load()
        monkeypatch.setattr(os, 'fdatasync', record)
        store.persist(raft.Ready(raft.HardState(3)))
        assert sizes == [(tmp_path / storage.LOG).stat().st_size]
        store.persist(raft.Ready())
        assert len(sizes) == 1
        store.close()


class TestSnapshot:
    @pytest.mark.parametrize(
        ('taken', 'expected'),
        [
            (snapshot(3), entries(4, 5)),
            (snapshot(5), []),
            (snapshot(9), []),
            (snapshot(3, 2), []),
        ],
    )
    def test_crash_at_any_step_keeps_old_or_new_state(
        self, tmp_path, monkeypatch, taken, expected
    ):
        """Guards against a crash that leaves a snapshot without its log."""
        for step in range(100):
            folder = tmp_path / f'{step}'
            write(folder, raft.Ready(raft.HardState(4), entries=entries(1, 5)))
            store = open_storage(folder)
            store.load()
            with monkeypatch.context() as patch:
                crash_at(step, patch)
                try:
                    store.save_snapshot(taken)
                    done = True
                except Crash:
                    done = False
            store.close()
            stored = reload(folder)
            assert stored.hard_state == raft.HardState(4)
            if stored.snapshot is None:
                assert not done
                assert stored.entries == entries(1, 5)
            else:
                assert stored.snapshot == taken
                assert stored.entries == expected
            base = taken.index if stored.snapshot else 0
            following = entry(base + len(stored.entries) + 1)
            write(folder, raft.Ready(entries=[following]))
            assert reload(folder).entries == [*stored.entries, following]
            if done:
                break
        assert step >= 8

    def test_damaged_snapshot_is_refused(self, tmp_path):
        """Guards against loading a corrupt state."""
        write(
            tmp_path,
            raft.Ready(entries=entries(1, 5)),
            raft.Ready(snapshot=snapshot(3)),
        )
        path = tmp_path / storage.SNAPSHOT
        data = bytearray(path.read_bytes())
        data[-1] ^= 1
        for content in (bytes(data), bytes(data[:-1]), None):
            path.unlink()
            if content is not None:
                path.write_bytes(content)
            with pytest.raises(errors.StorageError, match=str(path)):
                reload(tmp_path)
            path.touch()


class TestRestart:
    def run(self, member, store, state, now):
        while ready := member.ready():
            store.persist(ready)
            state.extend(
                item.payload
                for item in ready.committed
                if item.kind == 'command'
            )

    def start(self, folder, now):
        store = open_storage(folder)
        stored = store.load({'a': None})
        state = []
        if stored.snapshot is not None:
            state = stored.snapshot.data.split()
        member = raft.Raft(
            'a',
            stored.disk_id,
            stored,
            raft.RaftConfig(),
            now,
            random.Random(1),
        )
        member.tick(now)
        self.run(member, store, state, now)
        assert member.can_serve_as_leader(now)
        return store, member, state

    def test_state_is_equal_after_changes_and_snapshots(self, tmp_path):
        """Guards against a restart that loses or repeats changes."""
        source = random.Random(5)
        expected = []
        now = 0.0
        for _ in range(30):
            now += 1.0
            store, member, state = self.start(tmp_path, now)
            assert state == expected
            for _ in range(source.randrange(20)):
                text = b'%d' % len(expected)
                member.propose(now, text)
                self.run(member, store, state, now)
                expected.append(text)
                if source.random() < 0.15:
                    member.compact(member.commit_index, b' '.join(state))
                    self.run(member, store, state, now)
            store.close()
        assert len(expected) > 200

    def test_restart_after_10000_changes_takes_under_2_s(
        self, tmp_path, monkeypatch
    ):
        """Guards against a restart that prolongs an outage of a member."""
        monkeypatch.setattr(os, 'fdatasync', lambda handle: None)
        store, member, state = self.start(tmp_path, 0.0)
        for number in range(10000):
            member.propose(0.0, b'{"number": %d, "added": []}' % number)
            self.run(member, store, state, 0.0)
        store.close()
        monkeypatch.undo()
        begun = time.monotonic()
        store, member, again = self.start(tmp_path, 1.0)
        assert time.monotonic() - begun < 2.0
        assert again == state
        store.close()
