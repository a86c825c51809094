"""Configurations as the platform's operators write them."""

from typing import Any

HOST = 'callers.example'
PLAIN = 'ledger'
MODEL = 'model'


def build_route(name: str, kind: str, **changed: Any) -> dict[str, Any]:
    """Return the route below ``/name/``."""
    return {
        'name': name,
        'host': HOST,
        'path-prefix': f'/{name}/',
        'kind': kind,
        'timeout-ms': 2000,
        'target-latency-ms': 500,
        'priority': 1,
        'service': PLAIN,
        'max-attempts': 2,
        'sticky': False,
        'resumable': False,
        'allowed-regions': [],
        **{name.replace('_', '-'): new for name, new in changed.items()},
    }


def build_configuration(
    version: int,
    *routes: dict[str, Any],
) -> dict[str, Any]:
    """Return a configuration with ``routes``, or one of each kind."""
    standard = (
        build_route('safe', 'safe'),
        build_route('once', 'unsafe', max_attempts=1),
        build_route('stream', 'streaming', max_attempts=1),
        build_route('stream-on', 'streaming', resumable=True),
        build_route('bound', 'safe', allowed_regions=['east']),
    )
    service = {
        'health-path': '/health',
        'max-connections': 100,
        'protocol': 'h1',
        'tls': False,
        'cold-s': 3.0,
        'cold-per-s': 2.0,
    }
    engine = {'slots': 64, 'kv-tokens': 400000}
    return {
        'version': version,
        'routes': list(routes or standard),
        'services': [
            {'name': PLAIN, **service},
            {'name': MODEL, **service, 'engine': engine},
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 65536,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
    }
