import gzip

import aiohttp
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_standins.fleet import Role

scenarios('whole_path.feature')

CODED = 'coded '


@given('a deployment with two regions', target_fixture='running')
def start(deployment):
    return deployment


@when(
    parsers.parse('a caller in {region} sends {method} {path} with {body}'),
    target_fixture='answer',
)
def send(running, loop, region, method, path, body):
    gateway = running.roster.list_by(Role.gateway, region)[0]
    sent = None if body == 'none' else body.encode()
    headers = {}
    if body.startswith(CODED):
        sent = gzip.compress(sent.removeprefix(CODED.encode()))
        headers = {'Content-Encoding': 'gzip'}

    async def exchange():
        async with (
            aiohttp.ClientSession() as http,
            http.request(
                method,
                f'http://{gateway.caller_address}{path}',
                data=sent,
                headers=headers,
            ) as answer,
        ):
            return answer.status, await answer.text()

    return loop.run(exchange())


@then(parsers.parse('the answer is whole and contains {text}'))
def check(answer, text):
    status, body = answer
    assert status == 200, body
    assert text in body
