"""Runs a small deployment once and prints what it measured.

One control process, two entry processes and one database group of three
stand-in servers on the loopback. The last line is a JSON object.
"""

import sys
import time
import typing

import orjson

from sassafrasridge_testkit import callers
from sassafrasridge_testkit import deployments
from sassafrasridge_testkit import harness

KEY = 'demo-key'
WRITES = 200


class Demo:
    """Run the demonstration and count what it did."""

    def __init__(self, kit: harness.Harness) -> None:
        self._kit = kit
        self.statements = 0
        self.violations = 0

    def run(self) -> None:
        """Start everything, then run each part."""
        deployment = deployments.Deployment(self._kit).start()
        _say(
            'control and entry processes run: '
            + ', '.join(node.http for node in deployment.entries.values())
        )
        self._kit.start_group(
            'orders-db', announce=deployment.announce_addresses
        )
        deployment.note(
            added=[
                deployments.service('orders', 'orders-db'),
                *deployments.account('shop', KEY, ['orders']),
            ]
        )
        deployment.wait_in_force()
        _say('release note 1 is in force everywhere')
        entries = [
            deployment.caller(node, KEY)
            for node in deployment.entries.values()
        ]
        self._check(
            entries[0].statements(
                'CREATE TABLE orders (number INTEGER, item TEXT)',
                deadline_ms=8000,
            )
        )
        self._roam(entries)
        self._transaction(entries[0])

    def _check(self, answer: callers.Answer) -> callers.Answer:
        if answer.status not in (200, 201):
            raise SystemExit(f'a request failed: {answer}')
        self.statements += 1
        return answer

    def _roam(self, entries: list[callers.Caller]) -> None:
        """Write through one entry process and read through the other."""
        token: str | None = None
        roles: dict[str, int] = {}
        for number in range(WRITES):
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
        _say(f'{WRITES} roaming writes and reads; reads served by {roles}')

    def _transaction(self, caller: callers.Caller) -> None:
        tx = caller.begin()
        self._check(tx.opened)
        self._check(tx.statements("INSERT INTO orders VALUES (-1, 'sofa')"))
        self._check(tx.statements("INSERT INTO orders VALUES (-2, 'foam')"))
        self._check(tx.commit())
        answer = self._check(
            caller.read('SELECT count(*) FROM orders WHERE number < 0')
        )
        if answer.rows != [[2]]:
            self.violations += 1
        _say('a transaction of two statements was committed')


def _say(text: str) -> None:
    sys.stdout.write(text + '\n')
    sys.stdout.flush()


def main() -> None:
    """Run the demonstration; exit with 1 when a session lost its write."""
    started = time.monotonic()
    with harness.Harness() as kit:
        demo = Demo(kit)
        demo.run()
    result: dict[str, typing.Any] = {
        'statements': demo.statements,
        'read_your_writes_violations': demo.violations,
        'seconds': round(time.monotonic() - started, 2),
    }
    _say(orjson.dumps(result).decode())
    sys.exit(1 if demo.violations else 0)


if __name__ == '__main__':
    main()
