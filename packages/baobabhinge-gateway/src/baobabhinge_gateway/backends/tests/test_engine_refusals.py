import pytest

from baobabhinge_gateway.backends.engine_refusals import parse_engine_refusal


@pytest.mark.parametrize(
    ('body', 'code', 'outcome'),
    [
        (
            b'{"error":{"code":"model-not-loaded"}}',
            'model-not-loaded',
            'not-run',
        ),
        (b'{"error":{"code":"no-such-path"}}', 'backend-failed', 'unknown'),
        (b'{"error":"model-not-loaded"}', 'backend-failed', 'unknown'),
        (b'not found', 'backend-failed', 'unknown'),
    ],
)
def test_only_the_code_model_not_loaded_means_not_run(body, code, outcome):
    refusal = parse_engine_refusal(body)
    assert refusal.code == code
    assert refusal.outcome == outcome
