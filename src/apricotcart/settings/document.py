"""One settings file: its sections, and every fault found in it."""

from __future__ import annotations

import configparser
from collections.abc import Mapping
from pathlib import Path
from typing import Any, ClassVar, Self, TypeVar

from apricotcart.codec.record import Record
from apricotcart.errors.tree import SettingsError
from apricotcart.settings.kinds import FieldError, Kind

# A section title cannot hold a line break, so configparser's special default
# section never matches and [DEFAULT] is reported as an unknown section.
_NO_DEFAULTS = '\n'


class Field:
    """One key of a section.

    Parameters
    ----------
    name : str
        The key, which is also the attribute of the section's class.
    kind : Kind
        How its text becomes a value.
    default : str or None
        Text used where the key is missing; None where it is required.
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
        """Keep the parts."""
        self.name = name
        self.kind = kind
        self.default = default
        self.optional = optional


class Fault(Record):
    """One thing wrong in a settings file."""

    __slots__ = ('file', 'key', 'message', 'section')

    def __init__(
        self, *, file: str, section: str, key: str, message: str
    ) -> None:
        """Keep the place and what is wrong there."""
        self.file = file
        self.section = section
        self.key = key
        self.message = message

    def __str__(self) -> str:
        """Show file, section and key, then what is wrong."""
        place = f'[{self.section}]' if self.section else ''
        parts = filter(None, (self.file, place, self.key))
        where = ' '.join(parts)
        return f'{where}: {self.message}'


class Section:
    """Base of the classes that hold one section's values.

    A subclass lists the same names in ``__slots__`` and ``fields``.
    """

    __slots__: tuple[str, ...] = ()

    title: ClassVar[str]
    fields: ClassVar[tuple[Field, ...]]

    def __init__(self, **settings: Any) -> None:
        """Keep the values of the section."""
        for name in self.__slots__:
            setattr(self, name, settings[name])

    @classmethod
    def read(cls, reader: SectionReader) -> Self:
        """Read every field of the section."""
        return cls(**{field.name: reader.take(field) for field in cls.fields})

    def faults(self) -> dict[str, str]:
        """Give what is wrong between the fields, by key."""
        return {}


SectionT = TypeVar('SectionT', bound=Section)


class SectionReader:
    """Takes the fields of one section and notes what is wrong."""

    __slots__ = ('_document', '_options', '_taken', '_title')

    def __init__(
        self,
        document: Document,
        title: str,
        options: Mapping[str, str],
    ) -> None:
        """Keep the section's text and where faults go."""
        self._document = document
        self._title = title
        self._options = options
        self._taken: set[str] = set()

    def take(self, field: Field) -> Any:
        """Give the field's value, or None after noting a fault."""
        self._taken.add(field.name)
        text = self._options.get(field.name, field.default or '').strip()
        if not text:
            if not field.optional:
                self._document.note(self._title, field.name, 'is missing')
            return None
        try:
            return field.kind.parse(text, self._document.folder)
        except FieldError as exc:
            self._document.note(self._title, field.name, exc.message)
        return None

    def remaining(self) -> list[str]:
        """Give the keys that no field has taken."""
        return [name for name in self._options if name not in self._taken]


class Document:
    """A settings file while it is being read."""

    __slots__ = ('_file', '_known', '_sections', 'faults', 'folder')

    def __init__(
        self, file: str, sections: Mapping[str, Mapping[str, str]]
    ) -> None:
        """Keep the text of the sections."""
        self._file = file
        self._sections = sections
        self._known: set[str] = set()
        self.folder = Path(file).absolute().parent
        self.faults: list[Fault] = []

    @classmethod
    def from_file(cls, path: str) -> Self:
        """Read the file's text.

        Raises
        ------
        SettingsError
            If the file cannot be read or is no INI file.
        """
        parser = configparser.ConfigParser(
            default_section=_NO_DEFAULTS, interpolation=None
        )
        # Keys keep their case: host names in [peers] are keys.
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
        """Read one section, noting its faults."""
        self._known.add(section.title)
        options = self._sections.get(section.title, {})
        reader = SectionReader(self, section.title, options)
        settings = section.read(reader)
        for key in reader.remaining():
            self.note(section.title, key, 'is not a known key')
        if self.clean(section.title):
            for key, message in settings.faults().items():
                self.note(section.title, key, message)
        return settings

    def note(self, section: str, key: str, message: str) -> None:
        """Note a fault."""
        self.faults.append(
            Fault(file=self._file, section=section, key=key, message=message),
        )

    def clean(self, *titles: str) -> bool:
        """Tell whether no fault is noted for any of the sections."""
        return not any(fault.section in titles for fault in self.faults)

    def finish(self) -> None:
        """End the reading.

        Raises
        ------
        SettingsError
            If the file has any fault; it names all of them.
        """
        for title in self._sections:
            if title not in self._known:
                self.note(title, '', 'is not a known section')
        if self.faults:
            raise settings_error(self.faults)


def settings_error(faults: list[Fault]) -> SettingsError:
    """Give the error that names all faults, one a line."""
    lines = '\n'.join(str(fault) for fault in faults)
    return SettingsError(lines, faults=[fault.to_wire() for fault in faults])
