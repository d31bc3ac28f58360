"""Names of hosts in the identities of the replicated log."""

from __future__ import annotations

_SEPARATOR = '.'
# First voters share one known incarnation, so that each of them can write
# the same list of voters on its own.
FIRST_INCARNATION = '0'


def first_node_id(name: str) -> str:
    """Give the identity of a first voter of a new cluster."""
    return f'{name}{_SEPARATOR}{FIRST_INCARNATION}'


def host_name(node_id: str) -> str:
    """Give the name of the host that an identity belongs to."""
    return node_id.rpartition(_SEPARATOR)[0]
