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

_RECONNECT_WAIT_S: Final = 0.2
_SNAPSHOT: Final = 'snapshot'


class EventCursor:
    """Remembers what was printed, so that a reconnect repeats no event.

    A snapshot is printed whole whenever the control host sends one.

    Parameters
    ----------
    revision : int
        Revision after which events are wanted.
    """

    __slots__ = ('_printed', '_revision')

    def __init__(self, revision: int) -> None:
        """Start after the revision."""
        self._revision = revision
        self._printed: set[str] = set()

    @property
    def resume_from(self) -> int:
        """Revision to ask for when connecting.

        A connection can end between two events of one revision, so the
        last revision is asked for again.
        """
        return self._revision - 1 if self._printed else self._revision

    def take(self, event: dict[str, Any]) -> str | None:
        """Give the event's line, or None if it was printed already."""
        line = json.dumps(event, sort_keys=True)
        revision = int(event['resource']['revision'])
        if event['op'] == _SNAPSHOT:
            # All resources, of any revision, because the history no longer
            # reaches back to the revision asked for.
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
    """Prints events as JSON lines and reconnects when the stream ends."""

    name = 'watch'
    summary = 'print changes as JSON lines as they happen'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare where to start and when to stop."""
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
        """Print events until interrupted or enough are printed."""
        lines = _new_lines(client, EventCursor(args.revision))
        for line in itertools.islice(lines, args.count):
            console.write(line)
        return OK


def _new_lines(client: OperatorClient, cursor: EventCursor) -> Iterator[str]:
    for _ in itertools.count():
        for event in client.watch(cursor.resume_from):
            line = cursor.take(event)
            if line is not None:
                yield line
        time.sleep(_RECONNECT_WAIT_S)
