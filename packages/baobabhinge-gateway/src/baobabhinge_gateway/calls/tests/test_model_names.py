from datetime import timedelta

import msgspec
import pytest

from baobabhinge_gateway.calls.model_names import ModelName, parse_model_name
from baobabhinge_gateway.calls.parsing import (
    parse_model_request,
    set_full_model_name,
)
from baobabhinge_gateway.errors import UnknownModelError
from baobabhinge_settings.model import Service, ServiceKind
from baobabhinge_settings.model.service import Adapter, ModelVersion

SERVICE = Service(
    name='llm',
    kind=ServiceKind.model,
    deadline=timedelta(seconds=1),
    versions=(ModelVersion('v1', 'w1'), ModelVersion('v2', 'w2')),
    adapters=(Adapter('any', 'a1'), Adapter('old', 'a2', ('v1',))),
)


@pytest.mark.parametrize(
    ('text', 'name'),
    [
        ('llm', ModelName('llm')),
        ('llm:any', ModelName('llm', 'any')),
        ('llm@v1', ModelName('llm', '', 'v1')),
        ('llm:old@v1', ModelName('llm', 'old', 'v1')),
    ],
)
def test_known_models_pass_the_check(text, name):
    assert parse_model_name(text) == name
    name.check(SERVICE)


@pytest.mark.parametrize('text', ['llm@v9', 'llm:new', 'llm:old@v2'])
def test_unknown_models_are_refused(text):
    with pytest.raises(UnknownModelError):
        parse_model_name(text).check(SERVICE)


@pytest.mark.parametrize(
    ('versions', 'default', 'text', 'resolved'),
    [
        (('v1', 'v2'), 'v2', 'llm', 'llm@v2'),
        (('v1', 'v2'), 'v2', 'llm:any', 'llm:any@v2'),
        (('v1', 'v2'), 'v2', 'llm@v1', 'llm@v1'),
        (('v1',), None, 'llm', 'llm@v1'),
        ((), None, 'llm', 'llm'),
    ],
)
def test_a_name_without_version_gets_the_version_in_force(
    versions, default, text, resolved
):
    service = msgspec.structs.replace(
        SERVICE,
        versions=tuple(ModelVersion(one, one) for one in versions),
        default_version=default,
    )
    body = msgspec.json.encode({'model': text, 'prompt': 'p', 'n': 1})
    model = parse_model_name(text).resolve(service)
    named = set_full_model_name(body, parse_model_request(body), model)
    assert msgspec.json.decode(named) == {
        'model': resolved,
        'prompt': 'p',
        'n': 1,
    }


def test_an_adapter_must_fit_the_version_in_force():
    service = msgspec.structs.replace(SERVICE, default_version='v2')
    with pytest.raises(UnknownModelError):
        parse_model_name('llm:old').resolve(service)
