"""Commands to the replicated state that change resources.

This module alone defines the names of their fields.
"""

from __future__ import annotations

from typing import Any


def apply_endpoint(
    op_id: str,
    name: str,
    expected_version: int,
    spec: dict[str, Any],
) -> dict[str, Any]:
    """Return a command to create (version 0) or change an endpoint."""
    change = {
        'kind': 'endpoint',
        'name': name,
        'expected_version': expected_version,
        'spec': spec,
    }
    return {'kind': 'apply', 'op_id': op_id, 'changes': [change]}


def delete_endpoint(
    op_id: str,
    name: str,
    expected_version: int,
) -> dict[str, Any]:
    """Return a command to delete an ``endpoint`` resource."""
    return {
        'kind': 'delete',
        'op_id': op_id,
        'resource_kind': 'endpoint',
        'name': name,
        'expected_version': expected_version,
    }


def set_status(
    resource_kind: str,
    name: str,
    status: dict[str, Any],
) -> dict[str, Any]:
    """Return a command to set the status of a resource."""
    return {
        'kind': 'set_status',
        'resource_kind': resource_kind,
        'name': name,
        'status': status,
    }
