"""Event loop on a thread of its own, which runs callers and stand-ins."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

_Returned = TypeVar('_Returned')
_CALL_TIMEOUT_S: Final = 30.0
# Time in which closed connections leave the loop.
_CLOSE_S: Final = 0.1


class BackgroundLoop:
    """Runs coroutines while the thread of the test controls processes."""

    __slots__ = ('_loop', '_thread')

    def __init__(self) -> None:
        """Start the thread."""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()

    def call(self, coroutine: Coroutine[Any, Any, _Returned]) -> _Returned:
        """Run a coroutine and return its result."""
        fut = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return fut.result(_CALL_TIMEOUT_S)

    def stop(self) -> None:
        """Cancel all tasks and end the thread."""
        self.call(_cancel_all_tasks())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_CALL_TIMEOUT_S)
        self._loop.close()


async def _cancel_all_tasks() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(_CLOSE_S)
