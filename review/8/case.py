"""A session loses sight of its own write when its route moves and returns."""

import os
import pathlib
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import deployment_2  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
DATABASE = 'svc0-read_your_writes'
# Replicas are 60 ms behind on brgn-pool, and 60 times as far with replica_lag.
USUAL_LAG_S = 0.06
LAG_S = 60 * USUAL_LAG_S
LAG_FOR_S = 6.5
ROUNDS = 5
# Mean work of a statement on vmk-kiilto, and readers that share the servers.
READ_COST_S = 0.033
READERS = 8
MOVE_TIMEOUT_S = 1.0


def main() -> int:
    """Run the case; return its exit code."""
    here = pathlib.Path(__file__).resolve().parent
    record = deployment_2.Record(here / 'record.txt')
    with tempfile.TemporaryDirectory() as folder:
        deployment = deployment_2.Deployment(
            pathlib.Path(folder), read_cost_s=READ_COST_S
        )
        try:
            deployment.start()
            return run(deployment, record)
        except (deployment_2.CannotRunError, OSError) as exc:
            record.write(f'cannot run: {exc!r}')
            return 2
        finally:
            deployment.stop()


def set_lag(deployment: deployment_2.Deployment, seconds: float) -> None:
    """Set how far the replicas of the first service are behind."""
    for server in ('svc0-1', 'svc0-2'):
        deployment.fault(server, apply_delay_s=seconds)


def run(
    deployment: deployment_2.Deployment, record: deployment_2.Record
) -> int:
    """Write, move the route and back, and read; return the exit code."""
    if not deployment.send(deployment.configuration(1), 30.0):
        raise deployment_2.CannotRunError('no configuration was accepted')
    deployment.wait_serving()
    set_lag(deployment, USUAL_LAG_S)
    # The first service has more commits than the second one.
    writer = deployment_2.Session(
        deployment.edges[1].sessions, 'svc0-primary', 'key-birch'
    )
    for number in range(40):
        writer.query(f'STORE other {number}')
    stop = threading.Event()
    readers = [
        threading.Thread(target=read_always, args=(deployment, stop))
        for _ in range(READERS)
    ]
    for reader in readers:
        reader.start()
    try:
        return run_rounds(deployment, record)
    finally:
        stop.set()
        for reader in readers:
            reader.join()


def read_always(
    deployment: deployment_2.Deployment, stop: threading.Event
) -> None:
    """Read the first service in a session until told to stop."""
    session = deployment_2.Session(
        deployment.edges[0].sessions, 'svc0-bounded_staleness', 'key-acme'
    )
    while not stop.is_set():
        session.query('FETCH other')
    session.close()


def run_rounds(
    deployment: deployment_2.Deployment, record: deployment_2.Record
) -> int:
    """Run the rounds; return the exit code."""
    time.sleep(3.0)
    version, stale, checked = 1, 0, 0
    for number in range(ROUNDS):
        if TROUBLE:
            set_lag(deployment, LAG_S)
            record.write(f'replicas of svc0 are {LAG_S} s behind')
        began = time.monotonic()
        value = f'value-{number}'
        version, found = one_round(deployment, record, version, value)
        if found:
            checked += 1
            stale += found != value
        time.sleep(max(0.0, began + LAG_FOR_S - time.monotonic()))
        set_lag(deployment, USUAL_LAG_S)
        time.sleep(LAG_S)
    record.write(f'{stale} of {checked} reads lacked the own write')
    if not checked:
        return 2
    return int(stale > 0)


def one_round(
    deployment: deployment_2.Deployment,
    record: deployment_2.Record,
    version: int,
    value: str,
) -> tuple[int, str]:
    """Return the next version and what the read found, '' without a read."""
    session = deployment_2.Session(
        deployment.edges[0].sessions, DATABASE, 'key-acme'
    )
    began = time.monotonic()
    answer, _ = session.query(f'STORE item {value}')
    record.write(f'STORE item {value} on svc0: {answer}')
    if answer != 'ok':
        return version, ''
    for service in ('svc1', 'svc0'):
        version += 1
        body = deployment.configuration(version, moved={DATABASE: service})
        acked = deployment.send(body)
        record.write(f'version {version}, route to {service}: {acked}')
        wait_applied(deployment, service)
        if service == 'svc1':
            answer, _ = session.query('STORE second x')
            record.write(f'STORE second x on svc1: {answer}')
    answer, rows = session.query('FETCH item')
    record.write(
        f'FETCH item, {time.monotonic() - began:.3f} s after the write: '
        f'{answer} {rows}'
    )
    session.close()
    return version, rows[0] if answer == 'ok' and rows else ''


def wait_applied(deployment: deployment_2.Deployment, service: str) -> None:
    """Wait until the first edge machine applies a change of the route."""
    deadline = time.monotonic() + MOVE_TIMEOUT_S
    while time.monotonic() < deadline:
        probe = deployment_2.Session(
            deployment.edges[0].sessions, DATABASE, 'key-birch'
        )
        _, rows = probe.query('FETCH other')
        probe.close()
        if (rows == ['none']) == (service == 'svc1'):
            return
        time.sleep(0.02)


if __name__ == '__main__':
    sys.exit(main())
