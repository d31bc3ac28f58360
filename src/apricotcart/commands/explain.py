"""``apricotcart explain``: show the decisions about one request."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

from apricotcart.commands.api import Command
from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK
from apricotcart.errors.tree import NotFoundError
from apricotcart.observability.story import read_request_events


class ExplainCommand(Command):
    """Reads log files and prints the decisions about one request in order."""

    name = 'explain'
    summary = 'show the decisions of all hosts about one request'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the log files and the request."""
        parser.add_argument(
            '--file',
            action='append',
            required=True,
            metavar='FILE',
            help='log file of a host (may be given several times)',
        )
        parser.add_argument('id', metavar='ID', help='id of the request')

    def run(self, args: Namespace, console: Console) -> int:
        """Print the decisions.

        Raises
        ------
        NotFoundError
            If a file cannot be read or no line refers to the request.
        """
        lines: list[str] = []
        for path in args.file:
            lines.extend(_read_lines(path))
        story = read_request_events(lines, args.id)
        if not story:
            raise NotFoundError(f'no log line refers to request {args.id}')
        for line in story:
            console.write(str(line))
        return OK


def _read_lines(path: str) -> list[str]:
    try:
        with open(path, encoding='utf-8', errors='replace') as stream:
            return stream.readlines()
    except OSError as exc:
        raise NotFoundError(f'{exc.filename}: {exc.strerror}') from exc
