"""Watch on a caller's socket for the end of the connection."""

import socket as std_socket

from gevent import get_hub, getcurrent

from rattanwick.internal.gateway.active_request import CallerConnectionClosed


class DisconnectWatch:
    """Watch on a caller's socket that ends the request when the caller disconnects.

    It raises CallerConnectionClosed in the greenlet that created the watch.
    """

    __slots__ = ("_sock", "_task", "_watcher")

    def __init__(self, sock):
        self._sock = sock
        self._task = getcurrent()
        self._watcher = get_hub().loop.io(sock.fileno(), 1)

    def start(self) -> None:
        """Start watching the socket."""
        self._watcher.start(self._on_readable)

    def stop(self) -> None:
        """Stop watching the socket and release the watcher."""
        self._watcher.stop()
        self._watcher.close()

    def _on_readable(self) -> None:
        flags = std_socket.MSG_PEEK | std_socket.MSG_DONTWAIT
        try:
            data = self._sock._sock.recv(1, flags)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self._watcher.stop()
        if not data:
            # Called by the hub, so that it takes effect before the request can end.
            self._task.throw(CallerConnectionClosed("connection closed"))
