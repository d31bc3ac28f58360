"""Errors of the data directory."""

from __future__ import annotations

from apricotcart.errors.tree import StorageError


class DiskError(StorageError):
    """A disk operation failed."""

    code = 'disk'


class DiskFullError(DiskError):
    """The disk has no space left."""

    code = 'disk_full'


class DamagedStoreError(StorageError):
    """Durable data is damaged; the host must not start from it."""

    code = 'damaged_store'


class DirectoryInUseError(StorageError):
    """Another process has locked the data directory."""

    code = 'directory_in_use'


class IdentityMismatchError(StorageError):
    """The data directory belongs to another host."""

    code = 'identity_mismatch'
