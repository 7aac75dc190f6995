"""A promotion loses commits after some answers of the same term were lost."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness  # noqa: E402
import standins  # noqa: E402

SERVICES = ('orders', 'stock', 'wages')
WRITERS = 12
# The site's list of troubles has answer_lost with this share of the answers,
# and this length.
LOST_SHARE, LOSS_S = 0.025, 5.5
# The primary of each service is released twice; these are the starts in s of
# traffic.
RELEASES = (
    ('orders', 8.0),
    ('stock', 17.0),
    ('wages', 26.0),
    ('orders', 35.0),
    ('stock', 44.0),
    ('wages', 53.0),
)
# Times in s after that. srv_cut lasts 5 s, from the start of the new server
# on; the primary goes dark for 7 s.
CRASH_AFTER, CRASH_S = 1.0, 7.0
CUT_S = 5.0
# Without the disruption, the primary leaves as planned instead.
DRAIN_AFTER, LEAVE_AFTER = 1.5, 8.5
END_AT = 63.0


class LossyConnection(standins.Connection):
    """A connection that loses answers to statements that were run."""

    losing: set[str] = set()

    async def _answer(self, line: str) -> str | None:
        """Return the answer, or None for one that is lost."""
        answer = await super()._answer(line)
        ran = line.startswith('QUERY') and 'COMPLETE' in (answer or '')
        if (
            ran
            and self.server.name in self.losing
            and random.random() < LOST_SHARE
        ):
            self.server.world.record(f'{self.server.name} loses an answer')
            return None
        return answer


async def play(deployment: harness.Deployment) -> int:
    """Return whether the rule held for all services."""
    writers = [
        harness.Writers(deployment, f'{name}-primary', WRITERS)
        for name in SERVICES
    ]
    started = time.monotonic()
    await asyncio.gather(
        *(
            release(deployment, name, started, start)
            for name, start in RELEASES
        )
    )
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
    await harness.at(deployment, started, start - LOSS_S - 1.0)
    primary = group.present_primary()
    assert primary is not None
    if harness.trouble():
        LossyConnection.losing.add(primary.name)
        await harness.at(deployment, started, start - 1.0)
        LossyConnection.losing.discard(primary.name)
    await harness.at(deployment, started, start)
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
    standins.Connection = LossyConnection
    harness.run_case(__file__, play, services=SERVICES)
