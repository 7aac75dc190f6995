"""A promotion loses a commit that was on its way beside others."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness  # noqa: E402

SERVICES = ('orders', 'stock', 'wages')
WRITERS = 12
# Start of the release of each service's primary, in s of traffic.
STARTS = (3.0, 12.0, 21.0)
# Times in s after that. srv_cut lasts 5 s, from the start of the new server
# on; the primary goes dark for 7 s.
CRASH_AFTER, CRASH_S = 1.0, 7.0
CUT_S = 5.0
# Without the disruption, the primary leaves as planned instead.
DRAIN_AFTER, LEAVE_AFTER = 1.5, 8.5
END_AT = 31.0


async def play(deployment: harness.Deployment) -> int:
    """Return whether the rule held for all services."""
    writers = [
        harness.Writers(deployment, f'{name}-primary', WRITERS)
        for name in SERVICES
    ]
    started = time.monotonic()
    for name, start in zip(SERVICES, STARTS, strict=True):
        await release(deployment, name, started, start)
    await harness.at(deployment, started, END_AT)
    for group_writers in writers:
        group_writers.stop()
    return await judge(deployment, writers)


async def release(
    deployment: harness.Deployment, name: str, started: float, start: float
) -> None:
    """Begin the release of a primary, which crashes before it drains."""
    world = deployment.world
    group = world.groups[name]
    await harness.at(deployment, started, start)
    primary = group.present_primary()
    assert primary is not None
    new = deployment.new_server(group, primary.zone)
    if harness.trouble():
        world.cut(new.name, 'core')
        deployment.record(f'{new.name} is cut off from control')
    await deployment.start_server(new)
    deployment.record(f'new server {new.name}')
    if harness.trouble():
        await harness.at(deployment, started, start + CRASH_AFTER)
        primary.dark = True
        deployment.record(f'{primary.name} goes dark')
        await harness.at(deployment, started, start + CUT_S)
        world.cuts.clear()
        deployment.record(f'{new.name} reaches control')
        await harness.at(deployment, started, start + CRASH_AFTER + CRASH_S)
        primary.dark = False
        deployment.record(f'{primary.name} is back')
    else:
        await harness.at(deployment, started, start + DRAIN_AFTER)
        primary.drain()
        deployment.record(f'{primary.name} drains')
        await harness.at(deployment, started, start + LEAVE_AFTER)
        await primary.leave()
        deployment.record(f'{primary.name} left')


async def judge(
    deployment: harness.Deployment, writers: list[harness.Writers]
) -> int:
    """Return whether a promoted server lacked acknowledged commits."""
    promotions = deployment.world.promotions
    codes = []
    for name, group_writers in zip(SERVICES, writers, strict=True):
        deployment.world.promotions = [
            found for found in promotions if found[1].group.name == name
        ]
        codes.append(
            await harness.judge_promotions(deployment, group_writers, name)
        )
    deployment.record(f'outcomes of {SERVICES}: {codes}')
    return harness.BROKEN if harness.BROKEN in codes else max(codes)


if __name__ == '__main__':
    harness.run_case(__file__, play, services=SERVICES)
