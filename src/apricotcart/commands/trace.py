"""``apricotcart trace``: show one trace as a tree."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace

from apricotcart.commands.api import Command
from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK
from apricotcart.errors.tree import NotFoundError
from apricotcart.observability.trace_reader import read_trace


class TraceCommand(Command):
    """Reads span files and prints the spans of one trace."""

    name = 'trace'
    summary = 'show one trace as a tree'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the span files and the trace."""
        parser.add_argument(
            '--file',
            action='append',
            required=True,
            metavar='FILE',
            help='span file of a host (may be given several times)',
        )
        parser.add_argument(
            'id', metavar='ID', help='trace id or traceparent header'
        )

    def run(self, args: Namespace, console: Console) -> int:
        """Print the trace."""
        try:
            trace = read_trace(args.file, args.id)
        except OSError as exc:
            raise NotFoundError(f'{exc.filename}: {exc.strerror}') from exc
        console.write(trace.format_tree())
        return OK
