"""``apricotcart check``: validate a settings or resource file."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from apricotcart.commands.api import Command
from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK
from apricotcart.commands.resources_file import read_resources
from apricotcart.settings.control import ControlConfig
from apricotcart.settings.entry import EntryConfig

_Reader = Callable[[str], Any]

_READERS: Final[Mapping[str, _Reader]] = MappingProxyType(
    {
        'entry': EntryConfig.from_file,
        'control': ControlConfig.from_file,
        'resources': read_resources,
    }
)


class CheckCommand(Command):
    """Validates a file and reports every fault in it.

    References between resources, and to resources that only the cluster
    stores, are checked by the control host on ``apply``.
    """

    name = 'check'
    summary = 'validate a settings or resource file without a control host'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the type and the path of the file."""
        parser.add_argument('kind', choices=tuple(_READERS))
        parser.add_argument('file', metavar='FILE')

    def run(self, args: Namespace, console: Console) -> int:
        """Validate the file."""
        _READERS[args.kind](args.file)
        console.write(f'{args.file}: ok')
        return OK
