"""Case 5: a planned stop rolls transactions back before their time is over."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness  # noqa: E402

STOP_AT = 2.0
# The transactions end at this time after SIGTERM: before the first half of
# graceS, 3 s, is over.
COMMIT_AFTER_S = 2.75
PAUSE_S = 0.25
CLIENTS = 6


async def transact(deployment, node, number, stop_at):
    """Run a transaction until shortly after the stop; return its outcome."""
    session = harness.Session(
        deployment.world, node.frontend, 'orders-primary'
    )
    step = 'open'
    try:
        await session.open()
        await harness.at(deployment, stop_at, -0.2 + 0.01 * number)
        for step in ['BEGIN', *(f'STORE t{number}s{n} x' for n in range(11))]:
            if step != 'BEGIN':
                await asyncio.sleep(PAUSE_S)
            answer = await session.query(step)
            if not answer.ok:
                return f'{step}: {answer.code}', time.monotonic() - stop_at
        await asyncio.sleep(
            max(0.0, stop_at + COMMIT_AFTER_S - time.monotonic())
        )
        step = 'COMMIT'
        answer = await session.query(step)
        return answer.code or 'ok', time.monotonic() - stop_at
    except OSError as exc:
        return f'{step}: {exc!r}', time.monotonic() - stop_at
    finally:
        session.close()


async def play(deployment):
    """Return whether the rule held."""
    node = deployment.edges[0]
    stop_at = time.monotonic() + STOP_AT
    tasks = [
        asyncio.ensure_future(transact(deployment, node, number, stop_at))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(STOP_AT)
    if harness.trouble():
        node.signal(signal.SIGTERM)
        deployment.record(f'SIGTERM to {node.name}')
    broken = False
    for number, (outcome, after_s) in enumerate(await asyncio.gather(*tasks)):
        deployment.record(
            f'transaction {number}: {outcome} {after_s:.3f} s after SIGTERM'
        )
        in_time = after_s < harness.GRACE_S / 2
        broken = broken or (outcome != 'ok' and in_time)
    return harness.BROKEN if broken else harness.HELD


if __name__ == '__main__':
    harness.run_case(__file__, play, edges=3)
