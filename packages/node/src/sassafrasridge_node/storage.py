"""Files of a control member: disk id, log and snapshot in one data folder.

The log is a file of frames; each call of ``persist`` appends frames and syncs
them. A frame is a marker, a length, a checksum and items. Items hold the
position at which the log begins, term and vote, truncations and entries. The
checksum is seeded with the frame's offset, so that bytes inside an entry are
never taken for a frame. A frame is written only after the previous one is
synced. So an unreadable frame is a torn write if no readable frame follows,
and corruption otherwise.
"""

import collections.abc
import fcntl
import os
import pathlib
import struct

import orjson
import xxhash

from sassafrasridge_core import errors
from sassafrasridge_core import raft
from sassafrasridge_core import raftlog
from sassafrasridge_core import raftmembers

# Names of the files in the data folder.
META = 'meta'
LOG = 'log'
SNAPSHOT = 'snapshot'
LOCK = 'lock'
_TEMPORARY_SUFFIX = '.tmp'
_MARKER = b'SRF1'
# Frame header: marker, length of the body, checksum of the body.
_FRAME = struct.Struct('>4sIQ')
# Item header: code, two numbers whose meaning depends on the code, length of
# the data that follows.
_ITEM = struct.Struct('>BQQI')
# Codes of items.
_BASE, _HARD_STATE, _TRUNCATE = 0, 1, 2
_ENTRY_CODES = {raftlog.COMMAND: 3, raftlog.MEMBERS: 4, raftlog.NOOP: 5}
_ENTRY_KINDS = {code: kind for kind, code in _ENTRY_CODES.items()}


def _encode_frame(body: bytes, offset: int) -> bytes:
    checksum = xxhash.xxh64_intdigest(body, seed=offset)
    return _FRAME.pack(_MARKER, len(body), checksum) + body


def _decode_frame(data: bytes, offset: int, seed: int) -> bytes | None:
    """Return the body of the frame at ``offset``, None if it is invalid."""
    if len(data) - offset < _FRAME.size:
        return None
    marker, length, checksum = _FRAME.unpack_from(data, offset)
    start = offset + _FRAME.size
    if marker != _MARKER or start + length > len(data):
        return None
    body = data[start : start + length]
    if xxhash.xxh64_intdigest(body, seed=seed) != checksum:
        return None
    return body


def _encode_item(
    code: int, first: int, second: int, blob: bytes = b''
) -> bytes:
    return _ITEM.pack(code, first, second, len(blob)) + blob


def _encode_entry(entry: raftlog.Entry) -> bytes:
    code = _ENTRY_CODES[entry.kind]
    return _encode_item(code, entry.index, entry.term, entry.payload)


class _LogContents:
    """Hold the state that results from replaying the frames of a log."""

    __slots__ = ('base', 'hard_state', 'entries', 'size')

    def __init__(self) -> None:
        self.base: tuple[int, int] | None = None
        self.hard_state = raftlog.HardState()
        self.entries: list[raftlog.Entry] = []
        self.size = 0

    def apply_frame(self, body: bytes) -> None:
        """Apply the items of one frame; raise ValueError if one is invalid."""
        position = 0
        while position < len(body):
            try:
                code, first, second, size = _ITEM.unpack_from(body, position)
            except struct.error:
                raise ValueError('an item is truncated')
            position += _ITEM.size + size
            self._apply_item(
                code, first, second, body[position - size : position]
            )

    def _apply_item(
        self, code: int, first: int, second: int, blob: bytes
    ) -> None:
        if code == _BASE:
            self.base = (first, second)
        elif self.base is None:
            raise ValueError(
                'the first item is not the base position of the log'
            )
        elif code == _HARD_STATE:
            self.hard_state = raftlog.HardState(first, blob.decode())
        elif code == _TRUNCATE:
            del self.entries[max(first - self.base[0] - 1, 0) :]
        elif code in _ENTRY_KINDS:
            if first != self.base[0] + len(self.entries) + 1:
                raise ValueError(f'entry {first} is out of sequence')
            self.entries.append(
                raftlog.Entry(first, second, _ENTRY_KINDS[code], blob)
            )
        else:
            raise ValueError(f'item code {code} is unknown')

    def entries_after(self, snapshot: raftlog.Snapshot) -> list[raftlog.Entry]:
        """Return the entries that follow the snapshot."""
        assert self.base is not None
        snapshot_position = (snapshot.index, snapshot.term)
        if self.base == snapshot_position:
            return self.entries
        offset = snapshot.index - self.base[0]
        if offset < 1 or offset > len(self.entries):
            return []
        found = self.entries[offset - 1]
        # A snapshot from the leader may replace conflicting entries of an
        # earlier leader; then no entry of the log continues it.
        return self.entries[offset:] if found.term == snapshot.term else []


class Storage:
    """Persist the state of one control member in a data folder.

    ``new_disk_id`` is called once, when the folder is first used. Methods
    raise StorageError. After a write error all further writes are refused,
    because the contents of the disk are unknown then.
    """

    def __init__(
        self,
        folder: str | os.PathLike[str],
        new_disk_id: collections.abc.Callable[[], str],
    ) -> None:
        self._folder = pathlib.Path(folder)
        self._new_disk_id = new_disk_id
        self._disk_id = ''
        self._hard_state = raftlog.HardState()
        self._log: int | None = None
        self._size = 0
        self._failed = False
        self._lock = self._take_lock()

    @property
    def disk_id(self) -> str:
        """Return the id of this disk; empty before ``load``."""
        return self._disk_id

    def load(
        self, members: raftmembers.Bootstrap | None = None
    ) -> raft.Stored:
        """Return the persisted state; initialise the folder on first use.

        ``members`` is recorded on first use and ignored afterwards, see
        ``raft.Stored.empty``. Raises StorageError if a file is missing,
        damaged or can't be read.
        """
        try:
            return self._load(members or {})
        except OSError as exc:
            raise errors.StorageError(
                f'{self._folder} cannot be read: {exc}',
                remedy='Check the disk and the permissions of the folder.',
            )

    def persist(self, ready: raft.Ready) -> None:
        """Write and sync the state in ``ready``; return when it is durable."""
        if not ready.must_persist():
            return
        items = []
        if ready.hard_state is not None:
            self._hard_state = ready.hard_state
            items.append(self._encode_hard_state())
        if ready.snapshot is not None:
            if items:
                self._append_frame(items)
                items = []
            self.save_snapshot(ready.snapshot)
        if ready.truncate_from is not None:
            items.append(_encode_item(_TRUNCATE, ready.truncate_from, 0))
        items.extend(_encode_entry(entry) for entry in ready.entries)
        if items:
            self._append_frame(items)

    def check_writable(self) -> None:
        """Write and sync the current term and vote; raise StorageError."""
        self._append_frame([self._encode_hard_state()])

    def save_snapshot(self, snapshot: raftlog.Snapshot) -> None:
        """Save a snapshot, then drop the log entries that it covers."""
        head = orjson.dumps(
            {
                'index': snapshot.index,
                'term': snapshot.term,
                'members': raftmembers.encode(snapshot.members).decode(),
            }
        )
        body = struct.pack('>I', len(head)) + head + snapshot.data
        self._replace_file(SNAPSHOT, _encode_frame(body, 0))
        self._compact_log(snapshot, self._scan_log())

    def close(self) -> None:
        """Close the files and release the lock of the folder."""
        if self._log is not None:
            os.close(self._log)
            self._log = None
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def _take_lock(self) -> int:
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            handle = os.open(
                self._folder / LOCK, os.O_RDWR | os.O_CREAT, 0o600
            )
        except OSError as exc:
            raise errors.StorageError(
                f'{self._folder} cannot be opened: {exc}',
                remedy='Check the path and the permissions of the folder.',
            )
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(handle)
            raise errors.StorageError(
                f'{self._folder} is used by another process',
                remedy='Stop the other process, or use another data folder.',
            )
        return handle

    def _damage_error(
        self, name: str, offset: int, problem: object
    ) -> errors.StorageError:
        """Return the error to raise for an invalid or missing file."""
        path = self._folder / name
        return errors.StorageError(f'{path} at offset {offset}: {problem}')

    def _load(self, members: raftmembers.Bootstrap) -> raft.Stored:
        for path in self._folder.glob('*' + _TEMPORARY_SUFFIX):
            path.unlink()
        if not (self._folder / META).exists():
            self._initialise_folder(members)
        stored = self._read_meta()
        snapshot = self._read_snapshot()
        contents = self._scan_log()
        self._hard_state = stored.hard_state = contents.hard_state
        stored.snapshot = snapshot
        stored.entries = contents.entries
        if snapshot is not None:
            if contents.base != (snapshot.index, snapshot.term):
                self._check_base(contents, snapshot)
                # The process stopped after it saved the snapshot and before
                # it compacted the log.
                self._compact_log(snapshot, contents)
            stored.entries = contents.entries_after(snapshot)
        elif contents.base != (0, 0):
            raise self._damage_error(SNAPSHOT, 0, 'the file is missing')
        if self._log is None:
            self._open_log(contents.size)
        return stored

    # Initialisation

    def _initialise_folder(self, members: raftmembers.Bootstrap) -> None:
        if (self._folder / SNAPSHOT).exists():
            raise self._damage_error(META, 0, 'the file is missing')
        if (self._folder / LOG).exists() and self._scan_log().entries:
            raise self._damage_error(META, 0, 'the file is missing')
        base = _encode_item(_BASE, 0, 0)
        self._replace_file(LOG, _encode_frame(base, 0))
        meta = orjson.dumps(
            {
                'disk_id': self._new_disk_id(),
                'members': raftmembers.encode(
                    raftmembers.bootstrap(members)
                ).decode(),
            }
        )
        # Written last: its presence marks the folder as initialised.
        self._replace_file(META, _encode_frame(meta, 0))
        self._sync_folder(self._folder.parent)

    def _read_meta(self) -> raft.Stored:
        body = self._read_framed_file(META)
        try:
            meta = orjson.loads(body)
            self._disk_id = str(meta['disk_id'])
            members = raftmembers.decode(meta['members'])
        except (ValueError, KeyError, errors.BadRequestError) as exc:
            raise self._damage_error(META, 0, exc)
        return raft.Stored(self._disk_id, members)

    # Snapshot

    def _read_snapshot(self) -> raftlog.Snapshot | None:
        if not (self._folder / SNAPSHOT).exists():
            return None
        body = self._read_framed_file(SNAPSHOT)
        try:
            (length,) = struct.unpack_from('>I', body)
            head = orjson.loads(body[4 : 4 + length])
            return raftlog.Snapshot(
                head['index'],
                head['term'],
                raftmembers.decode(head['members']),
                body[4 + length :],
            )
        except (
            struct.error,
            ValueError,
            KeyError,
            errors.BadRequestError,
        ) as exc:
            raise self._damage_error(SNAPSHOT, 0, exc)

    def _check_base(
        self, contents: _LogContents, snapshot: raftlog.Snapshot
    ) -> None:
        assert contents.base is not None
        if contents.base[0] >= snapshot.index:
            raise self._damage_error(
                SNAPSHOT,
                0,
                f'it ends at entry {snapshot.index}, but the log begins after '
                f'entry {contents.base[0]}',
            )

    def _read_framed_file(self, name: str) -> bytes:
        data = self._read_file(name)
        body = _decode_frame(data, 0, 0)
        if body is None or len(data) != _FRAME.size + len(body):
            raise self._damage_error(name, 0, 'the checksum does not match')
        return body

    # Log

    def _read_file(self, name: str) -> bytes:
        try:
            return (self._folder / name).read_bytes()
        except OSError as exc:
            raise self._damage_error(name, 0, exc)

    def _scan_log(self) -> _LogContents:
        data = self._read_file(LOG)
        contents = _LogContents()
        while contents.size < len(data):
            offset = contents.size
            body = _decode_frame(data, offset, offset)
            if body is None:
                self._require_torn_write(data, offset)
                break
            try:
                contents.apply_frame(body)
            except ValueError as exc:
                raise self._damage_error(LOG, offset, exc)
            contents.size += _FRAME.size + len(body)
        if contents.base is None:
            raise self._damage_error(LOG, 0, 'the base position is missing')
        return contents

    def _require_torn_write(self, data: bytes, offset: int) -> None:
        """Raise StorageError if a valid frame follows the invalid one."""
        found = data.find(_MARKER, offset + 1)
        while found >= 0:
            if _decode_frame(data, found, found) is not None:
                raise self._damage_error(
                    LOG, offset, 'the checksum does not match'
                )
            found = data.find(_MARKER, found + 1)

    def _open_log(self, size: int) -> None:
        try:
            if self._log is not None:
                os.close(self._log)
            self._log = os.open(self._folder / LOG, os.O_RDWR)
            if os.fstat(self._log).st_size > size:
                os.ftruncate(self._log, size)
                os.fdatasync(self._log)
            os.lseek(self._log, size, os.SEEK_SET)
        except OSError as exc:
            raise self._write_failure(LOG, exc)
        self._size = size

    def _compact_log(
        self, snapshot: raftlog.Snapshot, contents: _LogContents
    ) -> None:
        """Replace the log by one that begins after the snapshot."""
        items = [
            _encode_item(_BASE, snapshot.index, snapshot.term),
            self._encode_hard_state(),
            *(
                _encode_entry(entry)
                for entry in contents.entries_after(snapshot)
            ),
        ]
        frame = _encode_frame(b''.join(items), 0)
        self._replace_file(LOG, frame)
        self._open_log(len(frame))

    def _encode_hard_state(self) -> bytes:
        state = self._hard_state
        return _encode_item(_HARD_STATE, state.term, 0, state.vote.encode())

    def _append_frame(self, items: list[bytes]) -> None:
        self._check_usable()
        if self._log is None:
            raise errors.StorageError(f'{self._folder} is not loaded')
        frame = _encode_frame(b''.join(items), self._size)
        try:
            _write_all(self._log, frame)
            os.fdatasync(self._log)
        except OSError as exc:
            raise self._write_failure(LOG, exc)
        self._size += len(frame)

    def _replace_file(self, name: str, data: bytes) -> None:
        """Replace a file atomically: a crash leaves the old or the new one."""
        self._check_usable()
        path = self._folder / name
        temporary = self._folder / (name + _TEMPORARY_SUFFIX)
        try:
            handle = os.open(
                temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600
            )
            try:
                _write_all(handle, data)
                os.fdatasync(handle)
            finally:
                os.close(handle)
            os.replace(temporary, path)
            self._sync_folder(self._folder)
        except OSError as exc:
            raise self._write_failure(name, exc)

    def _sync_folder(self, folder: pathlib.Path) -> None:
        handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def _check_usable(self) -> None:
        if self._failed:
            raise errors.StorageError(
                f'{self._folder} is not used after a write error',
                remedy='Check the disk, then restart the process.',
            )

    def _write_failure(self, name: str, exc: OSError) -> errors.StorageError:
        """Refuse all further writes, and return the error to raise."""
        self._failed = True
        return errors.StorageError(
            f'{self._folder / name} cannot be written: {exc}',
            remedy='Check the disk, then restart the process.',
        )


def _write_all(handle: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(handle, view) :]
