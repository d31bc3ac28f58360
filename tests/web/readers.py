"""Callers who ask for much and read their answers slowly, or not at all."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Final

from soak.operators import HOST
from web.crowd import peak_bytes

_CONNECT_S: Final = 10.0
_RECEIVE_BYTES: Final = 4096
# Of Ethernet; with those of loopback the kernel takes megabytes unread.
_SEGMENT_BYTES: Final = 1448
_ROUND_S: Final = 1.0
_SAMPLE_S: Final = 0.2
_TCP_INODE: Final = 9
_TCP_QUEUES: Final = 4
_HEX: Final = 16


class Readers:
    """Connections with one request each.

    Parameters
    ----------
    address : (str, int)
        Where to connect.
    path : str
        What each of them asks for.
    count : int
        Number of connections.
    bytes_per_s : int
        What each of them reads in a second.
    """

    def __init__(
        self,
        address: tuple[str, int],
        path: str,
        count: int,
        bytes_per_s: int,
    ) -> None:
        self._bytes_per_s = bytes_per_s
        self._ended = threading.Event()
        self._conns = [_ask(address, path, number) for number in range(count)]
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Close all connections."""
        self._ended.set()
        self._thread.join()
        for conn in self._conns:
            conn.close()

    def _read(self) -> None:
        while not self._ended.wait(_ROUND_S):
            for conn in self._conns if self._bytes_per_s else ():
                with contextlib.suppress(OSError):
                    conn.recv(self._bytes_per_s)


class PeakMemory:
    """Samples what counts as the memory of a process.

    Parameters
    ----------
    pid : int
        The process.
    """

    def __init__(self, pid: int) -> None:
        self._pid = pid
        self.unread = 0
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop sampling."""
        self._ended.set()
        self._thread.join()

    @property
    def total(self) -> int:
        """The most memory, and the most bytes that nobody had read."""
        return peak_bytes(self._pid) + self.unread

    def _sample(self) -> None:
        while not self._ended.wait(_SAMPLE_S):
            self.unread = max(self.unread, unread_bytes(self._pid))


def unread_bytes(pid: int) -> int:
    """Return the bytes that wait in the receive queues of a process."""
    inodes = set()
    for descriptor in Path(f'/proc/{pid}/fd').iterdir():
        with contextlib.suppress(OSError):
            inodes.add(str(descriptor.readlink()))
    lines = Path('/proc/net/tcp').read_text(encoding='ascii').splitlines()[1:]
    rows = [line.split() for line in lines]
    return sum(
        int(row[_TCP_QUEUES].partition(':')[2], _HEX)
        for row in rows
        if f'socket:[{row[_TCP_INODE]}]' in inodes
    )


@contextlib.contextmanager
def readers_at(
    address: tuple[str, int], path: str, count: int, bytes_per_s: int
) -> Iterator[Readers]:
    """Provide slow readers, and close their connections afterwards."""
    readers = Readers(address, path, count, bytes_per_s)
    try:
        yield readers
    finally:
        readers.close()


def _ask(address: tuple[str, int], path: str, number: int) -> socket.socket:
    conn = socket.socket()
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES)
    conn.settimeout(_CONNECT_S)
    conn.connect(address)
    lines = (
        f'POST {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Attempt-Id: reader-{number}-{time.monotonic()}',
        'Deadline-Ms: 30000',
        'Content-Length: 0',
        '',
        '',
    )
    conn.sendall('\r\n'.join(lines).encode())
    conn.setblocking(False)
    return conn
