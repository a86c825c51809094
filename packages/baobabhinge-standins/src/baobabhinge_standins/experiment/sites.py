"""Deployments that are measured."""

from datetime import timedelta

import msgspec

from baobabhinge_standins.fleet import BackendPlan, DeploymentPlan, Role

SLOTS = 4
WAN_LATENCY = timedelta(milliseconds=80)
GATEWAYS_PER_REGION = 2
SERVICE = 'llm'


class Weights(msgspec.Struct, frozen=True):
    """Weights of the objective, in percent."""

    cost: int
    tail_latency: int
    sent_away: int


class Site(msgspec.Struct, frozen=True):
    """One deployment.

    Parameters
    ----------
    name : str
        Name of the deployment.
    engines : dict of str to int
        Engines by region, the largest region first.
    megabits_per_second : int
        Bandwidth between two regions, each way.
    weights : Weights
        What its operators weigh.
    goal : timedelta
        Time to the first token that counts as in time.
    """

    name: str
    engines: dict[str, int]
    megabits_per_second: int
    weights: Weights
    goal: timedelta = timedelta(milliseconds=1100)

    @property
    def home(self) -> str:
        """Return the largest region."""
        return next(iter(self.engines))

    def plan(self) -> DeploymentPlan:
        """Return the processes of the deployment."""
        backends = tuple(
            BackendPlan(SERVICE, Role.engine, region, count, (_SLOTS_OPTION,))
            for region, count in self.engines.items()
        )
        return DeploymentPlan(
            name=self.name,
            gateways=dict.fromkeys(self.engines, GATEWAYS_PER_REGION),
            backends=backends,
            wan_latency=WAN_LATENCY,
            link_bits_per_second=self.megabits_per_second * _MEGABIT,
        )

    def render_settings(self, policy: str) -> str:
        """Return the operators' settings with one routing policy."""
        lines = [
            f'[deployment]\npolicy = {policy}',
            f'[service {SERVICE}]\nkind = model\ndeadline = 20 s',
            _render_objective(self),
        ]
        for region, count in self.engines.items():
            lines.extend(
                (
                    f'[region {region}]\nfailure-domains = {region}-a',
                    f'[placement {SERVICE} {region}]\nreplicas = {count} vms',
                ),
            )
        return '\n'.join(lines)


_SLOTS_OPTION = f'--slots={SLOTS}'
_MEGABIT = 1_000_000
_MILLISECOND = timedelta(milliseconds=1)

SITES = {
    'tsukushi': Site(
        'tsukushi',
        {'fukuoka': 4, 'kumamoto': 3, 'kagoshima': 2},
        megabits_per_second=1000,
        weights=Weights(cost=10, tail_latency=80, sent_away=10),
    ),
    'kranfelder': Site(
        'kranfelder',
        {'bayern': 2, 'nordsee': 2, 'adria': 1},
        megabits_per_second=70,
        weights=Weights(cost=40, tail_latency=20, sent_away=40),
    ),
}


def _render_objective(site: Site) -> str:
    weights = site.weights
    milliseconds = site.goal // _MILLISECOND
    return '\n'.join(
        (
            '[objective all]',
            f'cost = {weights.cost} percent',
            f'tail-latency = {weights.tail_latency} percent',
            f'sent-away = {weights.sent_away} percent',
            f'first-token = {milliseconds} ms',
        ),
    )
