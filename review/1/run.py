"""Case 1: a change of primary loses commits that only a new replica has."""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness  # noqa: E402

# Times in s of traffic.
FREEZE_AT, FREEZE_S = 3.0, 3.5
NEW_SERVER_AT = 4.0
DRAIN_AT = 4.9
LEAVE_AT = 13.0
END_AT = 16.0
WRITERS = 15


async def play(deployment: harness.Deployment) -> int:
    """Return whether the rule held."""
    group = deployment.world.groups['orders']
    primary = group.servers[0]
    writers = harness.Writers(deployment, 'orders-primary', WRITERS)
    started = time.monotonic()
    await harness.at(deployment, started, FREEZE_AT)
    # The heartbeats' endpoint is the control leader.
    frozen = next(
        n for n in deployment.controls if n.control != primary.endpoint
    )
    if harness.trouble():
        frozen.signal(signal.SIGSTOP)
        deployment.record(f'froze {frozen.name}')
    # The planned replacement of the primary: the new server starts first.
    await harness.at(deployment, started, NEW_SERVER_AT)
    new = deployment.new_server(group, primary.zone)
    new.first_control = deployment.controls.index(frozen)
    await deployment.start_server(new)
    deployment.record(f'new server {new.name}')
    await harness.at(deployment, started, DRAIN_AT)
    primary.drain()
    deployment.record(f'{primary.name} drains')
    await harness.at(deployment, started, FREEZE_AT + FREEZE_S)
    if harness.trouble():
        frozen.signal(signal.SIGCONT)
    await harness.at(deployment, started, LEAVE_AT)
    await primary.leave()
    deployment.record(f'{primary.name} left')
    await harness.at(deployment, started, END_AT)
    writers.stop()
    return await harness.judge_promotions(deployment, writers)


if __name__ == '__main__':
    harness.run_case(__file__, play)
