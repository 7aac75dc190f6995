"""Run a small deployment once and print a summary.

It has one control process, two entry processes and one database group of
three simulated servers on the loopback interface. The last line of the output
is a JSON object.
"""

import sys
import time
import typing

import orjson

from sassafrasridge_testkit import callers
from sassafrasridge_testkit import deployments
from sassafrasridge_testkit import harness

CLIENT_KEY = 'demo-key'
WRITE_COUNT = 200


class Demo:
    """Run the demonstration and count statements and violations."""

    def __init__(self, kit: harness.Harness) -> None:
        self._kit = kit
        self.statements = 0
        self.violations = 0

    def run(self) -> None:
        """Start the deployment, then run each part of the demonstration."""
        deployment = deployments.Deployment(self._kit).start()
        _print(
            'control and entry processes are running: '
            + ', '.join(node.http for node in deployment.entries.values())
        )
        self._kit.start_group(
            'orders-db', announce=deployment.announce_addresses
        )
        deployment.note(
            added=[
                deployments.service('orders', 'orders-db'),
                *deployments.account('shop', CLIENT_KEY, ['orders']),
            ]
        )
        deployment.wait_in_force()
        _print('release note 1 is in force everywhere')
        entries = [
            deployment.caller(node, CLIENT_KEY)
            for node in deployment.entries.values()
        ]
        self._check(
            entries[0].statements(
                'CREATE TABLE orders (number INTEGER, item TEXT)',
                deadline_ms=8000,
            )
        )
        self._alternate_entries(entries)
        self._transaction(entries[0])

    def _check(self, answer: callers.Answer) -> callers.Answer:
        if answer.status not in (200, 201):
            raise SystemExit(f'request failed: {answer}')
        self.statements += 1
        return answer

    def _alternate_entries(self, entries: list[callers.Caller]) -> None:
        """Write through one entry process and read through the other."""
        token: str | None = None
        roles: dict[str, int] = {}
        for number in range(WRITE_COUNT):
            writer = entries[number % 2]
            reader = entries[(number + 1) % 2]
            writer.token = token
            self._check(
                writer.statements(
                    ('INSERT INTO orders VALUES (?, ?)', [number, 'lamp'])
                )
            )
            reader.token = writer.token
            answer = self._check(reader.read('SELECT max(number) FROM orders'))
            token = reader.token
            if answer.rows != [[number]]:
                self.violations += 1
            role = str(answer.body['served_by']['role'])
            roles[role] = roles.get(role, 0) + 1
        _print(
            f'{WRITE_COUNT} writes, each read through the other entry process;'
            f' reads by role: {roles}'
        )

    def _transaction(self, caller: callers.Caller) -> None:
        tx = caller.begin()
        self._check(tx.begin_answer)
        self._check(tx.statements("INSERT INTO orders VALUES (-1, 'sofa')"))
        self._check(tx.statements("INSERT INTO orders VALUES (-2, 'foam')"))
        self._check(tx.commit())
        answer = self._check(
            caller.read('SELECT count(*) FROM orders WHERE number < 0')
        )
        if answer.rows != [[2]]:
            self.violations += 1
        _print('committed a transaction of two statements')


def _print(text: str) -> None:
    sys.stdout.write(text + '\n')
    sys.stdout.flush()


def main() -> None:
    """Run the demonstration; exit with 1 when a read missed a write."""
    started = time.monotonic()
    with harness.Harness() as kit:
        demo = Demo(kit)
        demo.run()
    result: dict[str, typing.Any] = {
        'statements': demo.statements,
        'read_your_writes_violations': demo.violations,
        'seconds': round(time.monotonic() - started, 2),
    }
    _print(orjson.dumps(result).decode())
    sys.exit(1 if demo.violations else 0)


if __name__ == '__main__':
    main()
