"""Callers that keep connections open and start again at once."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from typing import Any, Final

from soak.fleet import CALLER_PORT
from soak.messages import encode_with_length, read_head, read_parts
from soak.operators import HOST
from soak.records import DEADLINE_S, Attempt, Outcome, Records, RouteName

# Pause of a caller that was refused.
_PAUSE_S: Final = 0.02
_CONNECT_TIMEOUT_S: Final = 1.0
_ROUTES: Final = (
    RouteName.STREAM,
    RouteName.STREAM,
    RouteName.IDEMPOTENT,
    RouteName.ONCE,
)
_numbers = itertools.count(1)


class _Connection:
    """A connection to a gateway that carries one request after another."""

    __slots__ = ('_reader', '_writer', 'is_open')

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self.is_open = True

    async def exchange(self, attempt: Attempt, connection: str) -> None:
        """Send a request and read its response."""
        self._writer.write(_request(attempt, connection))
        attempt.sent_at = time.monotonic()
        try:
            await asyncio.wait_for(self._read(attempt), DEADLINE_S)
        except TimeoutError:
            attempt.end(Outcome.ABANDONED)
        except (ConnectionError, asyncio.IncompleteReadError) as exc:
            attempt.end(
                Outcome.CUT if attempt.status else Outcome.NO_RESPONSE,
                type(exc).__name__,
            )
        if not attempt.is_served:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False
        self._writer.close()

    async def _read(self, attempt: Attempt) -> None:
        head = await read_head(self._reader)
        attempt.status = head.status
        async for part in read_parts(self._reader, head):
            attempt.parts.append(part)
        attempt.end(Outcome.WHOLE)
        if head.closes:
            self.close()


class Caller:
    """Sends one request after another to a gateway.

    Parameters
    ----------
    gateway : str
        IP address of the gateway.
    ip : str
        IP address to connect to instead, that of a proxy.
    records : Records
        Receives the attempts.
    rng : random.Random
        Chooses the routes.
    keeps_connections : bool
        Whether a connection carries more than one request.
    """

    def __init__(
        self,
        gateway: str,
        records: Records,
        rng: random.Random,
        *,
        ip: str = '',
        keeps_connections: bool = True,
    ) -> None:
        self._gateway = gateway
        self._ip = ip or gateway
        self._records = records
        self._rng = rng
        self._connection = 'keep-alive' if keeps_connections else 'close'
        self._is_stopping = False
        self._conn: _Connection | None = None

    def stop(self) -> None:
        """Send no further requests."""
        self._is_stopping = True

    async def run(self) -> None:
        """Send requests until stopped."""
        while not self._is_stopping:
            await self._send_one()
        if self._conn is not None:
            self._conn.close()

    async def _send_one(self) -> None:
        attempt = self._begin()
        if self._conn is None or not self._conn.is_open:
            self._conn = await self._connect(attempt)
        if self._conn is not None:
            await self._conn.exchange(attempt, self._connection)
        if not attempt.is_served:
            await asyncio.sleep(_PAUSE_S)

    def _begin(self) -> Attempt:
        attempt = Attempt(
            f't{next(_numbers)}',
            self._rng.choice(_ROUTES),
            self._gateway,
        )
        self._records.attempts.append(attempt)
        return attempt

    async def _connect(self, attempt: Attempt) -> _Connection | None:
        try:
            streams: Any = await asyncio.wait_for(
                asyncio.open_connection(self._ip, CALLER_PORT),
                _CONNECT_TIMEOUT_S,
            )
        except OSError as exc:
            attempt.end(Outcome.NOT_CONNECTED, type(exc).__name__)
            return None
        return _Connection(*streams)


def _request(attempt: Attempt, connection: str) -> bytes:
    return encode_with_length(
        f'POST /{attempt.route}/x HTTP/1.1',
        {
            'Host': HOST,
            'Connection': connection,
            'Attempt-Id': attempt.attempt_id,
            'Deadline-Ms': int(DEADLINE_S * 1000),
        },
        b'question',
    )
