"""What the backend servers really ran."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from baobabhinge_standins.application.messages import Run
from baobabhinge_standins.engine.journal import EngineRun
from baobabhinge_standins.fleet.deployment import Deployment
from baobabhinge_standins.fleet.members import Role
from baobabhinge_standins.traffic.records import Sample


class Journals(msgspec.Struct, frozen=True):
    """Runs of every backend server, by its region."""

    models: list[tuple[str, EngineRun]]
    plain: list[tuple[str, Run]]


async def read_journals(deployment: Deployment) -> Journals:
    """Read the journals of all backend servers, past every link."""
    backends = deployment.backends
    models = [
        (member.region, run)
        for member in deployment.roster.list_by(Role.engine)
        for run in await backends.read_engine_runs(member)
    ]
    plain = [
        (member.region, run)
        for member in deployment.roster.list_by(Role.application)
        for run in await backends.read_runs(member)
    ]
    return Journals(models, plain)


def count_doubled(journals: Journals, samples: Iterable[Sample]) -> int:
    """Return how many calls that may not be repeated ran more than once."""
    runs = Counter(run.path for _, run in journals.plain)
    paths = {
        sample.request.service_path
        for sample in samples
        if sample.request.is_run_once
    }
    return sum(runs[path] > 1 for path in paths)


def measure_sent_away(journals: Journals, samples: Iterable[Sample]) -> float:
    """Return the share of requests that ran outside the caller's region."""
    homes = {sample.request_id: sample.request.region for sample in samples}
    places = _list_places(journals)
    known = homes.keys() & places.keys()
    away = sum(homes[name] != places[name] for name in known)
    return away / max(1, len(known))


def _list_places(journals: Journals) -> dict[str, str]:
    models = {run.request_id: region for region, run in journals.models}
    return models | {run.request_id: region for region, run in journals.plain}
