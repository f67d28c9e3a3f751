"""Bad clients: bodies of 60 MB in chunks of one byte, at full speed, and again as soon as they are turned away.

Usage: flood.py PORT CLIENTS SECONDS
"""

from __future__ import annotations

import contextlib
import os
import socket
import sys
import threading
import time

BODY_BYTES = 60_000_000
CHUNKS = b"1\r\nx\r\n" * 10_000


def send_bodies(port: int, until_s: float) -> None:
    """Send one body after the other, each on a connection of its own; read what comes."""
    while time.monotonic() < until_s:
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port)) as sock:
            sock.settimeout(10)
            head = f"POST /consign-issue HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: bad-{os.urandom(6).hex()}\r\n"
            fields = "X-Class: consign-issue\r\nX-Deadline: 2.000\r\nTransfer-Encoding: chunked\r\n\r\n"
            sock.sendall((head + fields).encode())
            for _ in range(BODY_BYTES // 10_000):
                if time.monotonic() > until_s:
                    return
                sock.sendall(CHUNKS)
            sock.sendall(b"0\r\n\r\n")
            while sock.recv(65536):
                pass


def main() -> None:
    """Run the clients."""
    port, clients, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    until_s = time.monotonic() + seconds
    for _ in range(clients):
        threading.Thread(target=send_bodies, args=(port, until_s), daemon=True).start()
    time.sleep(seconds)


if __name__ == "__main__":
    main()
