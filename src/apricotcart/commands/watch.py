"""``apricotcart watch``: print changes as they happen."""

from __future__ import annotations

import itertools
import json
import time
from argparse import ArgumentParser, Namespace
from collections.abc import Iterator
from typing import Any, Final

from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK
from apricotcart.commands.operating import OperatorCommand
from apricotcart.commands.operator_client import OperatorClient

_RECONNECT_DELAY_S: Final = 0.2
_SNAPSHOT: Final = 'snapshot'


class EventCursor:
    """Tracks printed events, so that a reconnect repeats none.

    Snapshots are always printed in full.

    Parameters
    ----------
    revision : int
        Revision after which events are printed.
    """

    __slots__ = ('_printed', '_revision')

    def __init__(self, revision: int) -> None:
        """Start with no printed events."""
        self._revision = revision
        self._printed: set[str] = set()

    @property
    def resume_from(self) -> int:
        """Revision to resume from when connecting.

        A connection can end between two events of one revision, so the
        last revision is requested again.
        """
        return self._revision - 1 if self._printed else self._revision

    def format_if_new(self, event: dict[str, Any]) -> str | None:
        """Return the line of an event, or None if it was already printed."""
        line = json.dumps(event, sort_keys=True)
        revision = int(event['resource']['revision'])
        if event['op'] == _SNAPSHOT:
            # A snapshot has all resources of any revision. It is sent if the
            # history no longer includes the requested revision.
            self._revision = max(self._revision, revision)
            return line
        if revision < self._revision or line in self._printed:
            return None
        if revision > self._revision:
            self._printed.clear()
        self._revision = revision
        self._printed.add(line)
        return line


class WatchCommand(OperatorCommand):
    """Prints events as JSON lines; reconnects when the stream ends."""

    name = 'watch'
    summary = 'print changes as JSON lines as they happen'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the first revision and the number of events."""
        parser.add_argument(
            '--from',
            dest='revision',
            type=int,
            default=0,
            metavar='REVISION',
            help='print changes after this revision (default: all)',
        )
        parser.add_argument(
            '--count', type=int, help='stop after this many events'
        )
        super().add_arguments(parser)

    def operate(
        self, client: OperatorClient, args: Namespace, console: Console
    ) -> int:
        """Print events until interrupted or ``--count`` is reached."""
        lines = _watch_lines(client, EventCursor(args.revision))
        for line in itertools.islice(lines, args.count):
            console.write(line)
        return OK


def _watch_lines(client: OperatorClient, cursor: EventCursor) -> Iterator[str]:
    for _ in itertools.count():
        for event in client.watch(cursor.resume_from):
            line = cursor.format_if_new(event)
            if line is not None:
                yield line
        time.sleep(_RECONNECT_DELAY_S)
