from datetime import timedelta

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.leases import (
    LeaseClient,
    LeaseOptions,
    is_held,
)
from baobabhinge_coordination.store import (
    StoreAnswerLostError,
    StoredValue,
    StoreUnavailableError,
)

OPTIONS = LeaseOptions('orders/west', 'g1')
TTL = OPTIONS.time_to_live
SECOND = timedelta(seconds=1)


class Faults:
    def __init__(self):
        self.down = False
        self.lost_answers = set()
        self.delay = timedelta()
        self.delay_answer = timedelta()
        self.race_before = ''
        self.run_race = None


class Service:
    """Key-value service with sessions, in memory."""

    def __init__(self, clock):
        self.clock = clock
        self.ends = {}
        self.holder = None
        self.revision = 7
        self.faults = Faults()

    def is_alive(self, session):
        return self.clock.read_monotonic() < self.ends.get(session, -SECOND)

    async def grant(self, time_to_live):
        await self._start_call('grant')
        session = f's{len(self.ends)}'
        self.ends[session] = self.clock.read_monotonic() + time_to_live
        await self._send_answer('grant')
        return session

    async def renew(self, session):
        await self._start_call('renew')
        alive = self.is_alive(session)
        if alive:
            self.ends[session] = self.clock.read_monotonic() + TTL
        await self._send_answer('renew')
        return alive

    async def acquire(self, key, body, session):
        await self._start_call('acquire')
        is_acquired = self.is_alive(session) and (
            self.holder == session or not self.is_alive(self.holder)
        )
        if is_acquired:
            self.holder = session
            self.revision += 1
        await self._send_answer('acquire')
        return is_acquired

    async def release(self, key, session):
        await self._start_call('release')
        if self.holder == session:
            self.holder = None

    async def read(self, key):
        await self._start_call('read')
        held = self.holder if self.is_alive(self.holder) else None
        return StoredValue(key, b'', self.revision, held)

    async def _start_call(self, name):
        if self.faults.down:
            raise StoreUnavailableError
        if name == self.faults.race_before:
            self.faults.race_before = ''
            await self.faults.run_race()
        self.clock.advance(self.faults.delay)

    async def _send_answer(self, name):
        self.clock.advance(self.faults.delay_answer)
        if name in self.faults.lost_answers:
            self.faults.lost_answers.discard(name)
            raise StoreAnswerLostError


@pytest.fixture
def service():
    return Service(ManualClock())


def build_client(service):
    return LeaseClient(service, service, service.clock, OPTIONS)


async def test_the_next_holder_has_a_higher_fencing_number(service):
    first, second = build_client(service), build_client(service)
    await first.renew_or_acquire()
    await second.renew_or_acquire()
    assert (is_held(first), is_held(second)) == (True, False)
    fencing = first.require().fencing
    service.clock.advance(TTL + SECOND)
    await second.renew_or_acquire()
    assert (is_held(first), is_held(second)) == (False, True)
    assert second.require().fencing > fencing


@pytest.mark.parametrize('delay', [timedelta(), SECOND, SECOND * 4])
@pytest.mark.parametrize('delay_answer', [timedelta(), SECOND, SECOND * 4])
async def test_the_lease_ends_at_the_holder_before_it_ends_at_the_service(
    service,
    delay,
    delay_answer,
):
    service.faults.delay = delay
    service.faults.delay_answer = delay_answer
    client = build_client(service)
    await client.renew_or_acquire()
    for _ in range(3):
        await client.renew_or_acquire()
        assert not is_held(client) or service.is_alive(service.holder)
    while service.is_alive(service.holder):
        service.clock.advance(timedelta(milliseconds=100))
        held_late = is_held(client) and not service.is_alive(service.holder)
        assert not held_late
    assert not is_held(client)


async def test_a_paused_holder_finds_its_lease_expired(service):
    client = build_client(service)
    await client.renew_or_acquire()
    service.clock.advance(TTL * 3)
    assert not is_held(client)
    await client.renew_or_acquire()
    assert is_held(client)


@pytest.mark.parametrize('lost', ['acquire', 'grant', 'renew'])
async def test_a_lost_answer_does_not_lose_the_lease(service, lost):
    client = build_client(service)
    service.faults.lost_answers.add(lost)
    for _ in range(3):
        try:
            await client.renew_or_acquire()
        except StoreAnswerLostError:
            service.clock.advance(SECOND)
    assert is_held(client)
    assert client.require().fencing == service.revision


async def test_the_lease_expires_while_the_service_is_down(service):
    client = build_client(service)
    await client.renew_or_acquire()
    service.faults.down = True
    with pytest.raises(StoreUnavailableError):
        await client.renew_or_acquire()
    assert is_held(client)
    service.clock.advance(TTL - OPTIONS.margin)
    assert not is_held(client)


async def test_a_released_lease_is_free_at_once(service):
    first, second = build_client(service), build_client(service)
    await first.renew_or_acquire()
    await first.release()
    await second.renew_or_acquire()
    assert (is_held(first), is_held(second)) == (False, True)


async def test_an_expired_session_does_not_regain_the_lease(
    service,
):
    first, second = build_client(service), build_client(service)
    await first.renew_or_acquire()
    service.ends[service.holder] = timedelta()
    service.clock.advance(SECOND)
    await second.renew_or_acquire()
    await first.renew_or_acquire()
    assert (is_held(first), is_held(second)) == (False, True)


async def test_an_acquire_whose_answer_is_lost_holds_after_a_read(service):
    client = build_client(service)
    service.faults.lost_answers.add('acquire')
    await client.renew_or_acquire()
    assert is_held(client)


async def test_the_loser_of_a_race_does_not_hold(service):
    first, second = build_client(service), build_client(service)
    service.faults.race_before = 'acquire'
    service.faults.run_race = second.renew_or_acquire
    await first.renew_or_acquire()
    assert (is_held(first), is_held(second)) == (False, True)
