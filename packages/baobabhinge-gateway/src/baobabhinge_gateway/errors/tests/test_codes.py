import re
from importlib import import_module
from pathlib import Path
from pkgutil import walk_packages

import baobabhinge_gateway
from baobabhinge_gateway.errors import CallError

PAGE = Path(__file__).parents[6] / 'docs' / 'errors.md'
ROW = re.compile(r'^\| `([a-z-]+)` \| (\d+) \| ([a-z, -]+) \|', re.MULTILINE)
# These take their code from another gateway, so the class has none.
RELAYED = {'RelayedProblemError', 'RelayedRefusalError'}


def list_subclasses(kind):
    for subclass in kind.__subclasses__():
        yield subclass
        yield from list_subclasses(subclass)


def test_every_code_is_documented_with_its_status_and_outcome():
    """Callers rely on docs/errors.md to decide whether they may retry."""
    for module in walk_packages(
        baobabhinge_gateway.__path__,
        'baobabhinge_gateway.',
    ):
        if '.tests' not in module.name and '__main__' not in module.name:
            import_module(module.name)
    expected = {
        (kind.code, str(int(kind.status)))
        for kind in list_subclasses(CallError)
        if kind.__name__ not in RELAYED
    }
    rows = ROW.findall(PAGE.read_text(encoding='utf-8'))
    assert {(code, status) for code, status, _ in rows} == expected
    outcomes = {code: documented for code, _, documented in rows}
    for kind in list_subclasses(CallError):
        if kind.__name__ not in RELAYED:
            assert kind.outcome in outcomes[kind.code]
