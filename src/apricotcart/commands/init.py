"""``apricotcart init``: make this host a first voter of a new cluster."""

from __future__ import annotations

from argparse import ArgumentParser, Namespace
from pathlib import Path

from apricotcart.commands.api import Command
from apricotcart.commands.console import Console
from apricotcart.commands.exit_codes import OK
from apricotcart.errors.tree import SettingsError, VersionConflictError
from apricotcart.settings.control import ControlConfig
from apricotcart.settings.identity import HostIdentity


class InitCommand(Command):
    """Writes the identity of a first voter into an empty data folder.

    Run it once on each host that [peers] lists when a cluster is created,
    and never again: a host that lost its data folder must join as a new
    member, because its old identity may have voted and acknowledged entries
    that are lost.
    """

    name = 'init'
    summary = 'make this host a first voter of a new cluster (run once)'

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Declare the settings file."""
        parser.add_argument(
            '--settings',
            required=True,
            metavar='FILE',
            help="the control host's settings file",
        )

    def run(self, args: Namespace, console: Console) -> int:
        """Write the identity unless the folder holds anything."""
        cfg = ControlConfig.from_file(args.settings)
        identity = HostIdentity.first(cfg)
        if identity.name not in identity.voters:
            raise SettingsError(
                f'{args.settings} [peers]: does not list {identity.name}',
            )
        folder = Path(cfg.data.folder)
        if folder.is_dir() and any(folder.iterdir()):
            raise VersionConflictError(f'{folder} is not empty')
        identity.save(cfg.data.folder)
        voters = ', '.join(sorted(identity.voters))
        console.write(
            f'{identity.name} is a first voter of {identity.cluster}'
            f' with the voters {voters}',
        )
        return OK
