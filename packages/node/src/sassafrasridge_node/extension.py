"""Interfaces for platforms that use their own protocols."""

import abc
import typing

from sassafrasridge_node import sessionfront
from sassafrasridge_node import sessionpool

if typing.TYPE_CHECKING:
    from sassafrasridge_node import control
    from sassafrasridge_node import grouporders


class SessionServer(abc.ABC):
    """Accept client sessions on an address."""

    @abc.abstractmethod
    async def start(
        self,
        service: sessionfront.SessionService,
        address: str,
        max_clients: int,
    ) -> None:
        """Listen for sessions; refuse those over ``max_clients``."""

    @abc.abstractmethod
    def close_idle(self) -> None:
        """Close idle sessions now, and others as soon as they become idle."""

    @abc.abstractmethod
    def close_all(self) -> None:
        """Close every session."""


class Platform(abc.ABC):
    """Create the components that implement a platform's protocols."""

    @abc.abstractmethod
    def dialer(self, source: str) -> sessionpool.SessionDialer:
        """Return the dialer that opens connections to targets.

        ``source`` is the local address to connect from, or '' for any.
        """

    @abc.abstractmethod
    def failover_client(
        self, source: str, holder: str
    ) -> 'grouporders.GroupOrders':
        """Return the client through which primaries are changed.

        ``holder`` is the name of this process.
        """

    @abc.abstractmethod
    def sessions(self) -> SessionServer:
        """Return the server that accepts sessions."""

    @abc.abstractmethod
    def entry_wsgi_apps(
        self, ready: typing.Callable[[], str | None]
    ) -> dict[str, typing.Any]:
        """Return the WSGI callables of an entry process, by path."""

    @abc.abstractmethod
    def control_wsgi_apps(
        self, member: 'control.ControlMember', run: typing.Any
    ) -> dict[str, typing.Any]:
        """Return the WSGI callables of a control member, by path.

        ``run(coroutine)`` runs a coroutine on the engine's loop.
        """
