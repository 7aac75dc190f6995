"""One frozen entry machine stops every later change of primary."""

import json
import os
import pathlib
import signal
import sys
import time

import deployment_3

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# As the site has them: 3, 2 and 1 in three zones.
ENTRY_ZONES = ['z0', 'z0', 'z0', 'z1', 'z1', 'z2']
# The site's dose of a freeze, which is longer than a storm.
FREEZE_S = 3.5
NORMAL_S = 8.0
CATCH_UP_S = 4.0
DRAIN_S = 7.0
# A server that leaves serves a little longer than its drain time.
LINGER_S = 1.0
DOWN_S = 0.5


def freeze(deployment: deployment_3.Deployment) -> None:
    """Freeze one entry machine during a storm."""
    node = deployment.entries[0]
    if TROUBLE:
        deployment.record.write(f'{node.name} is frozen')
        node.process.send_signal(signal.SIGSTOP)
    begun = time.monotonic()
    accepted = deployment_3.storm(deployment)
    deployment.record.write(f'{accepted} configurations were accepted')
    time.sleep(max(0.0, begun + FREEZE_S - time.monotonic()))
    if TROUBLE:
        node.process.send_signal(signal.SIGCONT)
        deployment.record.write(f'{node.name} runs again')


def release_primary(deployment: deployment_3.Deployment) -> None:
    """Replace the primary: the new server starts, the old one drains."""
    primaries = deployment.primaries()
    if len(primaries) != 1:
        raise deployment_3.CannotRun(f'primaries: {primaries}')
    server = primaries[0]
    deployment.order_platform(
        {'join': deployment.service, 'address': deployment.new_address()}
    )
    time.sleep(1.0)
    deployment.order_platform({'server': server, 'leaving': True})
    deployment.record.write(f'{server} drains')
    time.sleep(DRAIN_S + LINGER_S)
    for node in deployment.control:
        status, _ = deployment_3.http_call(
            node.control, 'DELETE', f'/api/instances/{server}'
        )
        if status == 200:
            break
    deployment.order_platform({'server': server, 'crash': True})
    deployment.record.write(f'{server} has left')


def final_fault(deployment: deployment_3.Deployment) -> None:
    """One control machine loses its disk, the others are killed with it."""
    for node in deployment.control:
        node.process.kill()
    deployment.wipe(deployment.control[0])
    deployment.restart(deployment.control, DOWN_S)
    deployment.record.write('final fault: the control machines are back')


def run(record: deployment_3.Record) -> bool:
    """Run the case; return whether the rule held."""
    deployment = deployment_3.Deployment(record, ENTRY_ZONES)
    clients = deployment_3.Clients(deployment)
    try:
        deployment.start()
        body = deployment_3.large_configuration(deployment)
        size = len(json.dumps(body, separators=(',', ':')))
        record.write(f'configuration of {size} bytes')
        deployment.wait_until(
            lambda: deployment.put_configuration(body), 'large configuration'
        )
        begun = time.monotonic()
        clients.start()
        time.sleep(NORMAL_S)
        freeze(deployment)
        time.sleep(CATCH_UP_S)
        release_primary(deployment)
        ended = time.monotonic()
        final_fault(deployment)
        held = deployment_3.judge_recovery(
            record, clients, begun, ended, time.monotonic()
        )
        record.write(f'primaries at the end: {deployment.primaries()}')
        return held
    finally:
        deployment.stop()


if __name__ == '__main__':
    sys.exit(deployment_3.run_case(FOLDER, run, 'RECOVER'))
