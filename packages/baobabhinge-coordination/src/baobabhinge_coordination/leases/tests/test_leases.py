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

TERMS = LeaseOptions('orders/west', 'g1')
TTL = TERMS.time_to_live
SECOND = timedelta(seconds=1)


class Faults:
    def __init__(self):
        self.down = False
        self.lose = set()
        self.delay = timedelta()
        self.delay_answer = timedelta()
        self.overtaken = ''
        self.overtake = None


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
        await self._effect('grant')
        session = f's{len(self.ends)}'
        self.ends[session] = self.clock.read_monotonic() + time_to_live
        await self._answer('grant')
        return session

    async def renew(self, session):
        await self._effect('renew')
        alive = self.is_alive(session)
        if alive:
            self.ends[session] = self.clock.read_monotonic() + TTL
        await self._answer('renew')
        return alive

    async def acquire(self, key, body, session):
        await self._effect('acquire')
        taken = self.is_alive(session) and (
            self.holder == session or not self.is_alive(self.holder)
        )
        if taken:
            self.holder = session
            self.revision += 1
        await self._answer('acquire')
        return taken

    async def release(self, key, session):
        await self._effect('release')
        if self.holder == session:
            self.holder = None

    async def read(self, key):
        await self._effect('read')
        held = self.holder if self.is_alive(self.holder) else None
        return StoredValue(key, b'', self.revision, held)

    async def _effect(self, name):
        if self.faults.down:
            raise StoreUnavailableError
        if name == self.faults.overtaken:
            self.faults.overtaken = ''
            await self.faults.overtake()
        self.clock.advance(self.faults.delay)

    async def _answer(self, name):
        self.clock.advance(self.faults.delay_answer)
        if name in self.faults.lose:
            self.faults.lose.discard(name)
            raise StoreAnswerLostError


@pytest.fixture
def service():
    return Service(ManualClock())


def build_keeper(service):
    return LeaseClient(service, service, service.clock, TERMS)


async def test_one_of_two_holds_and_the_next_has_a_higher_number(service):
    first, second = build_keeper(service), build_keeper(service)
    await first.renew_or_acquire()
    await second.renew_or_acquire()
    assert (is_held(first), is_held(second)) == (True, False)
    number = first.require().fencing
    service.clock.advance(TTL + SECOND)
    await second.renew_or_acquire()
    assert (is_held(first), is_held(second)) == (False, True)
    assert second.require().fencing > number


@pytest.mark.parametrize('delay', [timedelta(), SECOND, SECOND * 4])
@pytest.mark.parametrize('delay_answer', [timedelta(), SECOND, SECOND * 4])
async def test_the_holder_stops_before_the_service_gives_the_key_away(
    service,
    delay,
    delay_answer,
):
    service.faults.delay = delay
    service.faults.delay_answer = delay_answer
    keeper = build_keeper(service)
    await keeper.renew_or_acquire()
    for _ in range(3):
        await keeper.renew_or_acquire()
        assert not is_held(keeper) or service.is_alive(service.holder)
    while service.is_alive(service.holder):
        service.clock.advance(timedelta(milliseconds=100))
        held_late = is_held(keeper) and not service.is_alive(service.holder)
        assert not held_late
    assert not is_held(keeper)


async def test_a_holder_that_was_paused_can_tell(service):
    keeper = build_keeper(service)
    await keeper.renew_or_acquire()
    service.clock.advance(TTL * 3)
    assert not is_held(keeper)
    await keeper.renew_or_acquire()
    assert is_held(keeper)


@pytest.mark.parametrize('lost', ['acquire', 'grant', 'renew'])
async def test_a_lost_answer_does_not_lose_the_lease(service, lost):
    keeper = build_keeper(service)
    service.faults.lose.add(lost)
    for _ in range(3):
        try:
            await keeper.renew_or_acquire()
        except StoreAnswerLostError:
            service.clock.advance(SECOND)
    assert is_held(keeper)
    assert keeper.require().fencing == service.revision


async def test_the_lease_runs_out_while_the_service_is_down(service):
    keeper = build_keeper(service)
    await keeper.renew_or_acquire()
    service.faults.down = True
    with pytest.raises(StoreUnavailableError):
        await keeper.renew_or_acquire()
    assert is_held(keeper)
    service.clock.advance(TTL - TERMS.margin)
    assert not is_held(keeper)


async def test_a_resigned_lease_is_free_at_once(service):
    first, second = build_keeper(service), build_keeper(service)
    await first.renew_or_acquire()
    await first.release()
    await second.renew_or_acquire()
    assert (is_held(first), is_held(second)) == (False, True)


async def test_a_session_that_lapsed_unseen_is_not_renewed_into_a_lease(
    service,
):
    first, second = build_keeper(service), build_keeper(service)
    await first.renew_or_acquire()
    service.ends[service.holder] = timedelta()
    service.clock.advance(SECOND)
    await second.renew_or_acquire()
    await first.renew_or_acquire()
    assert (is_held(first), is_held(second)) == (False, True)


async def test_an_acquire_without_its_answer_holds_after_a_read(service):
    keeper = build_keeper(service)
    service.faults.lose.add('acquire')
    await keeper.renew_or_acquire()
    assert is_held(keeper)


async def test_the_loser_of_a_race_does_not_hold(service):
    first, second = build_keeper(service), build_keeper(service)
    service.faults.overtaken = 'acquire'
    service.faults.overtake = second.renew_or_acquire
    await first.renew_or_acquire()
    assert (is_held(first), is_held(second)) == (False, True)
