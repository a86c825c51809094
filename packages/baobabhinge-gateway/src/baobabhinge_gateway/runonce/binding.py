"""Run-once keys for callers that bring an Idempotency-Key of their own."""

import hashlib

from baobabhinge_coordination.runonce import (
    KeysExhaustedError,
    MalformedKeyError,
    RunOnceKey,
    decode_key,
    encode_key,
)
from baobabhinge_coordination.store import (
    KeyValueStore,
    StoreAnswerLostError,
    StoreError,
)
from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.errors import (
    KeyedRefusalError,
    KeyRequiredError,
    KeysUnavailableError,
    OutcomeUnknownError,
)
from baobabhinge_gateway.runonce.key_state import KeyState

BINDING_PREFIX = 'baobabhinge/run-once/'
DIGEST_BYTES = 20
DIGEST_KEY = b'baobabhinge-binding'
ABSENT = 0
TRIES = 2
BOUND = 'a call bound to a region takes its key from POST /v1/keys'
STORE_UNREACHABLE = (
    'the key-value service can not be reached, so an earlier attempt may have '
    'run; a key from POST /v1/keys needs no such service'
)


class KeyBinder:
    """Bind Idempotency-Keys to run-once keys, once each.

    The binding is one create-if-absent in the key-value service, under a keyed
    digest. It holds the run-once key alone. Callers may come back through any
    region, so all regions share the bindings; a call bound to a region gets
    none and has to bring a run-once key.

    Parameters
    ----------
    store : KeyValueStore
        The key-value service.
    key_state : KeyState
        Maker of keys.
    active : ActiveConfiguration
        Configuration in force; it names the regions.
    """

    __slots__ = ('_active', '_key_state', '_store')

    def __init__(
        self,
        store: KeyValueStore,
        key_state: KeyState,
        active: ActiveConfiguration,
    ) -> None:
        """Keep the parts."""
        self._store = store
        self._key_state = key_state
        self._active = active

    async def bind(self, call: Call, idempotency_key: str) -> RunOnceKey:
        """Return the run-once key of ``idempotency_key``.

        Raises
        ------
        KeyedRefusalError
            If the call is bound to a region, or no key can be made now. An
            earlier attempt may have been bound and run.
        OutcomeUnknownError
            If the key-value service does not tell.
        """
        if self._is_bound(call):
            raise KeyedRefusalError(KeyRequiredError(BOUND))
        path = build_binding_name(
            call.service.name,
            call.terms.workspace,
            idempotency_key,
        )
        try:
            return await self._claim(path, self._mint())
        except StoreError as down:
            raise OutcomeUnknownError(STORE_UNREACHABLE) from down

    def _mint(self) -> RunOnceKey:
        try:
            return self._key_state.mint.mint(1)[0]
        except KeysExhaustedError as full:
            raise KeyedRefusalError(KeysUnavailableError(str(full))) from full

    async def _claim(self, path: str, fresh: RunOnceKey) -> RunOnceKey:
        for _ in range(TRIES):
            if await self._create(path, fresh):
                return fresh
            stored = await self._store.read(path)
            if stored.revision != ABSENT:
                return _read_binding(stored.body)
        raise StoreAnswerLostError('the binding was neither made nor found')

    async def _create(self, path: str, fresh: RunOnceKey) -> bool:
        """Return whether the binding is surely made.

        A lost answer counts as no; reading the binding back tells.
        """
        encoded = encode_key(fresh).encode()
        try:
            return await self._store.swap(path, encoded, ABSENT)
        except StoreAnswerLostError:
            return False

    def _is_bound(self, call: Call) -> bool:
        regions = self._active.require_settings().regions
        return not all(call.terms.allows(region) for region in regions)


def build_binding_name(
    service: str, workspace: str, idempotency_key: str
) -> str:
    """Return the name of a binding in the key-value service."""
    digest = hashlib.blake2b(key=DIGEST_KEY, digest_size=DIGEST_BYTES)
    for part in (service, workspace, idempotency_key):
        digest.update(hashlib.sha256(part.encode()).digest())
    return f'{BINDING_PREFIX}{digest.hexdigest()}'


def _read_binding(body: bytes) -> RunOnceKey:
    try:
        return decode_key(body.decode())
    except (MalformedKeyError, UnicodeDecodeError) as damaged:
        raise StoreAnswerLostError('the binding is damaged') from damaged
