"""``apricotcart version``: print the version."""

from __future__ import annotations

import platform
from argparse import Namespace

from apricotcart.commands.api import Command
from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK
from apricotcart.package_version import VERSION


class VersionCommand(Command):
    """Prints the versions of apricotcart and Python."""

    name = 'version'
    summary = 'print the version'

    def run(self, args: Namespace, console: Console) -> int:
        """Print the version."""
        console.write(
            f'apricotcart {VERSION} (Python {platform.python_version()})',
        )
        return OK
