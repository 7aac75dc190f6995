"""A late departure hides a restarted replica, and its commits are lost."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness  # noqa: E402
import standins  # noqa: E402

WRITERS = 12
# Times in s of traffic. The replica is restarted as planned: it drains for
# drainMs (7 s), sends DELETE, ends, and starts again under its id.
DRAIN_AT, LEAVE_AT, START_AT = 1.0, 8.5, 9.0
# The link between the replica and one core machine is cut from the DELETE on
# for 2.5 s, which holds the DELETE up.
ARRIVES_AT = 11.0
# The other replica receives nothing for 6.5 s; the primary is lost for good.
DEAF_AT, DEAF_S = 12.0, 6.5
CRASH_AT = 13.5
END_AT = 40.0
# LATE=0 plays the same with a DELETE that arrives at once.
LATE = os.environ.get('LATE', '1') != '0'


async def play(deployment: harness.Deployment) -> int:
    """Return whether the rule held."""
    group = deployment.world.groups['orders']
    primary, leaving, other = group.servers
    writers = harness.Writers(deployment, 'orders-primary', WRITERS)
    started = time.monotonic()
    await harness.at(deployment, started, DRAIN_AT)
    leaving.drain()
    deployment.record(f'{leaving.name} drains')
    # The heartbeats' endpoint is the control leader.
    cut_off = next(
        n for n in deployment.controls if n.control != primary.endpoint
    )
    await harness.at(deployment, started, LEAVE_AT)
    end_process(leaving)
    if not (harness.trouble() and LATE):
        await send_delete(deployment, cut_off, leaving)
    await harness.at(deployment, started, START_AT)
    again = standins.Server(
        deployment.world, group, leaving.name, leaving.zone, leaving.address
    )
    group.servers[1] = again
    again.first_control = (deployment.controls.index(cut_off) + 1) % 3
    await deployment.start_server(again)
    deployment.record(f'{again.name} runs again')
    if harness.trouble():
        await harness.at(deployment, started, ARRIVES_AT)
        if LATE:
            await send_delete(deployment, cut_off, leaving)
        await harness.at(deployment, started, DEAF_AT)
        other.deaf = True
        deployment.record(f'{other.name} receives nothing')
        await harness.at(deployment, started, CRASH_AT)
        primary.dark = True
        deployment.record(f'{primary.name} is lost')
        await harness.at(deployment, started, DEAF_AT + DEAF_S)
        other.deaf = False
        deployment.record(f'{other.name} could receive again')
    await harness.at(deployment, started, END_AT)
    writers.stop()
    await asyncio.sleep(0.1)
    return await harness.judge_promotions(deployment, writers)


def end_process(server: standins.Server) -> None:
    """End the process of a server; its log goes with it."""
    server.gone = server.dark = True
    server._listener.close()
    for conn in list(server.connections):
        conn.drop()


async def send_delete(
    deployment: harness.Deployment,
    node: harness.Node,
    server: standins.Server,
) -> None:
    """Let the DELETE of a server arrive at a core machine."""
    status, _ = await standins.call_http(
        node.control, 'DELETE', f'/api/instances/{server.name}', {}
    )
    deployment.record(f'DELETE of {server.name} at {node.name}: {status}')


if __name__ == '__main__':
    harness.run_case(__file__, play)
