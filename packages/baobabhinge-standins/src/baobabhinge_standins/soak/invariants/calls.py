"""What must hold for calls, checked against the backends' journals."""

from collections import Counter
from collections.abc import Iterator

from baobabhinge_standins.engine.running import CRASH_MARK
from baobabhinge_standins.soak.evidence import Evidence
from baobabhinge_standins.soak.invariants.registry import register_check
from baobabhinge_standins.traffic import Verdict

MOST_ENGINES_LOST = 2


@register_check('a call that may not be repeated runs at most once')
def find_doubled(evidence: Evidence) -> Iterator[str]:
    """Yield the paths of calls that ran more than once."""
    runs = Counter(run.path for _, run in evidence.journals.plain)
    for record in evidence.records:
        path = record.request.service_path
        if record.request.is_run_once and runs[path] > 1:
            yield path


@register_check('what was told not to have run has not run')
def find_false_refusals(evidence: Evidence) -> Iterator[str]:
    """Yield the calls that ran although every attempt said they did not."""
    paths = {run.path for _, run in evidence.journals.plain}
    prompts = '\n'.join(run.prompt for _, run in evidence.journals.models)
    for record in evidence.records:
        if record.outcome is not Verdict.not_run:
            continue
        has_run = record.request.service_path in paths
        if record.request.is_model:
            has_run = evidence.name_call(record) in prompts
        if has_run:
            yield evidence.name_call(record)


@register_check('a key that was closed as not run has not run')
def find_broken_closings(evidence: Evidence) -> Iterator[str]:
    """Yield the calls that ran although one attempt closed their key."""
    paths = {run.path for _, run in evidence.journals.plain}
    for record in evidence.records:
        if record.is_closed and record.request.service_path in paths:
            yield evidence.name_call(record)


@register_check('one request ends at most two engines')
def find_crashes(evidence: Evidence) -> Iterator[str]:
    """Yield the marked prompts that ran more often than that."""
    prompts = [run.prompt for _, run in evidence.journals.models]
    marked = Counter(prompt for prompt in prompts if CRASH_MARK in prompt)
    for prompt, runs in marked.items():
        if runs > MOST_ENGINES_LOST:
            yield f'{prompt.strip()} ran {runs} times'


@register_check('no part of an answer and no foreign one is given as whole')
def find_cut(evidence: Evidence) -> Iterator[str]:
    """Yield the calls with a wrong answer that seemed whole."""
    for record in evidence.records:
        if Verdict.cut in record.verdicts:
            yield evidence.name_call(record)


@register_check('an answered call has run')
def find_invented(evidence: Evidence) -> Iterator[str]:
    """Yield the answered calls that no backend server has run."""
    paths = {run.path for _, run in evidence.journals.plain}
    for record in evidence.records:
        path = record.request.service_path
        has_run = record.request.is_model or path in paths
        if record.outcome is Verdict.answered and not has_run:
            yield path


@register_check('every call gets a final outcome')
def find_untold(evidence: Evidence) -> Iterator[str]:
    """Yield the calls whose last attempt gave no typed outcome."""
    for record in evidence.records:
        if not record.is_told:
            yield evidence.name_call(record)
