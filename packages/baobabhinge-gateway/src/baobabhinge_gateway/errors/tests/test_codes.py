import re
from importlib import import_module
from pathlib import Path
from pkgutil import walk_packages

import baobabhinge_gateway
from baobabhinge_gateway.errors import CallError

PAGE = Path(__file__).parents[6] / 'docs' / 'errors.md'
ROW = re.compile(r'^\| `([a-z-]+)` \| (\d+) \| ([a-z, -]+) \|', re.MULTILINE)
# Codes of another gateway's refusal are not codes of a class.
RELAYED = {'RelayedProblemError', 'RelayedRefusalError'}


def list_kinds(kind):
    for narrower in kind.__subclasses__():
        yield narrower
        yield from list_kinds(narrower)


def test_every_code_is_documented_with_its_status_and_outcome():
    for module in walk_packages(
        baobabhinge_gateway.__path__,
        'baobabhinge_gateway.',
    ):
        if '.tests' not in module.name and '__main__' not in module.name:
            import_module(module.name)
    expected = {
        (kind.code, str(int(kind.status)))
        for kind in list_kinds(CallError)
        if kind.__name__ not in RELAYED
    }
    rows = ROW.findall(PAGE.read_text(encoding='utf-8'))
    assert {(code, status) for code, status, _ in rows} == expected
    outcomes = {code: told for code, _, told in rows}
    for kind in list_kinds(CallError):
        if kind.__name__ not in RELAYED:
            assert kind.outcome in outcomes[kind.code]
