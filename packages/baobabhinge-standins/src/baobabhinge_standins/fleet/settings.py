"""Operators' settings that fit a plan."""

from baobabhinge_standins.fleet.plans import DeploymentPlan

# Keeps shedding out of what is about something else.
PATIENT = """
[objective all]
cost = 34 percent
tail-latency = 33 percent
sent-away = 33 percent
first-token = 60 s
"""


def render_model(deadline: str) -> str:
    """Return the section of a service of models called llm."""
    return f'[service llm]\nkind = model\ndeadline = {deadline}'


def render_plain(deadline: str) -> str:
    """Return the section of a plain service called ledger."""
    return f'[service ledger]\nkind = plain\ndeadline = {deadline}'


def render_placement(service: str, region: str, count: int = 1) -> str:
    """Return the section that places ``count`` vms of a service."""
    return f'[placement {service} {region}]\nreplicas = {count} vms'


def render_run_once(rule: str, method: str, path: str = '/trades/*') -> str:
    """Return the section of calls of the ledger that may not be repeated."""
    return f'[run-once ledger {rule}]\nmethod = {method}\npath = {path}'


def render_version(service: str, version: str) -> str:
    """Return the section of a version, with weights of the same name."""
    weights = f'{service}/{version}'
    return f'[version {service} {version}]\nweights = {weights}'


def render_settings(plan: DeploymentPlan, *sections: str) -> str:
    """Return ``sections`` with the regions and placements of ``plan``."""
    regions = [
        f'[region {region}]\nfailure-domains = {region}-a'
        for region in plan.gateways
    ]
    placements = [
        render_placement(backend.service, backend.region, backend.count)
        for backend in plan.backends
    ]
    return '\n'.join((*regions, *placements, *sections))
