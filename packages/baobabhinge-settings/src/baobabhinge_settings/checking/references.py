"""Names that have to be names of something, and names that look alike."""

from collections.abc import Iterator

from baobabhinge_settings.checking.registry import register_check
from baobabhinge_settings.codes import FaultCode
from baobabhinge_settings.errors import Fault
from baobabhinge_settings.reading.folding import MergedFolder, MergedSection
from baobabhinge_settings.schema import Reference
from baobabhinge_settings.schema.names import compute_skeleton


@register_check
def check_references(merged: MergedFolder) -> Iterator[Fault]:
    """Yield a fault for each name of nothing."""
    for section in merged.list_all():
        yield from _check_header(merged, section)
        for key, typed in section.keys.items():
            if typed.key.reference is not None:
                yield from _check_key(merged, section, key)


@register_check
def check_lookalikes(merged: MergedFolder) -> Iterator[Fault]:
    """Yield a fault for each name that looks like another one."""
    seen: dict[tuple[str, ...], MergedSection] = {}
    for section in merged.list_all():
        names = section.first.names
        shape = (section.first.kind.name, *map(compute_skeleton, names))
        first = seen.setdefault(shape, section)
        if first is not section:
            yield section.report(
                FaultCode.confusable_identifier,
                f'[{section.title}] looks like {first.place};'
                ' choose names that differ in more than 0 and o, 1, l and i,'
                ' 5 and s, rn and m, vv and w',
            )


def _check_header(
    merged: MergedFolder,
    section: MergedSection,
) -> Iterator[Fault]:
    names = section.first.names
    for name, reference in zip(names, section.first.kind.names, strict=True):
        if reference is not None:
            yield from _check_name(merged, section, reference, name)


def _check_key(
    merged: MergedFolder,
    section: MergedSection,
    key: str,
) -> Iterator[Fault]:
    typed = section.keys[key]
    reference = typed.key.reference
    written = typed.parsed
    names = written if isinstance(written, tuple) else (written,)
    for name in names:
        if reference is not None:
            yield from _check_name(merged, section, reference, name, key)


def _check_name(
    merged: MergedFolder,
    section: MergedSection,
    reference: Reference,
    name: str,
    key: str = '',
) -> Iterator[Fault]:
    owner = section.first.names[:1] if reference.is_owned else ()
    if merged.find(reference.kind, (*owner, name)) is None:
        known = ', '.join(merged.list_names(reference.kind)) or 'none'
        wanted = ' '.join((reference.kind, *owner, name))
        yield section.report(
            FaultCode.missing_reference,
            f'there is no [{wanted}]; names of this kind: {known}',
            key,
        )
