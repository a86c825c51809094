"""The settings file that lists the vms that operators drain."""

from collections.abc import Iterable

from baobabhinge_settings.merging.merger import Merger
from baobabhinge_settings.reading.folder import SourceFile

DRAINS_FILE = '90-drains.ini'
DRAIN_KIND = 'drain'
FILE_HEADER = '; Written by "baobabhinge drain".\n'
DRAIN_SECTION = '[drain {vm}]\nwanted = true\n'


def list_drained(text: str) -> frozenset[str]:
    """Return the names of the vms that the file with this text drains."""
    merged = Merger().merge_sections([SourceFile(DRAINS_FILE, text)])
    return frozenset(
        section.first.names[0]
        for section in merged.list_kind(DRAIN_KIND)
        if section.get('wanted')
    )


def render_drains(vms: Iterable[str]) -> str:
    """Return the text of the file that drains ``vms``."""
    sections = [DRAIN_SECTION.format(vm=vm) for vm in sorted(vms)]
    return '\n'.join((FILE_HEADER, *sections))
