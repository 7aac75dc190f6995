"""Case 4: a primary that was replaced becomes the primary again."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness  # noqa: E402

# Times in s of traffic.
CUT_AT, CUT_S = 3.0, 7.0
DARK_AT, DARK_S = 7.5, 7.0
END_AT = 20.0
WRITERS = 10


async def play(deployment: harness.Deployment) -> int:
    """Return whether the rule held."""
    world = deployment.world
    group = world.groups['orders']
    primary = group.servers[0]
    writers = harness.Writers(deployment, 'orders-primary', WRITERS)
    writers.reads = True
    started = time.monotonic()
    if harness.trouble():
        await harness.at(deployment, started, CUT_AT)
        far = [s.name for s in group.servers[1:]]
        for end in ['core', *far, *(n.name for n in deployment.edges[:3])]:
            world.cut(primary.name, end)
        deployment.record(f'cut {primary.name}')
        await harness.at(deployment, started, DARK_AT)
        second = group.present_primary()
        if second is primary:
            raise harness.CaseError('nothing was promoted in time')
        second.dark = True
        deployment.record(f'{second.name} is dark')
        await harness.at(deployment, started, CUT_AT + CUT_S)
        world.cuts.clear()
        deployment.record(f'joined {primary.name}')
        await harness.at(deployment, started, DARK_AT + DARK_S)
        second.dark = False
        deployment.record(f'{second.name} is back')
    await harness.at(deployment, started, END_AT)
    writers.stop()
    await asyncio.sleep(0.1)
    stale = world.stale_reads
    deployment.record(
        f'{len(writers.acknowledged)} writes acknowledged, '
        f'{len(stale)} stale reads'
    )
    if not writers.acknowledged:
        return harness.NOT_RUN
    return harness.BROKEN if stale else harness.HELD


if __name__ == '__main__':
    harness.run_case(__file__, play)
