"""``apricotcart version``: print the version."""

from __future__ import annotations

import platform
from argparse import Namespace
from importlib.metadata import PackageNotFoundError
from importlib.metadata import version as installed_version

from apricotcart.commands.api import Command
from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK

_PACKAGE = 'apricotcart'


class VersionCommand(Command):
    """Prints the versions of apricotcart and of its Python."""

    name = 'version'
    summary = 'print the version'

    def run(self, args: Namespace, console: Console) -> int:
        """Print the version."""
        console.write(
            f'{_PACKAGE} {package_version()}'
            f' (Python {platform.python_version()})',
        )
        return OK


def package_version() -> str:
    """Give the version of the installed package."""
    try:
        return installed_version(_PACKAGE)
    except PackageNotFoundError:
        return 'development'
