"""Exit codes of the subcommands."""

from __future__ import annotations

from typing import Final

from apricotcart.errors.tree import (
    ApricotcartError,
    InvalidResourceError,
    NotLeaderError,
    SettingsError,
    UnavailableError,
    VersionConflictError,
)
from apricotcart.storage.failures import (
    DirectoryInUseError,
    IdentityMismatchError,
)

OK: Final = 0
FAILURE: Final = 1
USAGE: Final = 2
INVALID: Final = 3
CONFLICT: Final = 4
UNREACHABLE: Final = 5

EXPLANATION: Final = (
    'exit codes: 0 ok, 1 failure, 2 wrong usage, 3 invalid settings or'
    ' resources, 4 conflict with the current state, 5 no control host could'
    ' be reached in time'
)

_BY_ERROR: Final = (
    (SettingsError, INVALID),
    (InvalidResourceError, INVALID),
    (VersionConflictError, CONFLICT),
    (IdentityMismatchError, CONFLICT),
    (DirectoryInUseError, CONFLICT),
    (UnavailableError, UNREACHABLE),
    (NotLeaderError, UNREACHABLE),
)


def exit_code_of(exc: ApricotcartError) -> int:
    """Return the exit code for a failure."""
    for error_type, exit_code in _BY_ERROR:
        if isinstance(exc, error_type):
            return exit_code
    return FAILURE
