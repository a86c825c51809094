"""A key-value service in memory; the test orders its calls and effects."""

import asyncio

from baobabhinge_coordination.store import (
    StoreAnswerLostError,
    StoredValue,
    StoreUnavailableError,
)

NO_FAULT = 'none'
REFUSED = 'refused'
ANSWER_LOST = 'answer lost'
TAKES_EFFECT_LATE = 'takes effect late'
FAULTS = (NO_FAULT, NO_FAULT, REFUSED, ANSWER_LOST, TAKES_EFFECT_LATE)


def draw_no_fault(method, key):
    return NO_FAULT


class MemoryStore:
    """Compare-and-swap store with faults that a test draws for each call."""

    def __init__(self, draw_fault=None):
        self.rows = {}
        self.revision = 0
        self.swapped_keys = []
        self.delayed_effects = []
        self.draw_fault = draw_fault or draw_no_fault
        self._waiting = []

    async def read(self, key):
        await self._await_turn('read', key)
        return self._get(key)

    async def watch(self, key, after, max_wait):
        await self._await_turn('read', key)
        return self._get(key)

    async def swap(self, key, body, expected):
        fault = await self._await_turn('swap', key)
        return self._write(fault, lambda: self._swap(key, body, expected))

    async def delete(self, key, expected):
        fault = await self._await_turn('delete', key)
        return self._write(fault, lambda: self._delete(key, expected))

    async def list_keys(self, prefix):
        await self._await_turn('read', prefix)
        return sorted(key for key in self.rows if key.startswith(prefix))

    def advance(self, draw_index):
        """Let one waiting call go on, or one delayed effect happen."""
        choices = [*self._waiting, *self.delayed_effects]
        chosen = choices[draw_index(len(choices))]
        if chosen in self._waiting:
            self._waiting.remove(chosen)
            chosen.set_result(None)
        else:
            self.delayed_effects.remove(chosen)
            chosen()

    def can_advance(self):
        return bool(self._waiting or self.delayed_effects)

    async def _await_turn(self, method, key):
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        await turn
        fault = self.draw_fault(method, key)
        if fault == REFUSED:
            raise StoreUnavailableError
        return fault

    def _write(self, fault, effect):
        if fault == TAKES_EFFECT_LATE:
            self.delayed_effects.append(effect)
            raise StoreAnswerLostError
        done = effect()
        if fault == ANSWER_LOST:
            raise StoreAnswerLostError
        return done

    def _get(self, key):
        body, revision = self.rows.get(key, (b'', 0))
        return StoredValue(key, body, revision)

    def _swap(self, key, body, expected):
        if self._get(key).revision != expected:
            return False
        self.revision += 1
        self.rows[key] = (body, self.revision)
        self.swapped_keys.append(key)
        return True

    def _delete(self, key, expected):
        if self._get(key).revision != expected:
            return False
        self.revision += 1
        self.rows.pop(key, None)
        return True


async def run_interleaved(store, draw_index, *coroutines):
    """Run coroutines until all end; return their outcomes in order.

    Each time all of them wait for the store, ``draw_index`` chooses which call
    goes on or which delayed effect happens.
    """
    tasks = [asyncio.ensure_future(each) for each in coroutines]
    try:
        await _advance_until_done(store, draw_index, tasks)
    finally:
        for task in tasks:
            task.cancel()
        outcomes = await asyncio.gather(*tasks, return_exceptions=True)
    return outcomes


async def _advance_until_done(store, draw_index, tasks):
    while True:
        await _run_until_tasks_wait()
        if all(task.done() for task in tasks) and not store.delayed_effects:
            return
        if store.can_advance():
            store.advance(draw_index)


async def _run_until_tasks_wait():
    for _ in range(5):
        await asyncio.sleep(0)
