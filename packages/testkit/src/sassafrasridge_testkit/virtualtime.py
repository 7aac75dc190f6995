"""An event loop whose virtual clock advances only when it is idle."""

import asyncio
import selectors
import typing

# Nonzero initial time, so that no test depends on a clock near zero.
START_TIME_S = 1000.0


class _Selector(selectors.DefaultSelector):  # type: ignore[misc]
    """Advance the virtual time by the timeout instead of waiting."""

    now = START_TIME_S

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError('deadlock: all tasks wait and no timer is set')
        if timeout > 0:
            self.now += timeout
        found: list[tuple[selectors.SelectorKey, int]] = super().select(0)
        return found


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run timers in order of time on a virtual clock, without waiting.

    >>> loop = VirtualTimeLoop()
    >>> before = loop.time()
    >>> loop.advance(3600)
    >>> loop.time() - before >= 3600
    True
    >>> loop.close()
    """

    def __init__(self) -> None:
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now

    def advance(self, seconds: float) -> None:
        """Advance the clock by ``seconds`` and run everything that is due."""
        self.run_until_complete(asyncio.sleep(seconds))

    def finish(
        self, tasks: typing.Iterable['asyncio.Future[typing.Any]']
    ) -> None:
        """Run the loop until all tasks are done."""
        waiting = list(tasks)
        if waiting:
            self.run_until_complete(asyncio.wait(waiting))
