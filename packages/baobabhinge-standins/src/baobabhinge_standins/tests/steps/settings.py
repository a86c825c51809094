"""Settings of the operators that fit a plan."""

# Keeps shedding out of scenarios about something else.
PATIENT = """
[objective all]
cost = 34 percent
tail-latency = 33 percent
sent-away = 33 percent
first-token = 60 s
"""


def render_model(deadline):
    """Return the section of a service of models called llm."""
    return f'[service llm]\nkind = model\ndeadline = {deadline}'


def render_plain(deadline):
    """Return the section of a plain service called ledger."""
    return f'[service ledger]\nkind = plain\ndeadline = {deadline}'


def render_settings(plan, *sections):
    """Return ``sections`` with the regions and placements of ``plan``."""
    regions = [
        f'[region {region}]\nfailure-domains = {region}-a'
        for region in plan.gateways
    ]
    placements = [
        f'[placement {backend.service} {backend.region}]\n'
        f'replicas = {backend.count} vms'
        for backend in plan.backends
    ]
    return '\n'.join((*regions, *placements, *sections))
