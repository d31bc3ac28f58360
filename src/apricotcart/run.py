"""Entry point of the ``apricotcart`` program."""

from __future__ import annotations

import argparse
import inspect
from collections.abc import Sequence
from typing import Final

from apricotcart.commands.api import Command
from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import EXPLANATION, OK, exit_code_of
from apricotcart.commands.registry import COMMANDS
from apricotcart.errors.tree import ApricotcartError

# Width of the column of subcommand names in the help, in characters.
_COLUMN_WIDTH_CHARS: Final = 16


def run(arguments: Sequence[str] | None = None) -> int:
    """Run the subcommand that the arguments name; return its exit code."""
    args = build_parser().parse_args(arguments)
    command: Command = args.command
    console = Console()
    try:
        return command.run(args, console)
    except ApricotcartError as exc:
        console.error(exc.message)
        return exit_code_of(exc)
    except (KeyboardInterrupt, BrokenPipeError):
        # Not a failure: the operator interrupted the program, or the reader of
        # the output closed the pipe.
        return OK


class CommandHelpFormatter(argparse.HelpFormatter):
    """Help formatter whose first column fits the longest subcommand.

    argparse ignores the indent of subcommands when it computes the width of
    that column.
    """

    def __init__(self, prog: str) -> None:
        """Widen the first column."""
        super().__init__(prog)
        self._action_max_length = _COLUMN_WIDTH_CHARS


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all subcommands."""
    parser = argparse.ArgumentParser(
        prog='apricotcart',
        description='Route language-model traffic by service level.',
        formatter_class=CommandHelpFormatter,
        epilog=EXPLANATION,
    )
    subparsers = parser.add_subparsers(required=True, metavar='COMMAND')
    for command_class in COMMANDS:
        _add_command(subparsers, command_class())
    return parser


def _add_command(
    subparsers: argparse._SubParsersAction[argparse.ArgumentParser],
    command: Command,
) -> None:
    parser = subparsers.add_parser(
        command.name,
        help=command.summary,
        description=inspect.getdoc(type(command)),
        epilog=EXPLANATION,
    )
    command.add_arguments(parser)
    parser.set_defaults(command=command)
