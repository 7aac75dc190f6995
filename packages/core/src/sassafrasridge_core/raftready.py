"""What a member has persisted, and what it asks its caller to do."""

import dataclasses

from sassafrasridge_core import errors
from sassafrasridge_core import raftlog
from sassafrasridge_core import raftmembers
from sassafrasridge_core import raftmessages


class NotLeaderError(errors.UnavailableError):
    """Report a proposal to a member that is not the leader.

    ``leader`` is the name of the leader, None when it isn't known.
    """

    kind = 'not_leader'
    remedy = 'Send it to the leader, or again after an election.'

    def __init__(self, leader: str | None) -> None:
        super().__init__(f'the leader is {leader or "unknown"}')
        self.leader = leader


@dataclasses.dataclass(slots=True)
class Stored:
    """Hold what a member has persisted.

    ``members`` is the membership at the first start; a snapshot or an entry
    of kind 'members' replaces it.
    """

    disk_id: str = ''
    members: raftmembers.Members = dataclasses.field(default_factory=dict)
    hard_state: raftlog.HardState = raftlog.HardState()
    snapshot: raftlog.Snapshot | None = None
    entries: list[raftlog.Entry] = dataclasses.field(default_factory=list)

    @classmethod
    def empty(
        cls, members: raftmembers.Bootstrap, disk_id: str = ''
    ) -> 'Stored':
        """Return the state for the first start of a cluster.

        ``members`` maps names to disk ids, or to None when not known yet; all
        members must then take part in the first election. It is empty for a
        member that joins later.
        """
        return cls(disk_id, raftmembers.bootstrap(members))


@dataclasses.dataclass(slots=True)
class Ready:
    """List what to persist, then what to send and to apply.

    ``truncate_from`` is the first index of persisted entries to drop.
    ``restore`` says that ``snapshot`` came from the leader and replaces the
    caller's state before ``committed`` is applied.
    """

    hard_state: raftlog.HardState | None = None
    snapshot: raftlog.Snapshot | None = None
    restore: bool = False
    truncate_from: int | None = None
    entries: list[raftlog.Entry] = dataclasses.field(default_factory=list)
    messages: list[raftmessages.Message] = dataclasses.field(
        default_factory=list
    )
    committed: list[raftlog.Entry] = dataclasses.field(default_factory=list)

    def must_persist(self) -> bool:
        """Tell whether anything is to be persisted."""
        return bool(
            self.hard_state
            or self.snapshot
            or self.entries
            or self.truncate_from is not None
        )

    def __bool__(self) -> bool:
        return bool(self.must_persist() or self.messages or self.committed)
