"""Parser of one INI file into sections and keys with line numbers."""

import msgspec

from baobabhinge_settings.codes import FaultCode
from baobabhinge_settings.errors import Fault
from baobabhinge_settings.reading.folder import SourceFile

BYTE_ORDER_MARK = '\ufeff'
COMMENT_MARKS = (';', '#')


class RawKey(msgspec.Struct, frozen=True):
    """A ``key = text`` line."""

    name: str
    text: str
    line: int


class RawSection(msgspec.Struct):
    """A section as written.

    Parameters
    ----------
    kind : str
        First word between the brackets.
    names : tuple of str
        The other words between the brackets.
    line : int
        Line of the header, counted from 1.
    keys : dict of str to RawKey
        Keys by name; of a key that is written twice, the first.
    """

    kind: str
    names: tuple[str, ...]
    line: int
    keys: dict[str, RawKey]


class RawFile(msgspec.Struct):
    """A file as written, with its syntax faults."""

    name: str
    sections: dict[tuple[str, ...], RawSection]
    faults: list[Fault]


def parse_ini(source: SourceFile) -> RawFile:
    """Parse ``source`` into sections and keys."""
    parser = _LineParser(source.name)
    lines = source.text.removeprefix(BYTE_ORDER_MARK).split('\n')
    for number, line in enumerate(lines, start=1):
        parser.parse_line(number, line.rstrip())
    return parser.raw


def _is_header(line: str) -> bool:
    return line.startswith('[') and line.endswith(']')


class _LineParser:
    __slots__ = ('_section', 'raw')

    def __init__(self, name: str) -> None:
        self.raw = RawFile(name, {}, [])
        self._section: RawSection | None = None

    def parse_line(self, number: int, line: str) -> None:
        if not line or line.startswith(COMMENT_MARKS):
            return
        if _is_header(line):
            self._open_section(number, line)
        elif '=' in line and not line[0].isspace():
            self._add_key(number, line)
        else:
            self._report(
                number,
                FaultCode.malformed_line,
                'write "[kind name]", "key = text" or a comment that starts'
                ' with ";", without spaces before it',
            )

    def _open_section(self, number: int, line: str) -> None:
        kind, _, rest = line.strip('[] ').partition(' ')
        names = tuple(rest.split())
        self._section = RawSection(kind, names, number, {})
        first = self.raw.sections.setdefault((kind, *names), self._section)
        if first is not self._section:
            self._report(
                number,
                FaultCode.duplicate_section,
                f'the section is already at line {first.line};'
                ' write each section once in a file',
            )

    def _add_key(self, number: int, line: str) -> None:
        name, _, text = line.partition('=')
        key = RawKey(name.strip(), text.strip(), number)
        if self._section is None:
            self._report(
                number,
                FaultCode.malformed_line,
                'a key needs a section before it, such as [region west]',
            )
            return
        first = self._section.keys.setdefault(key.name, key)
        if first is not key:
            self._report(
                number,
                FaultCode.duplicate_key,
                f'the key is already at line {first.line};'
                ' write each key once in a section',
            )

    def _report(self, line: int, code: FaultCode, message: str) -> None:
        self.raw.faults.append(Fault(self.raw.name, line, code, message))
