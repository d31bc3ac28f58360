"""Identities of control hosts: name and incarnation."""

from __future__ import annotations

import uuid

_SEPARATOR = '.'
FIRST_INCARNATION = '0'
_INCARNATION_DIGITS = 8


def node_id(name: str, incarnation: str) -> str:
    """Give the identity of one incarnation of a host."""
    return f'{name}{_SEPARATOR}{incarnation}'


def host_name(identity: str) -> str:
    """Give the name of the host that an identity belongs to."""
    return identity.rpartition(_SEPARATOR)[0]


def first_identity(name: str) -> str:
    """Give the identity of a first voter of a new cluster."""
    return node_id(name, FIRST_INCARNATION)


def new_identity(name: str) -> str:
    """Give an identity that was never used before.

    A host that starts on an empty folder may have voted and acknowledged
    entries that it no longer holds, so it must not return as itself.
    """
    return node_id(name, uuid.uuid4().hex[:_INCARNATION_DIGITS])
