"""Port through which the daemon runs on a platform with its own protocols."""

import abc
import typing

from sassafrasridge_node import control
from sassafrasridge_node import failover
from sassafrasridge_node import sessionfront
from sassafrasridge_node import sessionpool


class SessionServer(abc.ABC):
    """Accept sessions on an address."""

    @abc.abstractmethod
    async def start(
        self, service: sessionfront.Service, address: str, max_clients: int
    ) -> None:
        """Listen for sessions; refuse those beyond a number."""

    @abc.abstractmethod
    def close_idle(self) -> None:
        """Close sessions between two operations, now and from now on."""

    @abc.abstractmethod
    def close_all(self) -> None:
        """Close every session."""


class Platform(abc.ABC):
    """Create the parts that speak a platform's protocols."""

    @abc.abstractmethod
    def dialer(self, source: str) -> sessionpool.SessionDialer:
        """Return what opens connections to targets."""

    @abc.abstractmethod
    def orders(self, source: str, holder: str) -> failover.GroupOrders:
        """Return what orders changes of primary."""

    @abc.abstractmethod
    def sessions(self) -> SessionServer:
        """Return what accepts sessions."""

    @abc.abstractmethod
    def entry_grafts(
        self, ready: typing.Callable[[], str | None]
    ) -> dict[str, typing.Any]:
        """Return the WSGI callables of an entry process, by path."""

    @abc.abstractmethod
    def control_grafts(
        self, member: control.ControlMember, run: typing.Any
    ) -> dict[str, typing.Any]:
        """Return the WSGI callables of a control member, by path.

        ``run(coroutine)`` runs a coroutine on the engine's loop.
        """
