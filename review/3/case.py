"""Workers are taken away while a gateway that starts reads their list."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

from fleet import BOUNDS, BROKEN, HELD, NotRunError, TROUBLE, config, route, run, service  # noqa: E402
from worker import Worker  # noqa: E402

# The store stands in another region: 80 ms one way.
ZONES = ['nordsee-a'] * 3
ONE_WAY_SECONDS = 0.08
# As the site files have it; the pages allow about 500.
PAGE = 50
WORKERS = ['nordsee-a'] * 24 + ['bayern-a'] * 20 + ['adria-a'] * 20
# One in four leaves.
STEP = 4
SERVES_ON_SECONDS = 14
RATE = 30


async def send_steadily(fleet, until):
    """Send requests to the gateways in turn, each on a connection of its own."""
    number = 0
    while fleet.record.now() < until:
        gateway = fleet.gateways[number % len(fleet.gateways)]
        number += 1
        if gateway.process.poll() is None:
            asyncio.ensure_future(
                fleet.send(gateway, 'POST', '/puxa403/book', body=b'{}', limit=2.5)
            )
        await asyncio.sleep(1 / RATE)


def take_away(fleet, workers, told):
    """Take away one worker in four; half of these do not tell."""
    if told.done():
        return
    for number, worker in enumerate(workers[::STEP]):
        if number % 2:
            worker.drain(SERVES_ON_SECONDS)
        else:
            worker.leave(SERVES_ON_SECONDS)
    told.set_result(fleet.record.now())


async def main(fleet):
    workers = [
        Worker(
            fleet.store, fleet.record, 'xano55b', zone, f'127.0.{80 + n}.1',
            work=0.4,
        )
        for n, zone in enumerate(WORKERS)
    ]
    fleet.store.page = PAGE
    routes = [route('r-book', '/puxa403/', 'unsafe', 'xano55b', **{'timeout-ms': 2500})]
    for number in range(len(ZONES)):
        fleet.store.delays[f'front-nordsee-a-{number + 1}'] = ONE_WAY_SECONDS
    await fleet.start(ZONES, config(7, routes, [service('xano55b')]), workers)
    await asyncio.sleep(BOUNDS['contact-ms'] / 1000)
    restarted = fleet.gateways[0]
    loop = asyncio.get_running_loop()
    told = loop.create_future()

    def watch_pages(machine, page):
        if machine == restarted.name and page['items'][0]['key'].startswith('servers/'):
            fleet.record('first-page-read', machine=machine)
            loop.call_later(ONE_WAY_SECONDS, take_away, fleet, workers, told)

    sending = asyncio.ensure_future(send_steadily(fleet, fleet.record.now() + 26))
    await asyncio.sleep(1)
    if TROUBLE:
        restarted.signal(signal.SIGTERM)
        while restarted.process.poll() is None:
            await asyncio.sleep(0.05)
        fleet.store.on_page = watch_pages
        restarted.start()
        await fleet.wait_until_ready()
    else:
        await asyncio.sleep(4)
        take_away(fleet, workers, told)
    async with asyncio.timeout(10):
        acked = await told
    await sending
    await asyncio.sleep(3)
    bound = acked + BOUNDS['drain-ms'] / 1000
    in_touch = restarted.started + BOUNDS['contact-ms'] / 1000
    leaving = {worker.name for worker in workers[::STEP]}
    sent = {row['attempt']: row for row in fleet.record.find('sent')}
    late = []
    for row in fleet.record.find('run'):
        begun = sent[row['attempt']]
        is_calm = begun['gateway'] != restarted.name or begun['t'] > in_touch
        if row['worker'] in leaving and begun['t'] > bound and is_calm:
            late.append(row)
            fleet.record(
                'late', attempt=row['attempt'], worker=row['worker'], at=row['t'],
                gateway=begun['gateway'], after_ack=round(row['t'] - acked, 2),
            )
    names = {row['attempt'] for row in late}
    lost = [
        row for row in fleet.record.find('answered')
        if row['attempt'] in names and row['status'] != 200
    ]
    for row in lost:
        fleet.record('lost', attempt=row['attempt'], status=row['status'])
    fleet.record('result', acked_at=acked, late=len(late), lost_of_these=len(lost))
    if not fleet.record.find('run'):
        raise NotRunError('no request has run')
    return BROKEN if late else HELD


if __name__ == '__main__':
    run(main, HERE)
