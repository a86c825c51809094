"""Requests that are measured, and the deployment they are sent to."""

from datetime import timedelta

import msgspec

from baobabhinge_standins.fleet import BackendPlan, DeploymentPlan, Role
from baobabhinge_standins.fleet.settings import (
    PATIENT,
    render_model,
    render_plain,
    render_settings,
)

REGION = 'west'
GATEWAY = 'west-gateway-1'
PLAN = DeploymentPlan(
    name='hop',
    gateways={REGION: 1},
    backends=(
        BackendPlan('llm', Role.engine, REGION, 1, ('--slots=512',)),
        BackendPlan('ledger', Role.application, REGION, 1),
    ),
    wan_latency=timedelta(),
    link_bits_per_second=1_000_000_000,
)
SETTINGS = render_settings(
    PLAN,
    render_model('60 s'),
    render_plain('60 s'),
    PATIENT,
)


class Work(msgspec.Struct, frozen=True):
    """Requests of one kind.

    Parameters
    ----------
    name : str
        Row of the table.
    role : Role
        Backend server that runs it.
    method, path : str
        What is sent to the backend server.
    prefix : str
        Path before ``path`` when sent to a gateway.
    tokens : int
        Tokens of a completion; 0 for a plain call.
    share : float
        Share of the calls of the bench that are of this kind.
    """

    name: str
    role: Role
    method: str
    path: str
    prefix: str = ''
    tokens: int = 0
    share: float = 1

    def render_body(self) -> bytes | None:
        """Return the body of each request."""
        if not self.tokens:
            return None
        order = {
            'model': 'llm',
            'prompt': 'a',
            'stream': True,
            'max_tokens': self.tokens,
        }
        return msgspec.json.encode(order)


COMPLETIONS = '/v1/completions'
PLAIN = Work(
    'plain call',
    Role.application,
    'GET',
    '/owners/9',
    prefix='/services/ledger',
)
SHORT_STREAM = Work(
    'stream of 1 token',
    Role.engine,
    'POST',
    COMPLETIONS,
    tokens=1,
)
LONG_STREAM = Work(
    'stream of 101 tokens',
    Role.engine,
    'POST',
    COMPLETIONS,
    tokens=101,
    share=0.2,
)
WORKS = (PLAIN, SHORT_STREAM, LONG_STREAM)
