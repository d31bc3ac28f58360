"""Files that declare many resources, in JSON or INI."""

from __future__ import annotations

import configparser
import json
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

from apricotcart.codec.record import Record
from apricotcart.errors.tree import InvalidResourceError
from apricotcart.state.specs import SPECS

#: Kinds in the order in which they refer to each other.
KINDS: Final = tuple(SPECS)
_JSON_START: Final = re.compile(r'\s*(?:\{|\[\s*(?:\{|\]))')
_FIELDS: Final = frozenset(('kind', 'name', 'spec', 'version'))
_NOT_A_MAPPING: Final = 'is not a mapping'
# Fields that a control host adds; a file written by ``list`` has them.
_ADDED_FIELDS: Final = frozenset(('revision', 'status'))


class DeclaredResource(Record):
    """A resource as a file declares it.

    Parameters
    ----------
    kind, name : str
        Which resource it is.
    spec : dict
        What it shall be.
    version : int or None
        The version that the change is made for; None for the current one.
    """

    __slots__ = ('kind', 'name', 'spec', 'version')

    def __init__(
        self,
        *,
        kind: str,
        name: str,
        spec: dict[str, Any],
        version: int | None = None,
    ) -> None:
        """Keep the fields."""
        self.kind = kind
        self.name = name
        self.spec = spec
        self.version = version


def read_resources(path: str) -> list[DeclaredResource]:
    """Read a resource file.

    A JSON file holds a list of ``{kind, name, spec}`` or a mapping with that
    list as ``resources``. An INI file has a section ``[kind name]`` for each
    resource, whose values are JSON, or else text.

    Raises
    ------
    InvalidResourceError
        If anything is wrong; ``context['faults']`` lists every fault.
    """
    try:
        text = Path(path).read_text('utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise _invalid(path, [('', f'cannot be read: {exc}')]) from exc
    if _JSON_START.match(text):
        listed = _from_json(path, text)
    else:
        listed = _from_ini(path, text)
    faults = list(_faults(listed))
    if faults:
        raise _invalid(path, faults)
    return [
        DeclaredResource(
            kind=fields['kind'],
            name=fields['name'],
            spec=fields['spec'],
            version=fields.get('version'),
        )
        for fields in listed
    ]


def _from_json(path: str, text: str) -> list[Any]:
    try:
        document = json.loads(text)
    except ValueError as exc:
        raise _invalid(path, [('', f'is not JSON: {exc}')]) from exc
    if isinstance(document, dict):
        document = document.get('resources')
    if not isinstance(document, list):
        raise _invalid(path, [('resources', 'is not a list')])
    return document


def _from_ini(path: str, text: str) -> list[Any]:
    parser = configparser.ConfigParser(default_section='\n', interpolation=None)
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text, source=path)
    except configparser.Error as exc:
        reason = ' '.join(str(exc).split())
        raise _invalid(path, [('', f'is not INI: {reason}')]) from exc
    return [
        _from_section(title, dict(parser[title])) for title in parser.sections()
    ]


def _from_section(title: str, options: dict[str, str]) -> dict[str, Any]:
    kind, _, name = title.partition(' ')
    spec = {key: _ini_value(text) for key, text in options.items()}
    return {'kind': kind, 'name': name.strip(), 'spec': spec}


def _ini_value(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text


def _faults(listed: list[Any]) -> Iterator[tuple[str, str]]:
    seen: set[str] = set()
    for position, fields in enumerate(listed):
        place = f'resources[{position}]'
        if not isinstance(fields, dict):
            yield place, _NOT_A_MAPPING
            continue
        yield from _field_faults(place, fields)
        identity = _title(fields)
        if identity in seen:
            yield place, f'{identity} is declared twice'
        seen.add(identity)


def _title(fields: dict[str, Any]) -> str:
    kind = fields.get('kind')
    name = fields.get('name')
    return f'{kind} {name}'


def _field_faults(
    place: str, fields: dict[str, Any]
) -> Iterator[tuple[str, str]]:
    if fields.get('kind') not in KINDS:
        known = ', '.join(KINDS)
        yield f'{place}.kind', f'is not one of {known}'
    name = fields.get('name')
    if not (isinstance(name, str) and name):
        yield f'{place}.name', 'is not a name'
    yield from _spec_faults(place, fields)
    if not isinstance(fields.get('version'), int | None):
        yield f'{place}.version', 'is not a whole number'
    for extra in fields.keys() - _FIELDS - _ADDED_FIELDS:
        yield f'{place}.{extra}', 'is not a known field'


def _spec_faults(
    place: str, fields: dict[str, Any]
) -> Iterator[tuple[str, str]]:
    schema = SPECS.get(str(fields.get('kind')))
    if schema is None:
        return
    _, faults = schema.normalize(fields.get('spec'), f'{place}.spec')
    for fault in faults:
        yield fault.path, fault.message


def _invalid(path: str, faults: list[tuple[str, str]]) -> InvalidResourceError:
    return InvalidResourceError(
        '\n'.join(f'{path} {place}: {message}' for place, message in faults),
        faults=[
            {'path': place, 'message': message} for place, message in faults
        ],
    )
