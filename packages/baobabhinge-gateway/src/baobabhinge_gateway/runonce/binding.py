"""Bindings of the Idempotency-Keys of callers to run-once keys."""

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
ABSENT_REVISION = 0
MAX_CLAIM_ATTEMPTS = 2
REGION_BOUND_DETAIL = 'a call bound to a region needs a key from POST /v1/keys'
STORE_UNREACHABLE_DETAIL = (
    'the key-value service can not be reached, so an earlier attempt may have '
    'run; a key from POST /v1/keys needs no such service'
)


class KeyBinder:
    """Bind each Idempotency-Key to one run-once key.

    A binding is created with one create-if-absent in the key-value service,
    under a keyed digest of the Idempotency-Key, and holds only the run-once
    key. Callers may retry through any region, so all regions share the
    bindings. A call bound to a region therefore gets no binding and must carry
    a run-once key.

    Parameters
    ----------
    store : KeyValueStore
        Client of the key-value service.
    key_state : KeyState
        Its mint makes the run-once keys.
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
        """Store the collaborators; nothing is read or written yet."""
        self._store = store
        self._key_state = key_state
        self._active = active

    async def bind(self, call: Call, idempotency_key: str) -> RunOnceKey:
        """Return the run-once key of ``idempotency_key``.

        Raises
        ------
        KeyedRefusalError
            If the call is bound to a region, or no key can be made now. An
            earlier attempt may have been bound and may have run.
        OutcomeUnknownError
            If the key-value service can't be reached or loses its answer.
        """
        if self._is_region_bound(call):
            raise KeyedRefusalError(KeyRequiredError(REGION_BOUND_DETAIL))
        name = build_binding_name(
            call.service.name,
            call.terms.workspace,
            idempotency_key,
        )
        try:
            return await self._claim(name, self._mint())
        except StoreError as error:
            raise OutcomeUnknownError(STORE_UNREACHABLE_DETAIL) from error

    def _mint(self) -> RunOnceKey:
        try:
            return self._key_state.mint.mint(1)[0]
        except KeysExhaustedError as error:
            raise KeyedRefusalError(KeysUnavailableError(str(error))) from error

    async def _claim(self, name: str, new_key: RunOnceKey) -> RunOnceKey:
        for _ in range(MAX_CLAIM_ATTEMPTS):
            if await self._create(name, new_key):
                return new_key
            stored = await self._store.read(name)
            if stored.revision != ABSENT_REVISION:
                return _read_binding(stored.body)
        raise StoreAnswerLostError('the binding was neither created nor found')

    async def _create(self, name: str, new_key: RunOnceKey) -> bool:
        """Return whether the binding is known to have been created.

        Return ``False`` after a lost answer; the caller then reads the
        binding back.
        """
        encoded = encode_key(new_key).encode()
        try:
            return await self._store.swap(name, encoded, ABSENT_REVISION)
        except StoreAnswerLostError:
            return False

    def _is_region_bound(self, call: Call) -> bool:
        regions = self._active.require_settings().regions
        return not all(call.terms.allows(region) for region in regions)


def build_binding_name(
    service: str, workspace: str, idempotency_key: str
) -> str:
    """Return the store key of a binding; it does not reveal the arguments."""
    digest = hashlib.blake2b(key=DIGEST_KEY, digest_size=DIGEST_BYTES)
    for part in (service, workspace, idempotency_key):
        digest.update(hashlib.sha256(part.encode()).digest())
    return f'{BINDING_PREFIX}{digest.hexdigest()}'


def _read_binding(body: bytes) -> RunOnceKey:
    try:
        return decode_key(body.decode())
    except (MalformedKeyError, UnicodeDecodeError) as error:
        raise StoreAnswerLostError(
            'the binding holds no valid run-once key'
        ) from error
