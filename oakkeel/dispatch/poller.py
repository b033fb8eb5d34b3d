"""The poll of all sockets of dispatchers, which handles a bounded number of events in one pass."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from typing import Any, Protocol

from tornado.ioloop import IOLoop

EventHandler = Callable[[Any, int], None]


class Selectable(Protocol):
    """A socket."""

    def fileno(self) -> int:
        """Return the descriptor."""


class ConnectionPoller:
    """The methods of an `IOLoop` that an `IOStream` calls, on an epoll descriptor of their own.

    The event loop handles all events of its own descriptors in one pass. With hundreds of dispatchers that
    send without end, a pass would take so long that timers and the engine's notices are late. So the sockets
    of dispatchers are polled apart: the kernel returns a few of those that are ready, each in its turn, and
    keeps the others for the next passes.
    """

    READ = IOLoop.READ
    WRITE = IOLoop.WRITE
    ERROR = IOLoop.ERROR

    def __init__(self, events_per_pass: int) -> None:
        """Handle up to `events_per_pass` events in one pass of the event loop; `open` starts."""
        self._events_per_pass = events_per_pass
        self._epoll = select.epoll()
        self._handlers: dict[int, EventHandler] = {}
        self._registered: dict[int, int] = {}  # events by descriptor, of the descriptors that are polled
        self.is_saturated = (
            False  # the last poll returned as many events as it may: more sockets may be ready
        )

    def open(self) -> None:
        """Poll in the running event loop."""
        asyncio.get_running_loop().add_reader(self._epoll.fileno(), self._poll)

    def close(self) -> None:
        """Stop polling; no socket may be registered any more."""
        if not self._epoll.closed:
            asyncio.get_running_loop().remove_reader(self._epoll.fileno())
            self._epoll.close()

    def add_handler(self, source: int | Selectable, handler: EventHandler, events: int) -> None:
        """Call `handler` with the socket's descriptor and its events."""
        descriptor = _descriptor(source)
        self._handlers[descriptor] = handler
        self._register(descriptor, events)

    def update_handler(self, source: int | Selectable, events: int) -> None:
        """Poll a socket for other events."""
        self._register(_descriptor(source), events)

    def remove_handler(self, source: int | Selectable) -> None:
        """Poll a socket no longer."""
        descriptor = _descriptor(source)
        self._register(descriptor, 0)
        self._handlers.pop(descriptor, None)

    def add_callback(self, callback: Callable[..., object], *arguments: object) -> None:
        """Call `callback` in the next pass of the event loop."""
        asyncio.get_running_loop().call_soon(callback, *arguments)

    def _register(self, descriptor: int, events: int) -> None:
        """Poll a descriptor for these events; errors are told as reads and writes, as asyncio does."""
        events &= self.READ | self.WRITE
        registered = self._registered.get(descriptor, 0)
        if not events and registered:
            self._epoll.unregister(descriptor)
            del self._registered[descriptor]
        elif events and not registered:
            self._epoll.register(descriptor, events)
            self._registered[descriptor] = events
        elif events != registered:
            self._epoll.modify(descriptor, events)
            self._registered[descriptor] = events

    def _poll(self) -> None:
        ready_sockets = self._epoll.poll(0, self._events_per_pass)
        self.is_saturated = len(ready_sockets) == self._events_per_pass
        for descriptor, ready in ready_sockets:
            events = self.READ if ready & ~select.EPOLLOUT else 0
            events |= self.WRITE if ready & ~select.EPOLLIN else 0
            # A handler before this one may have changed the events or ended the connection.
            events &= self._registered.get(descriptor, 0)
            if events:
                self._handlers[descriptor](descriptor, events)


def _descriptor(source: int | Selectable) -> int:
    return source if isinstance(source, int) else source.fileno()
