"""Identity of a control host, kept in its data directory."""

from __future__ import annotations

import random

from apricotcart.codec.record import Record
from apricotcart.storage.disk import Disk
from apricotcart.storage.documents import DocumentFile
from apricotcart.storage.failures import (
    DamagedStoreError,
    IdentityMismatchError,
)

_FILE_NAME = 'identity'
_INCARNATION_BITS = 64


class Identity(Record):
    """Name of a host and the incarnation of its data directory.

    A host whose directory was lost comes back under the same name with
    another incarnation, so that nobody takes it for the old voter.
    """

    __slots__ = ('incarnation', 'name')

    def __init__(self, *, name: str, incarnation: str) -> None:
        """Keep the fields."""
        self.name = name
        self.incarnation = incarnation

    @property
    def node_id(self) -> str:
        """Identity in the replicated log."""
        return f'{self.name}.{self.incarnation}'


def read_identity(disk: Disk) -> Identity | None:
    """Read the identity, or None where the directory is empty.

    Raises
    ------
    DamagedStoreError
        If it is damaged, or missing from a directory that is in use.
    """
    fields = DocumentFile(disk, _FILE_NAME).read()
    if fields is not None:
        return Identity.from_wire(fields)
    # An interrupted `initialise` leaves a snapshot only, which is harmless.
    if any(_is_of_voter(name) for name in disk.names()):
        raise DamagedStoreError('the identity file is missing')
    return None


def write_identity(disk: Disk, identity: Identity) -> None:
    """Write the identity of a new data directory.

    Raises
    ------
    IdentityMismatchError
        If the directory has an identity already.
    """
    held = read_identity(disk)
    if held is not None:
        raise _mismatch()
    DocumentFile(disk, _FILE_NAME).write(identity.to_wire())


def open_identity(disk: Disk, name: str, rng: random.Random) -> Identity:
    """Read the identity, or take a new incarnation in an empty directory.

    Raises
    ------
    IdentityMismatchError
        If the directory belongs to a host of another name.
    """
    held = read_identity(disk)
    if held is None:
        bits = rng.getrandbits(_INCARNATION_BITS)
        incarnation = format(bits, 'x')
        held = Identity(name=name, incarnation=incarnation)
        write_identity(disk, held)
    if held.name != name:
        raise _mismatch()
    return held


def _is_of_voter(name: str) -> bool:
    return name == 'vote' or name.startswith('log-')


def _mismatch() -> IdentityMismatchError:
    return IdentityMismatchError('the directory is of another host')
