"""Runs and their cost, by the journals of the engines."""

from collections.abc import Iterable, Mapping, Sequence

from baobabhinge_standins.engine.journal import EngineRun
from baobabhinge_standins.experiment.callers import Outcome

AWAY_FACTOR = 2


class Ledger:
    """What the engines ran for the requests of one run.

    Parameters
    ----------
    outcomes : iterable of Outcome
        What callers saw.
    journals : mapping of str to sequence of EngineRun
        What engines ran, by region.

    Attributes
    ----------
    runs : int
        Runs of these requests.
    requests : int
        Requests with at least one run.
    away : int
        Runs outside the caller's region.
    cost : int
        Tokens and cold prompt blocks; runs away count twice.
    """

    __slots__ = ('_homes', 'away', 'cost', 'requests', 'runs')

    def __init__(
        self,
        outcomes: Iterable[Outcome],
        journals: Mapping[str, Sequence[EngineRun]],
    ) -> None:
        """Count every run."""
        self._homes = {
            outcome.request_id: outcome.arrival.stream.region
            for outcome in outcomes
        }
        self.runs = 0
        self.away = 0
        self.cost = 0
        seen: set[str] = set()
        for region, journal in journals.items():
            seen.update(run.request_id for run in journal)
            self._add_all(journal, region)
        self.requests = len(self._homes.keys() & seen)

    def _add_all(self, journal: Iterable[EngineRun], region: str) -> None:
        for run in journal:
            self._add(run, region)

    def _add(self, run: EngineRun, region: str) -> None:
        home = self._homes.get(run.request_id)
        if home is None:
            return
        cost = run.tokens + run.prompt_blocks - run.cached_blocks
        is_away = home != region
        self.runs += 1
        self.away += is_away
        self.cost += cost * AWAY_FACTOR if is_away else cost
