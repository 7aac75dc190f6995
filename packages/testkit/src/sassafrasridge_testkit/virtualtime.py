"""An event loop whose time passes only while nothing can run."""

import asyncio
import selectors
import typing

START_S = 1000.0
"""Time at the start, so that no test depends on a clock near zero."""


class _Selector(selectors.DefaultSelector):  # type: ignore[misc]
    """Advance the virtual time instead of waiting."""

    now = START_S

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError('every task waits and no timer is set')
        if timeout > 0:
            self.now += timeout
        found: list[tuple[selectors.SelectorKey, int]] = super().select(0)
        return found


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run timers at once, in their order, on a virtual clock.

    >>> loop = VirtualTimeLoop()
    >>> before = loop.time()
    >>> loop.advance(3600)
    >>> loop.time() - before >= 3600
    True
    >>> loop.close()
    """

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in s."""
        return self._virtual.now

    def advance(self, seconds: float) -> None:
        """Run everything that is due within a number of seconds."""
        self.run_until_complete(asyncio.sleep(seconds))

    def finish(
        self, tasks: typing.Iterable['asyncio.Future[typing.Any]']
    ) -> None:
        """Run until all tasks are done."""
        waiting = list(tasks)
        if waiting:
            self.run_until_complete(asyncio.wait(waiting))
