"""Reader of JSON and INI files that declare resources."""

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

#: Kinds, referenced kinds first.
KINDS: Final = tuple(SPECS)
_JSON_START: Final = re.compile(r'\s*(?:\{|\[\s*(?:\{|\]))')
_FIELDS: Final = frozenset(('kind', 'name', 'spec', 'version'))
_NOT_A_MAPPING: Final = 'is not a mapping'
# Fields that a control host adds, which the output of ``list`` includes.
_SERVER_FIELDS: Final = frozenset(('revision', 'status'))


class DeclaredResource(Record):
    """A resource as a file declares it.

    Parameters
    ----------
    kind, name : str
        Kind and name of the resource.
    spec : dict
        Desired spec.
    version : int or None
        Version that the change expects; None for the current one.
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
        self.kind = kind
        self.name = name
        self.spec = spec
        self.version = version


def read_resources(path: str) -> list[DeclaredResource]:
    """Read a resource file.

    A JSON file contains a list of ``{kind, name, spec}`` objects, or an object
    with that list as ``resources``. An INI file has one ``[kind name]`` section
    per resource; values that are not valid JSON are read as text.

    Raises
    ------
    InvalidResourceError
        If the file has faults; ``context['faults']`` lists all of them.
    """
    try:
        text = Path(path).read_text('utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        raise _invalid_file_error(
            path, [('', f'cannot be read: {exc}')]
        ) from exc
    if _JSON_START.match(text):
        declared = _parse_json(path, text)
    else:
        declared = _parse_ini(path, text)
    faults = list(_find_faults(declared))
    if faults:
        raise _invalid_file_error(path, faults)
    return [
        DeclaredResource(
            kind=fields['kind'],
            name=fields['name'],
            spec=fields['spec'],
            version=fields.get('version'),
        )
        for fields in declared
    ]


def _parse_json(path: str, text: str) -> list[Any]:
    try:
        document = json.loads(text)
    except ValueError as exc:
        raise _invalid_file_error(path, [('', f'is not JSON: {exc}')]) from exc
    if isinstance(document, dict):
        document = document.get('resources')
    if not isinstance(document, list):
        raise _invalid_file_error(path, [('resources', 'is not a list')])
    return document


def _parse_ini(path: str, text: str) -> list[Any]:
    parser = configparser.ConfigParser(default_section='\n', interpolation=None)
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text, source=path)
    except configparser.Error as exc:
        reason = ' '.join(str(exc).split())
        raise _invalid_file_error(
            path, [('', f'is not INI: {reason}')]
        ) from exc
    return [
        _parse_section(title, dict(parser[title]))
        for title in parser.sections()
    ]


def _parse_section(title: str, options: dict[str, str]) -> dict[str, Any]:
    kind, _, name = title.partition(' ')
    spec = {key: _parse_ini_value(text) for key, text in options.items()}
    return {'kind': kind, 'name': name.strip(), 'spec': spec}


def _parse_ini_value(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text


def _find_faults(declared: list[Any]) -> Iterator[tuple[str, str]]:
    seen: set[str] = set()
    for position, fields in enumerate(declared):
        location = f'resources[{position}]'
        if not isinstance(fields, dict):
            yield location, _NOT_A_MAPPING
            continue
        yield from _find_field_faults(location, fields)
        resource_id = _resource_id(fields)
        if resource_id in seen:
            yield location, f'{resource_id} is declared twice'
        seen.add(resource_id)


def _resource_id(fields: dict[str, Any]) -> str:
    kind = fields.get('kind')
    name = fields.get('name')
    return f'{kind} {name}'


def _find_field_faults(
    location: str, fields: dict[str, Any]
) -> Iterator[tuple[str, str]]:
    if fields.get('kind') not in KINDS:
        known = ', '.join(KINDS)
        yield f'{location}.kind', f'is not one of {known}'
    name = fields.get('name')
    if not (isinstance(name, str) and name):
        yield f'{location}.name', 'is not a non-empty string'
    yield from _find_spec_faults(location, fields)
    if not isinstance(fields.get('version'), int | None):
        yield f'{location}.version', 'is not an integer'
    for unknown in fields.keys() - _FIELDS - _SERVER_FIELDS:
        yield f'{location}.{unknown}', 'is not a known field'


def _find_spec_faults(
    location: str, fields: dict[str, Any]
) -> Iterator[tuple[str, str]]:
    schema = SPECS.get(str(fields.get('kind')))
    if schema is None:
        return
    _, faults = schema.normalize(fields.get('spec'), f'{location}.spec')
    for fault in faults:
        yield fault.path, fault.message


def _invalid_file_error(
    path: str, faults: list[tuple[str, str]]
) -> InvalidResourceError:
    return InvalidResourceError(
        '\n'.join(
            f'{path} {location}: {message}' for location, message in faults
        ),
        faults=[
            {'path': location, 'message': message}
            for location, message in faults
        ],
    )
