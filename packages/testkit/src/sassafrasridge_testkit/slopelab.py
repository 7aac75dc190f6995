"""Simulated entry processes and other helpers for cost measurements."""

import asyncio
import collections.abc
import pathlib
import typing

from sassafrasridge_core import leases
from sassafrasridge_core import model
from sassafrasridge_node import clocks
from sassafrasridge_node import connections
from sassafrasridge_node import entry
from sassafrasridge_node import metrics
from sassafrasridge_node import renewal
from sassafrasridge_node import rpc
from sassafrasridge_testkit import deployments

# Long enough that simulated entry processes keep their leases while others
# are measured.
LONG_LEASE_SETTINGS = {'lease': '5s', 'config_ttl': '7s'}

IDLE_SAMPLE_S = 0.4
REPETITIONS = 3


class CountingFraming(rpc.Framing):
    """Count the bytes of frames that one client sends and receives."""

    def __init__(self, secret: bytes) -> None:
        super().__init__(secret)
        self.sent_bytes = 0
        self.received_bytes = 0

    def frame(self, body: bytes) -> bytes:
        """Return the frame of a marked message."""
        frame = super().frame(body)
        self.sent_bytes += len(frame)
        return frame

    async def read_frame_body(self, reader: asyncio.StreamReader) -> bytes:
        """Return the next marked message."""
        body = await super().read_frame_body(reader)
        self.received_bytes += 4 + rpc.DIGEST_BYTES + len(body)
        return body


class LeaseClient:
    """Run the renewal code of an entry process without its data path."""

    def __init__(self, name: str, address: str, secret: bytes) -> None:
        times = leases.LeaseTimes(0.3, 5.0, 7.0)
        self.state = entry.EntryState(
            name, 'z1', times, connections.Dialer(), metrics.Metrics()
        )
        pool = rpc.ClientPool(rpc.idl.Control, secret)
        self._client = pool.get(address)
        self.framing = CountingFraming(secret)
        self._client._framing = self.framing
        self.renewer = renewal.LeaseRenewer(
            self.state, pool, [address], 1, '127.0.0.1:9'
        )

    async def renew(self) -> None:
        """Send one lease renewal."""
        await self.renewer._renew_once()

    async def acquire_lease(self) -> 'LeaseClient':
        """Renew until the lease is granted.

        Raises TimeoutError after 400 attempts.
        """
        for _ in range(400):
            await self.renew()
            if self.state.lease_valid():
                return self
            await asyncio.sleep(0.02)
        raise TimeoutError(f'no lease granted to {self.state.name}')

    def ignore_groups(self) -> None:
        """Ignore group views, like a process that serves no group."""
        state = self.state

        def store_revision(reply: typing.Any) -> None:
            state.view_revision = reply.view_revision

        state.apply_groups = store_revision  # type: ignore[method-assign]

    def use_accounts(self, count: int) -> None:
        """Take a token of the first accounts, as requests of callers do."""
        now = clocks.boottime()
        for number in range(count):
            self.state.bucket(account_name(number)).take(now, 1.0)

    def announce_targets(
        self, target_numbers: collections.abc.Iterable[int]
    ) -> None:
        """Announce targets to this process, three servers per group."""
        for number in target_numbers:
            self.state.record_announcement(target_info(number))

    def close(self) -> None:
        """Close the connection to the control member."""
        self._client.close()


def account_name(number: int) -> str:
    """Return the name of the client account with a number."""
    return f'account-{number:04}'


def target_info(number: int, role: str = 'replica') -> model.TargetInfo:
    """Return one of three servers of a group, at an unused address."""
    group = f'group-{number // 3:04}'
    return model.TargetInfo(
        f'{group}-{number % 3}',
        group,
        f'z{number % 3}',
        f'127.0.0.1:{10_000 + number}',
        role,
        1,
        100,
        5,
        30,
    )


def cluster_secret(folder: pathlib.Path) -> bytes:
    """Return the cluster secret of the deployment in a folder."""
    return (folder / 'cluster-secret').read_text().strip().encode()


def add_accounts(
    deployment: deployments.Deployment, first: int, count: int
) -> None:
    """Add client accounts, each with one key and no grants."""
    items: list[typing.Any] = []
    for number in range(first, first + count):
        name = account_name(number)
        items += deployments.account(name, name, [])
    for start in range(0, len(items), 800):
        deployment.note(added=items[start : start + 800])


def find_leader(
    deployment: deployments.Deployment,
) -> tuple[deployments.Node, list[deployments.Node]]:
    """Return the control leader and the other control members."""

    def poll() -> typing.Any:
        for node in deployment.control.values():
            text = deployment.operator(node).get('/metrics').body
            for line in str(text).splitlines():
                if 'leader' in line and line.endswith(' 1.0'):
                    return node
        return None

    leader = deployments.processes.wait_until(poll, 15.0, 'a leader')
    others = [n for n in deployment.control.values() if n is not leader]
    return leader, others
