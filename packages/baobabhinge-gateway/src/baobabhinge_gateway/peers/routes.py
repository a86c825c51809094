"""HTTP paths that are served to other gateways."""

import msgspec
from aiohttp import web

from baobabhinge_coordination.generations import Publication, build_delta
from baobabhinge_coordination.membership import (
    Contact,
    Exchange,
    MembershipProtocol,
    Prober,
)
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.errors import MalformedCallError
from baobabhinge_gateway.fleet import VmWatcher
from baobabhinge_gateway.messages import (
    JSON,
    decode_message,
    render_message,
)
from baobabhinge_gateway.peers.traffic import PeerTraffic
from baobabhinge_gateway.peers.transport import EXCHANGE_PATH, PROBE_PATH

RELEASE_PATH = '/peer/v1/release'
VMS_PATH = '/peer/v1/vms'


class PeerRoutes:
    """Handlers of heartbeats and of probe requests.

    Parameters
    ----------
    protocol : MembershipProtocol
        Answers heartbeats.
    prober : Prober
        Sends heartbeats.
    traffic : PeerTraffic
        Counters of the received heartbeats.
    """

    __slots__ = ('_prober', '_protocol', '_traffic')

    def __init__(
        self,
        protocol: MembershipProtocol,
        prober: Prober,
        traffic: PeerTraffic,
    ) -> None:
        """Store the collaborators."""
        self._protocol = protocol
        self._prober = prober
        self._traffic = traffic

    def add_to(self, app: web.Application) -> None:
        """Add the paths."""
        app.router.add_post(EXCHANGE_PATH, self.exchange)
        app.router.add_post(PROBE_PATH, self.probe)

    async def exchange(self, request: web.Request) -> web.Response:
        """Answer a heartbeat.

        Raises
        ------
        MalformedCallError
            If it can't be read.
        """
        body = await request.read()
        heartbeat = decode_message(body, Exchange, 'heartbeat')
        answer = msgspec.json.encode(self._protocol.answer(heartbeat))
        self._traffic.questions_received += 1
        self._traffic.bytes_received += len(body)
        self._traffic.bytes_sent += len(answer)
        return web.Response(body=answer, content_type=JSON)

    async def probe(self, request: web.Request) -> web.Response:
        """Send a heartbeat to another gateway and report whether it answered.

        Raises
        ------
        MalformedCallError
            If the request can't be read.
        """
        body = await request.read()
        target = decode_message(body, Contact, 'probe')
        reached = await self._prober.exchange_with(target)
        return web.Response(body=msgspec.json.encode(reached))


class DocumentRoutes:
    """Handlers of the documents that other gateways may fetch.

    Parameters
    ----------
    active : ActiveConfiguration
        Configuration in force.
    watcher : VmWatcher
        The list of vms as last read.
    """

    __slots__ = ('_active', '_watcher')

    def __init__(
        self,
        active: ActiveConfiguration,
        watcher: VmWatcher,
    ) -> None:
        """Store the sources of the documents."""
        self._active = active
        self._watcher = watcher

    def add_to(self, app: web.Application) -> None:
        """Add the paths."""
        app.router.add_get(RELEASE_PATH, self.report_release)
        app.router.add_get(VMS_PATH, self.report_vms)

    async def report_release(self, request: web.Request) -> web.Response:
        """Answer with the changes since the generation in the query."""
        release = self._active.release
        if not release.generation:
            raise web.HTTPNotFound
        since = Publication(
            _parse_generation(request.query.get('generation', '0')),
            request.query.get('publish', ''),
        )
        return render_message(build_delta(release, since))

    async def report_vms(self, request: web.Request) -> web.Response:
        """Answer with the list of vms as last read."""
        return render_message(list(self._watcher.index.by_name.values()))


def _parse_generation(text: str) -> int:
    try:
        return int(text)
    except ValueError as error:
        raise MalformedCallError('the generation is not a number') from error
