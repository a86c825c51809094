"""Changes of the store beside gateways of two builds, and when they hold."""

import asyncio
from collections.abc import Sequence
from http import HTTPStatus
from math import inf
from random import Random

from baobabhinge_standins.host.calling import Received
from baobabhinge_standins.host.configuration import (
    build_configuration,
    build_route,
)
from baobabhinge_standins.host.scene import HostScene

EAST = 'east-a'
EASTERN = ('s-0', 's-1', 's-2', 's-3')
# Rules of the platform, with the bounds of the site files.
DRAIN_SECONDS = 4
EVACUATION_SECONDS = 5
CONFIGURATION_SECONDS = 4
# A gateway counts after it has run for as long.
CONTACT_SECONDS = 6
STEP_PAUSES = (0, 0.01)
EVACUATION = f'op/evacuate/{EAST}'


class Deadlines:
    """Loop times after which servers get no calls, and routes are known.

    Attributes
    ----------
    forbidden : dict of str to float
        Loop time after which each of these servers gets no calls.
    routes : dict of str to float
        Loop time after which each of these paths is known.
    started : dict of str to float
        Loop time at which each gateway was started.
    """

    def __init__(self) -> None:
        """Forbid nothing."""
        self.forbidden: dict[str, float] = {}
        self.routes: dict[str, float] = {}
        self.started: dict[str, float] = {}

    def forbid(self, servers: Sequence[str], seconds: float) -> None:
        """Let servers get no calls after some seconds."""
        due = asyncio.get_running_loop().time() + seconds
        self.forbidden.update(dict.fromkeys(servers, due))

    def judge(
        self, gateway: str, path: str, sent: float, received: Received
    ) -> str:
        """Return how a call ended, or which rule it has broken."""
        if sent < self.started.get(gateway, inf) + CONTACT_SECONDS:
            return f'starting {received.status}'
        server = received.body.decode('latin-1').partition(' ')[0]
        is_forbidden = sent > self.forbidden.get(server, sent)
        if received.status == HTTPStatus.OK and is_forbidden:
            return f'{server} ran a call of {gateway}'
        is_known = sent > self.routes.get(path, sent)
        if received.status == HTTPStatus.NOT_FOUND and is_known:
            return f'{gateway} does not know {path}'
        return f'running {received.status}'


class StateChanges:
    """Changes of what the store holds.

    Parameters
    ----------
    scene : HostScene
        Store and servers.
    deadlines : Deadlines
        Gets the time by which each change is in force.
    draw : Random
        Chooses the servers that leave.
    """

    def __init__(
        self, scene: HostScene, deadlines: Deadlines, draw: Random
    ) -> None:
        """Change nothing."""
        self._scene = scene
        self._deadlines = deadlines
        self._draw = draw
        self._version = 1

    async def make(self) -> None:
        """Make all kinds of changes, and drop the history among them."""
        steps = [
            self._add_route,
            self._remove_servers,
            self._change_evacuation,
            self._scene.store.table.compact,
        ]
        self._draw.shuffle(steps)
        for step in steps:
            step()
            await asyncio.sleep(self._draw.choice(STEP_PAUSES))

    def _add_route(self) -> None:
        self._version += 1
        name = f'new-{self._version}'
        configuration = build_configuration(self._version)
        configuration['routes'].append(build_route(name, 'safe'))
        self._scene.store.put('op/config', configuration)
        due = asyncio.get_running_loop().time() + CONFIGURATION_SECONDS
        self._deadlines.routes = {f'/{name}/a': due}

    def _remove_servers(self) -> None:
        """Let two servers leave, of which one tells so."""
        servers = self._scene.servers
        staying = servers.keys() - {*EASTERN, *self._deadlines.forbidden}
        told, untold = self._draw.sample(sorted(staying), 2)
        entry = servers[told].describe(state='draining')
        self._scene.store.put(f'servers/{told}', entry)
        self._scene.store.table.remove(f'servers/{untold}')
        self._deadlines.forbid((told, untold), DRAIN_SECONDS)

    def _change_evacuation(self) -> None:
        if self._scene.store.table.list_rows(EVACUATION):
            self._scene.store.table.remove(EVACUATION)
            for name in EASTERN:
                self._deadlines.forbidden.pop(name)
            return
        self._scene.store.put(EVACUATION, {})
        self._deadlines.forbid(EASTERN, EVACUATION_SECONDS)
