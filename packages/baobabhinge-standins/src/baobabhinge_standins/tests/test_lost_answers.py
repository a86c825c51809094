"""Answers that are lost after their request took effect."""

import itertools
import re

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_standins.application.messages import ApplicationFaults
from baobabhinge_standins.fleet import Role
from baobabhinge_standins.keyvalue.faults import StoreFaults
from baobabhinge_standins.tests.conftest import SMALL_PLAN, SMALL_SETTINGS
from baobabhinge_standins.tests.steps.operators import Operators

scenarios('lost_answers.feature')

LOST = StoreFaults(lose_answers=1, lose_key='manifest', down_after_loss=True)
TEXT = '[workspace {name}]\nhome = {home}\n'
ACCEPTED = 0
UNKNOWN = 5
NUMBERS = itertools.count(1)


class Publications:
    """Publications of one file by two operators."""

    def __init__(self, running, folder, number):
        self.operators = Operators(running, folder)
        self.store = running.platform.store
        self.workspace = f'lost-{number}'
        self.first = 0
        self.publish_id = ''
        self.ended = None

    @property
    def name(self):
        """Return the name of the file."""
        return f'30-{self.workspace}.ini'

    async def lose_answer(self):
        release = await self.operators.read_release()
        self.first = release['generation'] + 1
        await self.set_faults(LOST)
        await self.publish()
        assert self.ended.exit_code == UNKNOWN, self.ended
        found = re.search('--publish-id=([0-9a-f]+)', self.ended.text)
        self.publish_id = found.group(1)

    async def set_faults(self, faults):
        await self.store.send('PUT', '-/faults', faults)

    async def publish(self, *options, home='west', author='lead'):
        files = {self.name: self.render(home)}
        self.ended = await self.operators.publish(
            files,
            *options,
            author=author,
        )

    async def publish_again(self):
        await self.publish(f'--publish-id={self.publish_id}')

    async def publish_other(self):
        base = f'--base={self.first}'
        await self.publish(base, home='east', author='other')
        assert self.ended.exit_code == ACCEPTED, self.ended

    def render(self, home):
        return TEXT.format(name=self.workspace, home=home)

    async def list_authors(self):
        """Return the authors of the file's records, the oldest first."""
        ended = await self.operators.run('history', '--json')
        records = sorted(
            msgspec.json.decode(ended.text),
            key=lambda record: record['to_generation'],
        )
        return [
            record['author']
            for record in records
            if any(listed['name'] == self.name for listed in record['files'])
        ]


@pytest.fixture(scope='module')
def running(serve):
    return serve(SMALL_PLAN, SMALL_SETTINGS)


@pytest.fixture
def publications(running, loop, tmp_path):
    publications = Publications(running, tmp_path, next(NUMBERS))
    yield publications
    loop.run(publications.set_faults(StoreFaults()))


@when(
    parsers.parse(
        'a {method} reaches a backend server that runs it and cuts its answer',
    ),
)
def send_and_cut(running, loop, http, method):
    async def send():
        ledger = running.roster.get('west-ledger-1')
        faults = ApplicationFaults(cut_after_effect=1)
        await running.backends.set_faults(ledger, faults)
        gateway = running.roster.get('west-gateway-1')
        url = f'http://{gateway.caller_address}/services/ledger/{method}'
        async with http.request(method, url) as answer:
            await answer.read()

    loop.run(send())


@then(parsers.parse('no backend server has run the {method} twice'))
def check_runs(running, loop, method):
    async def count(ledger):
        runs = await running.backends.read_runs(ledger)
        return sum(run.path == f'/{method}' for run in runs)

    ledgers = running.roster.list_by(Role.application)
    counts = [loop.run(count(ledger)) for ledger in ledgers]
    assert max(counts) == 1, counts


@given('the key-value service goes down as it accepts a publication')
def lose_answer(publications, loop):
    loop.run(publications.lose_answer())


@when('the key-value service is back')
def come_back(publications, loop):
    loop.run(publications.set_faults(StoreFaults()))


@when('another operator publishes another text of the file')
def publish_other(publications, loop):
    loop.run(publications.publish_other())


@when('the first operator publishes again with the same identifier')
def publish_again(publications, loop):
    loop.run(publications.publish_again())


@then(
    'the operator is told "accepted as generation" of the first publication',
)
def check_accepted(publications):
    told = f'accepted as generation {publications.first}\n'
    assert publications.ended.exit_code == ACCEPTED, publications.ended
    assert publications.ended.text == told


@then('the operator is told that it may have been accepted')
def check_unknown(publications):
    assert publications.ended.exit_code == UNKNOWN, publications.ended
    assert publications.publish_id in publications.ended.text


@then('the text of the other operator is in force')
def check_text(publications, loop):
    texts = loop.run(publications.operators.read_texts())
    assert texts[publications.name] == publications.render('east')


@then('each of the two was published once')
def check_history(publications, loop):
    authors = loop.run(publications.list_authors())
    assert authors == ['lead', 'other']
