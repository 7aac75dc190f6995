"""The validated settings, one class for each section."""


class NodeSettings:
    """Hold section [node].

    ``advertise_rpc`` is the address at which other daemons reach ``rpc``, or
    empty if it is the same. ``cluster_secret`` is the content of
    ``cluster_secret_file``. ``cluster_secret_text`` gives the secret directly
    where no file can be provided.
    """

    __slots__ = (
        'name',
        'zone',
        'region',
        'http',
        'rpc',
        'advertise_rpc',
        'data_folder',
        'roles',
        'cluster_secret_file',
        'cluster_secret_text',
        'cluster_secret',
    )

    name: str
    zone: str
    region: str
    http: str
    rpc: str
    advertise_rpc: str
    data_folder: str
    roles: frozenset[str]
    cluster_secret_file: str
    cluster_secret_text: str
    cluster_secret: bytes


class ControlSettings:
    """Hold section [control].

    ``members`` maps member names to RPC addresses. ``policy`` is the way rates
    are divided: 'adaptive' by demand, 'plain' in equal, constant parts.
    ``seeds`` are HTTP addresses of some members; if there are any, the
    membership changes without an operator and must tolerate ``tolerated``
    simultaneous losses of members. ``exclusive_names`` means that the
    deployment never runs two processes of the same name at a time.
    """

    __slots__ = (
        'members',
        'bootstrap',
        'policy',
        'seeds',
        'tolerated',
        'exclusive_names',
    )

    members: dict[str, str]
    bootstrap: bool
    policy: str
    seeds: list[str]
    tolerated: int
    exclusive_names: bool


class EntrySettings:
    """Hold section [entry].

    ``control`` maps availability zones to RPC addresses. ``max_body`` and
    ``memory`` (0 if unknown) are in bytes, ``max_wait`` and ``drain_timeout``
    in seconds. ``seeds`` are HTTP addresses of some control members, for
    deployments whose membership changes without an operator. ``sessions`` is
    the address that serves sessions, or empty for none. With ``policy``
    'plain', requests are served first in, first out, and all reads go to the
    primary. ``target_limits`` is 'learned' if the number of statements at a
    target and the choice of the target of a read follow from measured times,
    else 'fixed'.
    """

    __slots__ = (
        'control',
        'worker_threads',
        'max_connections',
        'memory',
        'max_body',
        'max_queue',
        'max_wait',
        'drain_timeout',
        'policy',
        'seeds',
        'sessions',
        'target_limits',
    )

    control: dict[str, list[str]]
    worker_threads: int
    max_connections: int
    memory: int
    max_body: int
    max_queue: int
    max_wait: float
    drain_timeout: float
    policy: str
    seeds: list[str]
    sessions: str
    target_limits: str


class TargetSettings:
    """Hold section [targets]; the digest is empty if none is set."""

    __slots__ = ('announce_token_digest',)

    announce_token_digest: str


class TimingSettings:
    """Hold section [timing], in seconds.

    ``log_heartbeat`` is the heartbeat interval of the control leader. An
    election begins after five to ten missed heartbeats.
    """

    __slots__ = (
        'renew_interval',
        'lease',
        'config_ttl',
        'suspect_after',
        'log_heartbeat',
    )

    renew_interval: float
    lease: float
    config_ttl: float
    suspect_after: float
    log_heartbeat: float


class LogSettings:
    """Hold section [log].

    An empty ``file`` means standard error, ``-`` means standard output.
    """

    __slots__ = ('file', 'level')

    file: str
    level: str


class Settings:
    """Hold validated settings.

    ``operators`` maps names to token digests, ``regions`` maps zones to their
    regions.
    """

    __slots__ = (
        'node',
        'control',
        'entry',
        'operators',
        'regions',
        'targets',
        'timing',
        'log',
    )

    def __init__(self) -> None:
        self.node = NodeSettings()
        self.control: ControlSettings | None = None
        self.entry: EntrySettings | None = None
        self.operators: dict[str, str] = {}
        self.regions: dict[str, str] = {}
        self.targets = TargetSettings()
        self.timing = TimingSettings()
        self.log = LogSettings()
