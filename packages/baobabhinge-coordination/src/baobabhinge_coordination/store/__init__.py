"""Interface of the platform's key-value service."""

from baobabhinge_coordination.store.errors import (
    StoreAnswerLostError as StoreAnswerLostError,
)
from baobabhinge_coordination.store.errors import StoreError as StoreError
from baobabhinge_coordination.store.errors import (
    StoreThrottledError as StoreThrottledError,
)
from baobabhinge_coordination.store.errors import (
    StoreUnavailableError as StoreUnavailableError,
)
from baobabhinge_coordination.store.protocol import (
    ABSENT_REVISION as ABSENT_REVISION,
)
from baobabhinge_coordination.store.protocol import (
    KeyValueStore as KeyValueStore,
)
from baobabhinge_coordination.store.protocol import LeaseStore as LeaseStore
from baobabhinge_coordination.store.protocol import StoredValue as StoredValue
