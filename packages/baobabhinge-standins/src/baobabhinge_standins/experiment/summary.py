"""Figures of one run."""

from collections.abc import Mapping, Sequence
from datetime import timedelta

import msgspec

from baobabhinge_standins.engine.journal import EngineRun
from baobabhinge_standins.experiment.callers import Outcome
from baobabhinge_standins.experiment.ledger import Ledger
from baobabhinge_standins.experiment.tallies import (
    compute_goodput,
    compute_refused,
    fill_histogram,
    list_gaps,
    list_quiet,
)

MEDIAN = 50
TAIL = 95
FAR_TAIL = 99


class Summary(msgspec.Struct, frozen=True):
    """Figures of one policy under one workload.

    Parameters
    ----------
    policy, workload : str
        What was run.
    offered : int
        Requests.
    first_p50, first_p95, first_p99 : float
        Time to the first token from the intended start, in milliseconds, over
        the whole answers.
    gap_p95 : float
        Time between two tokens, in milliseconds.
    goodput : float
        Share of the requests answered whole with the first token in time.
    not_run : float
        Share of the requests that were refused.
    away : float
        Share of the runs outside the caller's region.
    cost : float
        Tokens and cold prompt blocks for each whole answer; runs away from
        the caller's region count twice.
    runs : float
        Runs at engines for each request that an engine saw.
    quiet_goodput : float
        Goodput of the workspaces that are not noisy.
    """

    policy: str
    workload: str
    offered: int
    first_p50: float
    first_p95: float
    first_p99: float
    gap_p95: float
    goodput: float
    not_run: float
    away: float
    cost: float
    runs: float
    quiet_goodput: float


class RunLog(msgspec.Struct, frozen=True):
    """Everything that one run has left.

    Parameters
    ----------
    policy, workload : str
        What was run.
    goal : timedelta
        Time to the first token that counts as in time.
    outcomes : list of Outcome
        What callers saw.
    runs : mapping of str to list of EngineRun
        What engines ran, by region.
    """

    policy: str
    workload: str
    goal: timedelta
    outcomes: list[Outcome]
    runs: Mapping[str, Sequence[EngineRun]]


def summarize(log: RunLog) -> Summary:
    """Return the figures of one run."""
    whole = [outcome for outcome in log.outcomes if outcome.is_whole]
    first = fill_histogram(outcome.instants[0] for outcome in whole)
    ledger = Ledger(log.outcomes, log.runs)
    return Summary(
        policy=log.policy,
        workload=log.workload,
        offered=len(log.outcomes),
        first_p50=first.get_value_at_percentile(MEDIAN),
        first_p95=first.get_value_at_percentile(TAIL),
        first_p99=first.get_value_at_percentile(FAR_TAIL),
        gap_p95=fill_histogram(list_gaps(whole)).get_value_at_percentile(TAIL),
        goodput=compute_goodput(log.outcomes, log.goal),
        not_run=compute_refused(log.outcomes),
        away=ledger.away / max(1, ledger.runs),
        cost=ledger.cost / max(1, len(whole)),
        runs=ledger.runs / max(1, ledger.requests),
        quiet_goodput=compute_goodput(list_quiet(log.outcomes), log.goal),
    )
