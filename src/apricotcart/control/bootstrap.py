"""Bootstrap of the first voters of a new cluster."""

from __future__ import annotations

from pathlib import Path
from typing import Final

from apricotcart.consensus.identity import FIRST_INCARNATION, first_node_id
from apricotcart.consensus.members import Members
from apricotcart.errors.tree import SettingsError, VersionConflictError
from apricotcart.settings.control import ControlConfig
from apricotcart.storage.identity import Identity
from apricotcart.storage.log_store import initialize_directory
from apricotcart.storage.real_disk import RealDisk

# The single-file program unpacks itself into this folder before it starts. The
# launcher uses the same name.
_PROGRAM_FOLDER: Final = 'runtime'


def bootstrap_voter(cfg: ControlConfig) -> list[str]:
    """Initialize the data folder of a first voter and return all voters.

    Raises
    ------
    SettingsError
        If the settings do not list this host as a voter.
    VersionConflictError
        If the data folder contains more than the unpacked program.
    StorageError
        If the folder is in use or cannot be written.
    """
    name = cfg.host.name
    if name not in cfg.peers.voters:
        raise SettingsError(f'[peers] does not list the voter {name}')
    folder = Path(cfg.data.folder)
    if folder.is_dir() and any(map(_is_foreign, folder.iterdir())):
        raise VersionConflictError(
            f'{folder} contains files other than the unpacked program'
        )
    members = Members(voters=[first_node_id(peer) for peer in cfg.peers.voters])
    disk = RealDisk(folder)
    identity = Identity(name=name, incarnation=FIRST_INCARNATION)
    initialize_directory(disk, identity, members)
    disk.close()
    return members.voters


def _is_foreign(path: Path) -> bool:
    return path.name != _PROGRAM_FOLDER
