"""Checks of references to other sections, and of names that look alike."""

from collections.abc import Iterator

from baobabhinge_settings.checking.registry import register_check
from baobabhinge_settings.codes import FaultCode
from baobabhinge_settings.errors import Fault
from baobabhinge_settings.reading.merged_folder import (
    MergedFolder,
    MergedSection,
)
from baobabhinge_settings.reading.references import ReferencedSection


@register_check
def check_references(merged: MergedFolder) -> Iterator[Fault]:
    """Yield a fault for each reference to a section that does not exist."""
    for section in merged.list_sections():
        for reference in section.references:
            if merged.find(reference.kind, reference.names) is None:
                yield _create_missing_fault(merged, section, reference)


@register_check
def check_lookalikes(merged: MergedFolder) -> Iterator[Fault]:
    """Yield a fault for each header that looks like an earlier one."""
    seen: dict[tuple[str, ...], MergedSection] = {}
    for section in merged.list_sections():
        first = seen.setdefault(section.first.skeleton, section)
        if first is not section:
            yield section.create_fault(
                FaultCode.confusable_identifier,
                f'[{section.title}] looks like {first.location};'
                ' choose names that differ in more than 0 and o, 1, l and i,'
                ' 5 and s, rn and m, vv and w',
            )


def _create_missing_fault(
    merged: MergedFolder,
    section: MergedSection,
    reference: ReferencedSection,
) -> Fault:
    known = ', '.join(merged.list_names(reference.kind)) or 'none'
    title = ' '.join((reference.kind, *reference.names))
    return section.create_fault(
        FaultCode.missing_reference,
        f'there is no [{title}]; names of this kind: {known}',
        reference.key,
    )
