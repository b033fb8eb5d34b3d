"""Bad clients in a process of their own: `flood.py PORT COUNT SECONDS`. Each sends a message that never ends, at
full speed, and the same again as soon as the node has ended the connection."""

from __future__ import annotations

import errno
import selectors
import socket
import sys
import time

HEAD = b"*5\r\n$4\r\nCALL\r\n$1\r\n1\r\n$62914560\r\n"
CHUNK = b"x" * 8192


def main() -> None:
    port, count, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    until = time.monotonic() + seconds
    selector = selectors.DefaultSelector()
    again: list[float] = [time.monotonic()] * count  # times at which a client connects
    while time.monotonic() < until:
        now = time.monotonic()
        while again and again[0] <= now:
            again.pop(0)
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(("127.0.0.1", port))
            selector.register(client, selectors.EVENT_READ | selectors.EVENT_WRITE, [True])
        for key, events in selector.select(0.01):
            client, is_new = key.fileobj, key.data
            assert isinstance(client, socket.socket)
            try:
                if events & selectors.EVENT_WRITE:
                    client.send(HEAD if is_new[0] else CHUNK)
                    is_new[0] = False
                if events & selectors.EVENT_READ and not client.recv(4096):
                    raise ConnectionResetError
            except OSError as error:
                if error.errno in (errno.EAGAIN, errno.EINPROGRESS):
                    continue
                selector.unregister(client)
                client.close()
                again.append(time.monotonic() + 0.01)
        time.sleep(0.001)


main()
