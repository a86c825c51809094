from datetime import timedelta

import pytest

from baobabhinge_gateway.calls.models import ModelName, parse_model_name
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
def test_known_models(text, name):
    assert parse_model_name(text) == name
    name.check(SERVICE)


@pytest.mark.parametrize('text', ['llm@v9', 'llm:new', 'llm:old@v2'])
def test_unknown_models(text):
    with pytest.raises(UnknownModelError):
        parse_model_name(text).check(SERVICE)
