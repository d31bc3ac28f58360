"""Identity of a control host, stored in its data directory."""

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
    """Name of a host and incarnation of its data directory.

    A host that lost its data directory restarts with the same name and a new
    incarnation, so that the other nodes do not mistake it for the old voter.
    """

    __slots__ = ('incarnation', 'name')

    def __init__(self, *, name: str, incarnation: str) -> None:
        self.name = name
        self.incarnation = incarnation

    @property
    def node_id(self) -> str:
        """Node identity in the replicated log: name, dot, incarnation."""
        return f'{self.name}.{self.incarnation}'


def read_identity(disk: Disk) -> Identity | None:
    """Return the stored identity, or None if there is none yet.

    Raises
    ------
    DamagedStoreError
        If the identity file is damaged, or missing from a directory that
        already has a vote or a log.
    """
    fields = DocumentFile(disk, _FILE_NAME).read()
    if fields is not None:
        return Identity.from_wire(fields)
    # An interrupted `initialize_directory` leaves at most a snapshot, which is
    # harmless.
    if any(_requires_identity(name) for name in disk.file_names()):
        raise DamagedStoreError(
            'the identity file is missing, but there is a vote or a log'
        )
    return None


def write_identity(disk: Disk, identity: Identity) -> None:
    """Store the identity in a new data directory.

    Raises
    ------
    IdentityMismatchError
        If the directory already has an identity.
    """
    stored = read_identity(disk)
    if stored is not None:
        raise _identity_mismatch()
    DocumentFile(disk, _FILE_NAME).write(identity.to_wire())


def open_identity(disk: Disk, name: str, rng: random.Random) -> Identity:
    """Return the stored identity, or create one with a new incarnation.

    Raises
    ------
    IdentityMismatchError
        If the directory belongs to a host with another name.
    """
    stored = read_identity(disk)
    if stored is None:
        bits = rng.getrandbits(_INCARNATION_BITS)
        incarnation = format(bits, 'x')
        stored = Identity(name=name, incarnation=incarnation)
        write_identity(disk, stored)
    if stored.name != name:
        raise _identity_mismatch()
    return stored


def _requires_identity(name: str) -> bool:
    return name == 'vote' or name.startswith('log-')


def _identity_mismatch() -> IdentityMismatchError:
    return IdentityMismatchError('the data directory belongs to another host')
