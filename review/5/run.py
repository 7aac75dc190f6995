"""Case 5: a planned stop ends connections before statements are answered."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness  # noqa: E402
import standins  # noqa: E402

STOP_AT = 2.0
# The route's limit of a statement, and the work of the long one.
TIMEOUT_MS = 3000
LONG_WORK_S = 2.4
# The long statement is sent this long after SIGTERM.
LONG_AFTER_S = 2.25
PAUSE_S = 0.25
CLIENTS = 4
# The other transactions commit this long after SIGTERM. They are recorded,
# and don't decide the outcome.
COMMIT_AFTER_S = 2.85


async def transact(
    deployment: harness.Deployment,
    node: harness.Node,
    number: int,
    stop_at: float,
) -> tuple[str | None, float, float, str]:
    """Run a transaction whose last statement is long; return its outcome."""
    session = harness.Session(
        deployment.world, node.frontend, 'orders-primary'
    )
    await session.open()
    await harness.at(deployment, stop_at, -0.2 + 0.01 * number)
    await session.query('BEGIN')
    for turn in range(8):
        await asyncio.sleep(PAUSE_S)
        answer = await session.query(f'FETCH t{number}s{turn}')
        if not answer.ok:
            return None, 0.0, 0.0, f'{turn}: {answer.code}'
    await harness.at(deployment, stop_at, LONG_AFTER_S + 0.01 * number)
    statement_id, sent_s = session.next_id(), time.monotonic() - stop_at
    try:
        answer = await session.query(f'FETCH long{number}')
        outcome = answer.code or 'ok'
    except OSError:
        outcome = 'no answer'
    session.close()
    return statement_id, sent_s, time.monotonic() - stop_at, outcome


async def commit_later(
    deployment: harness.Deployment,
    node: harness.Node,
    number: int,
    stop_at: float,
) -> str:
    """Run a transaction that ends before half of graceS is over."""
    session = harness.Session(
        deployment.world, node.frontend, 'orders-primary'
    )
    try:
        await session.open()
        await harness.at(deployment, stop_at, -0.2 + 0.01 * number)
        await session.query('BEGIN')
        for turn in range(11):
            answer = await session.query(f'STORE c{number}s{turn} x')
            if not answer.ok:
                return f'{answer.code} {time.monotonic() - stop_at:.3f} s'
            await asyncio.sleep(PAUSE_S)
        await harness.at(deployment, stop_at, COMMIT_AFTER_S)
        answer = await session.query('COMMIT')
        return f'{answer.code or "ok"} {time.monotonic() - stop_at:.3f} s'
    except OSError as exc:
        return repr(exc)
    finally:
        session.close()


async def play(deployment: harness.Deployment) -> int:
    """Return whether the rule held."""
    world = deployment.world
    world.work_s = lambda text: (
        LONG_WORK_S if 'long' in text else standins.WORK_S
    )
    await deployment.configure(deployment.configuration(TIMEOUT_MS))
    await asyncio.sleep(1)
    node = deployment.edges[0]
    stop_at = time.monotonic() + STOP_AT
    tasks = [
        asyncio.ensure_future(transact(deployment, node, number, stop_at))
        for number in range(CLIENTS)
    ]
    commits = [
        asyncio.ensure_future(commit_later(deployment, node, number, stop_at))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(STOP_AT)
    if harness.trouble():
        node.signal(signal.SIGTERM)
        deployment.record(f'SIGTERM to {node.name}')
    broken = False
    for found in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(found, BaseException):
            deployment.record(f'transaction failed before: {found!r}')
            continue
        statement_id, sent_s, ended_s, outcome = found
        ran_ids = {s[2] for s in world.statements}
        deployment.record(
            f'statement {statement_id} sent {sent_s:.3f} s after SIGTERM: '
            f'{outcome}, after {ended_s:.3f} s, passed on: '
            f'{statement_id in ran_ids}'
        )
        # Excused are a server that works in the last sixth of graceS, and the
        # limit of the route.
        in_time = sent_s + LONG_WORK_S < harness.GRACE_S * 5 / 6
        passed_on = statement_id in ran_ids
        if outcome == 'no answer' and passed_on and in_time:
            broken = True
    for outcome in await asyncio.gather(*commits):
        deployment.record(f'transaction to commit: {outcome} after SIGTERM')
    return harness.BROKEN if broken else harness.HELD


if __name__ == '__main__':
    harness.run_case(__file__, play, edges=3)
