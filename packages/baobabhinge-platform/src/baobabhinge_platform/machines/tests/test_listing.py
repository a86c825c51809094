from itertools import pairwise

import msgspec
import pytest
from aiohttp import ClientSession, web

from baobabhinge_platform.machines import VmListClient, VmListError, decode_vms

ETAG = 'ETag'


class VmListServer:
    """Serve a list of vms over HTTP and count the bodies that are sent."""

    def __init__(self, *, has_etags):
        self.has_etags = has_etags
        self.names = ['a']
        self.bodies = 0

    async def answer(self, request):
        etag = '"{}"'.format('-'.join(self.names))
        if self.has_etags and request.headers.get('If-None-Match') == etag:
            return web.Response(status=304, headers={ETAG: etag})
        self.bodies += 1
        body = msgspec.json.encode([build_group(name) for name in self.names])
        headers = {ETAG: etag} if self.has_etags else {}
        return web.Response(body=body, headers=headers)


def build_group(name, region='west', role='engine'):
    labels = {
        'vm': name,
        'region': region,
        'failure_domain': f'{region}-a',
        'role': role,
    }
    return {'targets': [f'{name}:1'], 'labels': labels}


async def read_all(server, steps):
    app = web.Application()
    app.router.add_get('/vms', server.answer)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    host, port = runner.addresses[0]
    readings = []
    async with ClientSession() as http:
        reader = VmListClient(http, f'http://{host}:{port}/vms')
        for names in steps:
            server.names = names
            readings.append(await reader.read())
    await runner.cleanup()
    return readings


@pytest.mark.parametrize(
    ('has_etags', 'steps', 'bodies'),
    [
        (True, [['a'], ['a'], ['a']], 1),
        (True, [['a'], ['a', 'b'], ['a', 'b']], 2),
        (False, [['a'], ['a'], ['b']], 3),
    ],
)
async def test_unchanged_list_is_not_sent_again(has_etags, steps, bodies):
    server = VmListServer(has_etags=has_etags)
    readings = await read_all(server, steps)
    assert server.bodies == bodies
    named = [[vm.name for vm in reading] for reading in readings]
    assert named == steps
    for before, after in pairwise(readings):
        assert (before is after) is (before == after)


async def test_unreachable_list_raises_vm_list_error():
    async with ClientSession() as http:
        with pytest.raises(VmListError):
            await VmListClient(http, 'http://127.0.0.1:1/vms').read()


def test_names_shared_by_vms_are_interned():
    body = msgspec.json.encode([build_group('a'), build_group('b')])
    first, second = decode_vms(body)
    assert first.region is second.region
    assert first.failure_domain is second.failure_domain
    assert first.service is second.service


@pytest.mark.parametrize(
    ('region', 'names'),
    [('', ['a', 'b', 'c']), ('west', ['a', 'c']), ('east', ['b', 'c'])],
)
def test_gateways_of_all_regions_and_backends_of_one_are_kept(region, names):
    groups = [
        build_group('a'),
        build_group('b', 'east'),
        build_group('c', 'east', 'gateway'),
    ]
    kept = decode_vms(msgspec.json.encode(groups), region)
    assert [vm.name for vm in kept] == names
