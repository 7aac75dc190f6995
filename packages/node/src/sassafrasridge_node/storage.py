"""Files of a control member: disk id, log and snapshot in one data folder.

The log is a file of frames; each call of ``persist`` appends one frame and
syncs it. A frame is a marker, a length, a checksum and items: the position at
which the log begins, terms and votes, truncations and entries. The checksum
is seeded with the frame's offset, so bytes inside an entry never pass for a
frame. A frame is written only after the one before it is synced, so an
unreadable frame is a torn write when no readable one follows, and damage
otherwise.
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

META = 'meta'
LOG = 'log'
SNAPSHOT = 'snapshot'
LOCK = 'lock'
_TEMPORARY = '.tmp'
_MARKER = b'SRF1'
_FRAME = struct.Struct('>4sIQ')
_ITEM = struct.Struct('>BQQI')
_BASE, _HARD, _TRUNCATE = 0, 1, 2
_ENTRY_CODES = {raftlog.COMMAND: 3, raftlog.MEMBERS: 4, raftlog.NOOP: 5}
_ENTRY_KINDS = {code: kind for kind, code in _ENTRY_CODES.items()}


def _frame(body: bytes, offset: int) -> bytes:
    checksum = xxhash.xxh64_intdigest(body, seed=offset)
    return _FRAME.pack(_MARKER, len(body), checksum) + body


def _read_frame(data: bytes, offset: int, seed: int) -> bytes | None:
    """Return the body of the frame at ``offset``, None if it is unreadable."""
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


def _item(code: int, first: int, second: int, blob: bytes = b'') -> bytes:
    return _ITEM.pack(code, first, second, len(blob)) + blob


def _entry_item(entry: raftlog.Entry) -> bytes:
    code = _ENTRY_CODES[entry.kind]
    return _item(code, entry.index, entry.term, entry.payload)


class _Contents:
    """Collect what the frames of a log say."""

    __slots__ = ('base', 'hard_state', 'entries', 'size')

    def __init__(self) -> None:
        self.base: tuple[int, int] | None = None
        self.hard_state = raftlog.HardState()
        self.entries: list[raftlog.Entry] = []
        self.size = 0

    def read(self, body: bytes) -> None:
        """Apply the items of one frame; raise ValueError when impossible."""
        position = 0
        while position < len(body):
            try:
                code, first, second, size = _ITEM.unpack_from(body, position)
            except struct.error:
                raise ValueError('an item is cut off')
            position += _ITEM.size + size
            self._apply(code, first, second, body[position - size : position])

    def _apply(self, code: int, first: int, second: int, blob: bytes) -> None:
        if code == _BASE:
            self.base = (first, second)
        elif self.base is None:
            raise ValueError('the log does not say where it begins')
        elif code == _HARD:
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
            raise ValueError(f'{code} is not a kind of item')

    def after(self, snapshot: raftlog.Snapshot) -> list[raftlog.Entry]:
        """Return the entries that continue the snapshot."""
        assert self.base is not None
        place = (snapshot.index, snapshot.term)
        if self.base == place:
            return self.entries
        offset = snapshot.index - self.base[0]
        if offset < 1 or offset > len(self.entries):
            return []
        found = self.entries[offset - 1]
        # A snapshot of the leader may replace entries of another leader.
        return self.entries[offset:] if found.term == snapshot.term else []


class Storage:
    """Keep the state of one control member in a data folder.

    ``new_disk_id`` is called once, when the folder is first used. Every
    method raises StorageError; after an error in writing no method works
    again, because the contents of the disk are unknown then.
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
        """Return the id of this disk; it is known after ``load``."""
        return self._disk_id

    def load(
        self, members: raftmembers.Bootstrap | None = None
    ) -> raft.Stored:
        """Return what is persisted; prepare the folder on first use.

        ``members`` is recorded on first use and ignored later, see
        ``raft.Stored.empty``.
        """
        try:
            return self._load(members or {})
        except OSError as exc:
            raise errors.StorageError(
                f'{self._folder} cannot be read: {exc}',
                remedy='Check the disk and the permissions of the folder.',
            )

    def persist(self, ready: raft.Ready) -> None:
        """Make the state in ``ready`` durable before it returns."""
        if not ready.must_persist():
            return
        items = []
        if ready.hard_state is not None:
            self._hard_state = ready.hard_state
            items.append(self._hard_item())
        if ready.snapshot is not None:
            if items:
                self._append(items)
                items = []
            self.save_snapshot(ready.snapshot)
        if ready.truncate_from is not None:
            items.append(_item(_TRUNCATE, ready.truncate_from, 0))
        items.extend(_entry_item(entry) for entry in ready.entries)
        if items:
            self._append(items)

    def save_snapshot(self, snapshot: raftlog.Snapshot) -> None:
        """Save a snapshot, then cut the log that it covers."""
        head = orjson.dumps(
            {
                'index': snapshot.index,
                'term': snapshot.term,
                'members': raftmembers.encode(snapshot.members).decode(),
            }
        )
        body = struct.pack('>I', len(head)) + head + snapshot.data
        self._replace(SNAPSHOT, _frame(body, 0))
        self._cut(snapshot, self._scan())

    def close(self) -> None:
        """Release the files."""
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

    def _damage(
        self, name: str, offset: int, problem: object
    ) -> errors.StorageError:
        path = self._folder / name
        return errors.StorageError(f'{path} at offset {offset}: {problem}')

    def _load(self, members: raftmembers.Bootstrap) -> raft.Stored:
        for path in self._folder.glob('*' + _TEMPORARY):
            path.unlink()
        if not (self._folder / META).exists():
            self._prepare(members)
        stored = self._read_meta()
        snapshot = self._read_snapshot()
        contents = self._scan()
        self._hard_state = stored.hard_state = contents.hard_state
        stored.snapshot = snapshot
        stored.entries = contents.entries
        if snapshot is not None:
            if contents.base != (snapshot.index, snapshot.term):
                self._check_base(contents, snapshot)
                # The process stopped between saving the snapshot and
                # cutting the log.
                self._cut(snapshot, contents)
            stored.entries = contents.after(snapshot)
        elif contents.base != (0, 0):
            raise self._damage(SNAPSHOT, 0, 'the file is missing')
        if self._log is None:
            self._open_log(contents.size)
        return stored

    # First use

    def _prepare(self, members: raftmembers.Bootstrap) -> None:
        if (self._folder / SNAPSHOT).exists():
            raise self._damage(META, 0, 'the file is missing')
        if (self._folder / LOG).exists() and self._scan().entries:
            raise self._damage(META, 0, 'the file is missing')
        base = _item(_BASE, 0, 0)
        self._replace(LOG, _frame(base, 0))
        meta = orjson.dumps(
            {
                'disk_id': self._new_disk_id(),
                'members': raftmembers.encode(
                    raftmembers.bootstrap(members)
                ).decode(),
            }
        )
        # Written last: its presence says that the folder is prepared.
        self._replace(META, _frame(meta, 0))
        self._sync_folder(self._folder.parent)

    def _read_meta(self) -> raft.Stored:
        body = self._read_whole(META)
        try:
            meta = orjson.loads(body)
            self._disk_id = str(meta['disk_id'])
            members = raftmembers.decode(meta['members'])
        except (ValueError, KeyError, errors.BadRequestError) as exc:
            raise self._damage(META, 0, exc)
        return raft.Stored(self._disk_id, members)

    # Snapshot

    def _read_snapshot(self) -> raftlog.Snapshot | None:
        if not (self._folder / SNAPSHOT).exists():
            return None
        body = self._read_whole(SNAPSHOT)
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
            raise self._damage(SNAPSHOT, 0, exc)

    def _check_base(
        self, contents: _Contents, snapshot: raftlog.Snapshot
    ) -> None:
        assert contents.base is not None
        if contents.base[0] >= snapshot.index:
            raise self._damage(
                SNAPSHOT,
                0,
                f'it ends at entry {snapshot.index}, but the log begins after '
                f'entry {contents.base[0]}',
            )

    def _read_whole(self, name: str) -> bytes:
        data = self._read(name)
        body = _read_frame(data, 0, 0)
        if body is None or len(data) != _FRAME.size + len(body):
            raise self._damage(name, 0, 'the checksum does not match')
        return body

    # Log

    def _read(self, name: str) -> bytes:
        try:
            return (self._folder / name).read_bytes()
        except OSError as exc:
            raise self._damage(name, 0, exc)

    def _scan(self) -> _Contents:
        data = self._read(LOG)
        contents = _Contents()
        while contents.size < len(data):
            offset = contents.size
            body = _read_frame(data, offset, offset)
            if body is None:
                self._check_torn(data, offset)
                break
            try:
                contents.read(body)
            except ValueError as exc:
                raise self._damage(LOG, offset, exc)
            contents.size += _FRAME.size + len(body)
        if contents.base is None:
            raise self._damage(LOG, 0, 'the log has no beginning')
        return contents

    def _check_torn(self, data: bytes, offset: int) -> None:
        """Raise StorageError unless the rest of the log is a torn write."""
        found = data.find(_MARKER, offset + 1)
        while found >= 0:
            if _read_frame(data, found, found) is not None:
                raise self._damage(LOG, offset, 'the checksum does not match')
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
            raise self._fail(LOG, exc)
        self._size = size

    def _cut(self, snapshot: raftlog.Snapshot, contents: _Contents) -> None:
        """Begin the log anew after the snapshot."""
        items = [
            _item(_BASE, snapshot.index, snapshot.term),
            self._hard_item(),
            *(_entry_item(entry) for entry in contents.after(snapshot)),
        ]
        frame = _frame(b''.join(items), 0)
        self._replace(LOG, frame)
        self._open_log(len(frame))

    def _hard_item(self) -> bytes:
        state = self._hard_state
        return _item(_HARD, state.term, 0, state.vote.encode())

    def _append(self, items: list[bytes]) -> None:
        self._check_usable()
        if self._log is None:
            raise errors.StorageError(f'{self._folder} is not loaded')
        frame = _frame(b''.join(items), self._size)
        try:
            _write(self._log, frame)
            os.fdatasync(self._log)
        except OSError as exc:
            raise self._fail(LOG, exc)
        self._size += len(frame)

    def _replace(self, name: str, data: bytes) -> None:
        """Write a file so that a crash leaves the old or the new one."""
        self._check_usable()
        path = self._folder / name
        temporary = self._folder / (name + _TEMPORARY)
        try:
            handle = os.open(
                temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600
            )
            try:
                _write(handle, data)
                os.fdatasync(handle)
            finally:
                os.close(handle)
            os.replace(temporary, path)
            self._sync_folder(self._folder)
        except OSError as exc:
            raise self._fail(name, exc)

    def _sync_folder(self, folder: pathlib.Path) -> None:
        handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def _check_usable(self) -> None:
        if self._failed:
            raise errors.StorageError(
                f'{self._folder} is not used after an error in writing',
                remedy='Check the disk, then restart the process.',
            )

    def _fail(self, name: str, exc: OSError) -> errors.StorageError:
        self._failed = True
        return errors.StorageError(
            f'{self._folder / name} cannot be written: {exc}',
            remedy='Check the disk, then restart the process.',
        )


def _write(handle: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(handle, view) :]
