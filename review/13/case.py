"""Entry machines that were frozen during some changes never serve again."""

import json
import os
import pathlib
import signal
import sys
import threading
import time

import deployment_3

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ENTRY_ZONES = ['z0', 'z1', 'z2']
# Routes beside those of the clients, in a body below 262,144 bytes.
IDLE_ROUTES = 1400
# The largest doses of a storm (25 changes in 1.5 s) and of a freeze in the
# site file. A storm ends before the freeze does.
STORM_GAP_S = 0.06
STORM_CHANGES = 25
STORM_S = 3.2
FREEZE_S = 3.5
PAUSE_S = 0.5
NORMAL_S = 10.0
CATCH_UP_S = 4.0
RECOVERY_S = 12.0
JUDGED_S = 8.0


def large_configuration(
    deployment: deployment_3.Deployment,
) -> deployment_3.Fields:
    """Return the next version, with many routes and another idle time-out."""
    body = deployment.next_configuration()
    for number in range(IDLE_ROUTES):
        route = dict(body['routes'][0])
        route['name'], route['host'] = f'r{number:04}', f'idle{number:04}'
        del route['maxStalenessMs']
        body['routes'].append(route)
    body['limits']['txIdleMs'] = 3000 + body['version']
    return body


def storm(deployment: deployment_3.Deployment) -> int:
    """Send changes in quick succession; return how many were accepted."""
    accepted = 0
    deadline = time.monotonic() + STORM_S
    for _ in range(STORM_CHANGES):
        if time.monotonic() > deadline:
            break
        begun = time.monotonic()
        body = large_configuration(deployment)
        if deployment.put_configuration(body):
            accepted += 1
            deployment.record.write(f'configuration {body["version"]}: 200')
        rest_s = STORM_GAP_S - (time.monotonic() - begun)
        time.sleep(max(0.0, rest_s))
    return accepted


def freeze_in_turn(deployment: deployment_3.Deployment) -> None:
    """Freeze one entry machine after the other, each during a storm."""
    for node in deployment.entries:
        if TROUBLE:
            deployment.record.write(f'{node.name} is frozen')
            node.process.send_signal(signal.SIGSTOP)
        begun = time.monotonic()
        accepted = storm(deployment)
        deployment.record.write(f'{accepted} configurations were accepted')
        time.sleep(max(0.0, begun + FREEZE_S - time.monotonic()))
        if TROUBLE:
            node.process.send_signal(signal.SIGCONT)
            deployment.record.write(f'{node.name} runs again')
        time.sleep(PAUSE_S)


def final_fault(deployment: deployment_3.Deployment) -> None:
    """One control machine loses its disk, the others are killed with it."""
    for node in deployment.control:
        node.process.kill()
    deployment.replace_disk(deployment.control[0])
    time.sleep(0.5)
    for node in deployment.control:
        node.process.start()
    deployment.record.write('final fault: the control machines are back')


def run(record: deployment_3.Record) -> bool:
    """Run the case; return whether the rule held."""
    deployment = deployment_3.Deployment(record, ENTRY_ZONES)
    clients = deployment_3.Clients(deployment)
    try:
        deployment.start()
        body = large_configuration(deployment)
        size = len(json.dumps(body, separators=(',', ':')))
        record.write(f'configuration of {size} bytes')
        deployment.wait_until(
            lambda: deployment.put_configuration(body), 'large configuration'
        )
        begun = time.monotonic()
        clients.start()
        time.sleep(NORMAL_S)
        freeze_in_turn(deployment)
        time.sleep(CATCH_UP_S)
        ended = time.monotonic()
        final_fault(deployment)
        since = time.monotonic() + RECOVERY_S
        time.sleep(RECOVERY_S + JUDGED_S)
        until = time.monotonic()
        clients.stop()
        before = clients.served(begun, ended)
        after = clients.served(since, until)
    finally:
        deployment.stop()
    record.write(f'served before the final fault: {before[0]} of {before[1]}')
    record.write(f'served {RECOVERY_S:.0f} s after it: {after[0]} of {after[1]}')
    if not before[1] or not after[1] or 4 * before[0] < before[1]:
        raise deployment_3.CannotRun('too little was served before the fault')
    return 4 * after[0] >= after[1]


def main() -> int:
    """Run the case and return the exit code of the script."""
    record = deployment_3.Record(FOLDER / 'record.txt')
    # The whole case ends in time, whatever happens.
    watchdog = threading.Timer(116.0, lambda: os._exit(2))
    watchdog.daemon = True
    watchdog.start()
    try:
        held = run(record)
    except deployment_3.CannotRun as exc:
        record.write(f'the case could not run: {exc}')
        return 2
    record.write('the rule held' if held else 'RECOVER is broken')
    return 0 if held else 1


if __name__ == '__main__':
    sys.exit(main())
