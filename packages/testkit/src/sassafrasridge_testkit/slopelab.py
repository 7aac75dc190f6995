"""Stand-ins that renew leases and announce targets for measurements."""

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

TIMING = {'lease': '5s', 'config_ttl': '7s'}
"""Long, so that stand-ins stay live while others are measured."""

IDLE_S = 0.4
REPETITIONS = 3


class CountingFraming(rpc.Framing):
    """Count the bytes of the frames of one client."""

    def __init__(self, secret: bytes) -> None:
        super().__init__(secret)
        self.sent = 0
        self.received = 0

    def frame(self, body: bytes) -> bytes:
        """Return the frame of a marked message."""
        frame = super().frame(body)
        self.sent += len(frame)
        return frame

    async def read_frame_body(self, reader: asyncio.StreamReader) -> bytes:
        """Return the next marked message."""
        body = await super().read_frame_body(reader)
        self.received += 4 + rpc.DIGEST_BYTES + len(body)
        return body


class Holder:
    """An entry process's own renewal code without the data path."""

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
        """Renew once."""
        await self.renewer._renew_once()

    async def join(self) -> 'Holder':
        """Renew until the lease is granted."""
        for _ in range(400):
            await self.renew()
            if self.state.lease_valid():
                return self
            await asyncio.sleep(0.02)
        raise TimeoutError(f'{self.state.name} got no lease')

    def ignore_groups(self) -> None:
        """Observe no target, as a process does that serves no group."""
        state = self.state

        def skip(reply: typing.Any) -> None:
            state.view_revision = reply.view_revision

        state.apply_groups = skip  # type: ignore[method-assign]

    def use_accounts(self, count: int) -> None:
        """Use the first accounts, as requests of their callers do."""
        now = clocks.boottime()
        for number in range(count):
            self.state.bucket(account_name(number)).take(now, 1.0)

    def observe(self, numbers: collections.abc.Iterable[int]) -> None:
        """Learn of targets, three servers per group."""
        for number in numbers:
            self.state.record_announcement(target(number))

    def close(self) -> None:
        """Close the connection."""
        self._client.close()


def account_name(number: int) -> str:
    """Return the name of an account."""
    return f'account-{number:04}'


def target(number: int, role: str = 'replica') -> model.TargetInfo:
    """Return one of three servers of a group; nothing listens there."""
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


def secret_of(folder: pathlib.Path) -> bytes:
    """Return the cluster secret that daemons of a deployment read."""
    return (folder / 'cluster-secret').read_text().strip().encode()


def add_accounts(
    deployment: deployments.Deployment, first: int, count: int
) -> None:
    """Add accounts, each with a key, and no grants."""
    items: list[typing.Any] = []
    for number in range(first, first + count):
        name = account_name(number)
        items += deployments.account(name, name, [])
    for start in range(0, len(items), 800):
        deployment.note(added=items[start : start + 800])


def find_leader(
    deployment: deployments.Deployment,
) -> tuple[deployments.Node, list[deployments.Node]]:
    """Return the control leader and the other members."""

    def ask() -> typing.Any:
        for node in deployment.control.values():
            text = deployment.operator(node).get('/metrics').body
            for line in str(text).splitlines():
                if 'leader' in line and line.endswith(' 1.0'):
                    return node
        return None

    leader = deployments.processes.wait_until(ask, 15.0, 'a leader')
    others = [n for n in deployment.control.values() if n is not leader]
    return leader, others
