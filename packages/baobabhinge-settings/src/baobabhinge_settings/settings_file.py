"""Reading of the settings file of one process; its sections have no names."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

from baobabhinge_settings.codes import FaultCode
from baobabhinge_settings.errors import Fault, FieldError, SettingsError
from baobabhinge_settings.reading.folder import SourceFile, read_text
from baobabhinge_settings.reading.ini_parser import (
    RawKey,
    RawSection,
    parse_ini,
)
from baobabhinge_settings.schema import Key


class SectionSchema(msgspec.Struct, frozen=True):
    """A section that the file may have.

    Parameters
    ----------
    name : str
        Word between the brackets.
    keys : tuple of Key
        Allowed keys. If one of them is required, so is the section.
    """

    name: str
    keys: tuple[Key, ...]

    def list_required(self) -> list[str]:
        """Return the names of the required keys."""
        return [key.name for key in self.keys if key.is_required]


def read_settings_file(
    path: Path,
    schemas: Sequence[SectionSchema],
) -> dict[str, dict[str, Any]]:
    """Read and check the file at ``path``.

    Returns
    -------
    dict
        Typed values by the names of section and attribute.

    Raises
    ------
    SettingsError
        If there are faults; it has all of them.
    """
    faults: list[Fault] = []
    text = read_text(path, faults)
    if faults:
        raise SettingsError(faults)
    reader = _SettingsFileReader(SourceFile(path.name, text), schemas)
    typed = reader.read()
    if reader.faults:
        raise SettingsError(reader.faults)
    return typed


class _SettingsFileReader:
    __slots__ = ('_known_schemas', '_raw', 'faults')

    def __init__(
        self,
        source: SourceFile,
        schemas: Sequence[SectionSchema],
    ) -> None:
        self._known_schemas = {schema.name: schema for schema in schemas}
        self._raw = parse_ini(source)
        self.faults = list(self._raw.faults)

    def read(self) -> dict[str, dict[str, Any]]:
        for raw in self._raw.sections.values():
            if raw.names or raw.kind not in self._known_schemas:
                allowed = ', '.join(f'[{name}]' for name in self._known_schemas)
                written = ' '.join((raw.kind, *raw.names))
                self._report(
                    raw.line,
                    FaultCode.unknown_section,
                    f'there is no section [{written}]; allowed: {allowed}',
                )
        return {
            name: self._read_section(schema, self._raw.sections.get((name,)))
            for name, schema in self._known_schemas.items()
        }

    def _read_section(
        self,
        schema: SectionSchema,
        raw: RawSection | None,
    ) -> dict[str, Any]:
        written = raw.keys if raw else {}
        line = raw.line if raw else 0
        for name in schema.list_required():
            if name not in written:
                self._report(
                    line,
                    FaultCode.missing_key,
                    f'[{schema.name}] needs the key {name}',
                )
        return self._read_keys(schema, written)

    def _read_keys(
        self,
        schema: SectionSchema,
        written: Mapping[str, RawKey],
    ) -> dict[str, Any]:
        known = {key.name: key for key in schema.keys}
        typed = {}
        for name, raw in written.items():
            key = known.get(name)
            if key is None:
                self._report_key(schema, raw)
            else:
                typed[key.attribute] = self._parse(key, raw)
        return typed

    def _report_key(self, schema: SectionSchema, raw: RawKey) -> None:
        allowed = ', '.join(sorted(key.name for key in schema.keys))
        self._report(
            raw.line,
            FaultCode.unknown_key,
            f'[{schema.name}] has no key "{raw.name}"; allowed: {allowed}',
        )

    def _parse(self, key: Key, raw: RawKey) -> Any:
        try:
            return key.parse(raw.text)
        except FieldError as error:
            self._report(raw.line, error.code, f'{raw.name}: {error.message}')
        return None

    def _report(self, line: int, code: FaultCode, message: str) -> None:
        self.faults.append(Fault(self._raw.name, line, code, message))
