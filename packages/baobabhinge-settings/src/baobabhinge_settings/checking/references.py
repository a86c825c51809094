"""Names that have to be names of something, and names that look alike."""

from collections.abc import Iterator

from baobabhinge_settings.checking.registry import register_check
from baobabhinge_settings.codes import FaultCode
from baobabhinge_settings.errors import Fault
from baobabhinge_settings.reading.folding import MergedFolder, MergedSection
from baobabhinge_settings.reading.wanted import Wanted


@register_check
def check_references(merged: MergedFolder) -> Iterator[Fault]:
    """Yield a fault for each name of nothing."""
    for section in merged.list_all():
        for wanted in section.wanted:
            if merged.find(wanted.kind, wanted.names) is None:
                yield _report_missing(merged, section, wanted)


@register_check
def check_lookalikes(merged: MergedFolder) -> Iterator[Fault]:
    """Yield a fault for each name that looks like another one."""
    seen: dict[tuple[str, ...], MergedSection] = {}
    for section in merged.list_all():
        first = seen.setdefault(section.first.shape, section)
        if first is not section:
            yield section.report(
                FaultCode.confusable_identifier,
                f'[{section.title}] looks like {first.place};'
                ' choose names that differ in more than 0 and o, 1, l and i,'
                ' 5 and s, rn and m, vv and w',
            )


def _report_missing(
    merged: MergedFolder,
    section: MergedSection,
    wanted: Wanted,
) -> Fault:
    known = ', '.join(merged.list_names(wanted.kind)) or 'none'
    title = ' '.join((wanted.kind, *wanted.names))
    return section.report(
        FaultCode.missing_reference,
        f'there is no [{title}]; names of this kind: {known}',
        wanted.key,
    )
