"""Merging the files of a folder into typed settings."""

from collections.abc import Iterable
from configparser import ConfigParser, SectionProxy
from datetime import timedelta

from baobabhinge_settings.model import (
    Placement,
    Region,
    RunOnceRule,
    Service,
    ServiceKind,
    Settings,
)
from baobabhinge_settings.reading.folder import SourceFile


def merge_files(files: Iterable[SourceFile]) -> Settings:
    """Merge ``files`` in the given order.

    Parameters
    ----------
    files : iterable of SourceFile
        Files in the byte order of their names; a later file overrides an
        earlier one.

    Returns
    -------
    Settings
        The merged whole.
    """
    parser = ConfigParser(interpolation=None, delimiters=('=',))
    for source in files:
        parser.read_string(source.text, source.name)
    return Settings(
        regions={
            section.name.split()[1]: _build_region(section)
            for section in _list_sections(parser, 'region')
        },
        services={
            section.name.split()[1]: _build_service(parser, section)
            for section in _list_sections(parser, 'service')
        },
    )


def _list_sections(
    parser: ConfigParser,
    kind: str,
    owner: str = '',
) -> list[SectionProxy]:
    prefix = f'{kind} {owner} ' if owner else f'{kind} '
    return [
        parser[name] for name in parser.sections() if name.startswith(prefix)
    ]


def _build_region(section: SectionProxy) -> Region:
    domains = section['failure-domains'].split(',')
    return Region(
        section.name.split()[1],
        tuple(domain.strip() for domain in domains),
    )


def _build_service(parser: ConfigParser, section: SectionProxy) -> Service:
    name = section.name.split()[1]
    return Service(
        name=name,
        kind=ServiceKind(section['kind']),
        deadline=_parse_duration(section['deadline']),
        placements=tuple(
            Placement(place.name.split()[2], _parse_count(place['replicas']))
            for place in _list_sections(parser, 'placement', name)
        ),
        run_once=tuple(
            RunOnceRule(rule['method'], rule['path'])
            for rule in _list_sections(parser, 'run-once', name)
        ),
    )


def _parse_duration(text: str) -> timedelta:
    return timedelta(seconds=float(text.split()[0]))


def _parse_count(text: str) -> int:
    return int(text.split()[0])
