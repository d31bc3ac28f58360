"""The identity file in a control host's data folder."""

from __future__ import annotations

import json
import os
from contextlib import ExitStack
from pathlib import Path
from typing import Final, Self

from apricotcart.codec.record import Record
from apricotcart.errors.tree import StorageError, VersionConflictError
from apricotcart.settings.control import ControlConfig

FIRST_INCARNATION: Final = '0'

_FILE_NAME: Final = 'identity.json'


class HostIdentity(Record):
    """Who a control host is in its cluster.

    Parameters
    ----------
    cluster, name : str
        Names of the cluster and of the host.
    incarnation : str
        Changes whenever the host starts on an empty folder.
    voters : dict of str to str
        Names and addresses of the first voters; empty on a host that
        joins an existing cluster.
    """

    __slots__ = ('cluster', 'incarnation', 'name', 'voters')

    def __init__(
        self,
        *,
        cluster: str,
        name: str,
        incarnation: str,
        voters: dict[str, str],
    ) -> None:
        """Keep the fields."""
        self.cluster = cluster
        self.name = name
        self.incarnation = incarnation
        self.voters = voters

    @classmethod
    def first(cls, cfg: ControlConfig) -> Self:
        """Give the identity of a first voter of a new cluster."""
        return cls(
            cluster=cfg.cluster.name,
            name=cfg.host.name,
            incarnation=FIRST_INCARNATION,
            voters=cfg.peers.voters,
        )

    @classmethod
    def load(cls, folder: str) -> Self | None:
        """Read the identity, or give None if the folder has none.

        Raises
        ------
        StorageError
            If the file cannot be read or understood.
        """
        path = Path(folder, _FILE_NAME)
        try:
            return cls.from_wire(json.loads(path.read_text('utf-8')))
        except FileNotFoundError:
            return None
        except (OSError, ValueError, TypeError) as exc:
            raise StorageError(f'{path}: {exc}') from exc

    def save(self, folder: str) -> None:
        """Write the identity durably into a folder that has none.

        Raises
        ------
        VersionConflictError
            If the folder has an identity already.
        StorageError
            If it cannot be written.
        """
        target = Path(folder, _FILE_NAME)
        try:
            _write_new(target, json.dumps(self.to_wire(), indent=2))
        except FileExistsError:
            raise VersionConflictError(f'{target} exists already') from None
        except OSError as exc:
            raise StorageError(f'{target}: {exc.strerror}') from exc


def _write_new(target: Path, text: str) -> None:
    target.parent.mkdir(parents=True, exist_ok=True)
    draft = target.with_suffix(f'.{os.getpid()}')
    with draft.open('w', encoding='utf-8') as stream:
        stream.write(text)
        stream.flush()
        os.fsync(stream.fileno())
    with ExitStack() as stack:
        stack.callback(draft.unlink)
        # A link, unlike a rename, fails if the target exists.
        os.link(draft, target)
    _sync_folder(target.parent)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    with ExitStack() as stack:
        stack.callback(os.close, descriptor)
        os.fsync(descriptor)
