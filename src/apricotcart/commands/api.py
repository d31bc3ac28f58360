"""Interface of the subcommands."""

from __future__ import annotations

from abc import ABC, abstractmethod
from argparse import ArgumentParser, Namespace
from typing import ClassVar

from apricotcart.commands.console import Console


class Command(ABC):
    """One subcommand of ``apricotcart``."""

    name: ClassVar[str]
    summary: ClassVar[str]

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the arguments; none by default."""

    @abstractmethod
    def run(self, args: Namespace, console: Console) -> int:
        """Run the command and return its exit code.

        Raises
        ------
        ApricotcartError
            If it fails; the error's type decides the exit code.
        """
