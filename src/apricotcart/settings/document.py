"""Reads the sections of a settings file and collects their faults."""

from __future__ import annotations

import configparser
from collections.abc import Mapping
from pathlib import Path
from typing import Any, ClassVar, Self, TypeVar

from apricotcart.codec.record import Record
from apricotcart.errors.tree import SettingsError
from apricotcart.settings.kinds import FieldError, Kind

# Disables configparser's default section: no title can contain a line break, so
# that [DEFAULT] is reported as an unknown section.
_UNUSED_DEFAULT_SECTION = '\n'


class Field:
    """One key of a section.

    Parameters
    ----------
    name : str
        Key in the file and attribute of the section's class.
    kind : Kind
        Parser of the text of the key.
    default : str or None
        Text used if the key is missing; None if the key is required.
    optional : bool
        Whether the key may be missing or empty; its value is then None.
    """

    __slots__ = ('default', 'kind', 'name', 'optional')

    def __init__(
        self,
        name: str,
        kind: Kind,
        default: str | None = None,
        *,
        optional: bool = False,
    ) -> None:
        self.name = name
        self.kind = kind
        self.default = default
        self.optional = optional


class Fault(Record):
    """One fault in a settings file."""

    __slots__ = ('file', 'key', 'message', 'section')

    def __init__(
        self, *, file: str, section: str, key: str, message: str
    ) -> None:
        self.file = file
        self.section = section
        self.key = key
        self.message = message

    def __str__(self) -> str:
        """Return file, section and key, then the message."""
        title = f'[{self.section}]' if self.section else ''
        parts = filter(None, (self.file, title, self.key))
        location = ' '.join(parts)
        return f'{location}: {self.message}'


class Section:
    """Base class of the values of one section.

    A subclass lists the same names in ``__slots__`` and ``fields``.
    """

    __slots__: tuple[str, ...] = ()

    title: ClassVar[str]
    fields: ClassVar[tuple[Field, ...]]

    def __init__(self, **settings: Any) -> None:
        for name in self.__slots__:
            setattr(self, name, settings[name])

    @classmethod
    def read(cls, reader: SectionReader) -> Self:
        """Read all fields of the section."""
        return cls(
            **{field.name: reader.read_field(field) for field in cls.fields}
        )

    def faults(self) -> dict[str, str]:
        """Return the faults of fields that contradict each other, by key."""
        return {}


SectionT = TypeVar('SectionT', bound=Section)


class SectionReader:
    """Parses the fields of one section and reports their faults."""

    __slots__ = ('_document', '_options', '_read_keys', '_title')

    def __init__(
        self,
        document: Document,
        title: str,
        options: Mapping[str, str],
    ) -> None:
        self._document = document
        self._title = title
        self._options = options
        self._read_keys: set[str] = set()

    def read_field(self, field: Field) -> Any:
        """Return the field's value, or None after adding a fault."""
        self._read_keys.add(field.name)
        text = self._options.get(field.name, field.default or '').strip()
        if not text:
            if not field.optional:
                self._document.add_fault(self._title, field.name, 'is missing')
            return None
        try:
            return field.kind.parse(text, self._document.folder)
        except FieldError as exc:
            self._document.add_fault(self._title, field.name, exc.message)
        return None

    def unread_keys(self) -> list[str]:
        """Return the keys that no field has read."""
        return [name for name in self._options if name not in self._read_keys]


class Document:
    """A settings file that is being read, with the faults found so far."""

    __slots__ = ('_file', '_known_titles', '_sections', 'faults', 'folder')

    def __init__(
        self, file: str, sections: Mapping[str, Mapping[str, str]]
    ) -> None:
        self._file = file
        self._sections = sections
        self._known_titles: set[str] = set()
        self.folder = Path(file).absolute().parent
        self.faults: list[Fault] = []

    @classmethod
    def from_file(cls, path: str) -> Self:
        """Read the file and split it into sections.

        Raises
        ------
        SettingsError
            If the file cannot be read or is not an INI file.
        """
        parser = configparser.ConfigParser(
            default_section=_UNUSED_DEFAULT_SECTION, interpolation=None
        )
        # Keeps the case of keys, since host names are keys in [peers].
        parser.optionxform = str  # type: ignore[assignment, method-assign]
        try:
            parser.read_string(Path(path).read_text('utf-8'), source=path)
        except (OSError, UnicodeDecodeError, configparser.Error) as exc:
            reason = ' '.join(str(exc).split())
            fault = Fault(file=path, section='', key='', message=reason)
            raise settings_error([fault]) from exc
        titles = parser.sections()
        return cls(path, {title: dict(parser[title]) for title in titles})

    def read(self, section: type[SectionT]) -> SectionT:
        """Read one section and add its faults."""
        self._known_titles.add(section.title)
        options = self._sections.get(section.title, {})
        reader = SectionReader(self, section.title, options)
        settings = section.read(reader)
        for key in reader.unread_keys():
            self.add_fault(section.title, key, 'is not a known key')
        if self.has_no_faults(section.title):
            for key, message in settings.faults().items():
                self.add_fault(section.title, key, message)
        return settings

    def add_fault(self, section: str, key: str, message: str) -> None:
        """Add a fault of a key; the key is empty for the section itself."""
        self.faults.append(
            Fault(file=self._file, section=section, key=key, message=message),
        )

    def has_no_faults(self, *titles: str) -> bool:
        """Return whether none of the sections has a fault so far."""
        return not any(fault.section in titles for fault in self.faults)

    def finish(self) -> None:
        """Check for unknown sections, and raise an error for any faults.

        Raises
        ------
        SettingsError
            If the file has any fault; the error lists all of them.
        """
        for title in self._sections:
            if title not in self._known_titles:
                self.add_fault(title, '', 'is not a known section')
        if self.faults:
            raise settings_error(self.faults)


def settings_error(faults: list[Fault]) -> SettingsError:
    """Return the error that lists all faults, one per line."""
    lines = '\n'.join(str(fault) for fault in faults)
    return SettingsError(lines, faults=[fault.to_wire() for fault in faults])
