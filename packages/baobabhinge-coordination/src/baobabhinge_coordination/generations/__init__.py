"""Versioned configuration: each accepted change makes a new generation.

A generation is published as a whole or not at all, and generation numbers only
grow.
"""

from baobabhinge_coordination.generations.audit import (
    AuditedFile as AuditedFile,
)
from baobabhinge_coordination.generations.audit import (
    AuditReader as AuditReader,
)
from baobabhinge_coordination.generations.audit import (
    AuditRecord as AuditRecord,
)
from baobabhinge_coordination.generations.changes import (
    FileChange as FileChange,
)
from baobabhinge_coordination.generations.changes import (
    PublishRequest as PublishRequest,
)
from baobabhinge_coordination.generations.changes import (
    map_digests as map_digests,
)
from baobabhinge_coordination.generations.deltas import (
    DeltaMismatchError as DeltaMismatchError,
)
from baobabhinge_coordination.generations.deltas import (
    ReleaseDelta as ReleaseDelta,
)
from baobabhinge_coordination.generations.deltas import (
    apply_delta as apply_delta,
)
from baobabhinge_coordination.generations.deltas import (
    build_delta as build_delta,
)
from baobabhinge_coordination.generations.digests import (
    compute_digest as compute_digest,
)
from baobabhinge_coordination.generations.errors import (
    BaseUnknownError as BaseUnknownError,
)
from baobabhinge_coordination.generations.errors import (
    PublishConflictError as PublishConflictError,
)
from baobabhinge_coordination.generations.errors import (
    PublishError as PublishError,
)
from baobabhinge_coordination.generations.errors import (
    PublishRacedError as PublishRacedError,
)
from baobabhinge_coordination.generations.errors import (
    PublishUnavailableError as PublishUnavailableError,
)
from baobabhinge_coordination.generations.errors import (
    PublishUnknownError as PublishUnknownError,
)
from baobabhinge_coordination.generations.manifest import Manifest as Manifest
from baobabhinge_coordination.generations.manifest import (
    ManifestFile as ManifestFile,
)
from baobabhinge_coordination.generations.manifest import (
    Publication as Publication,
)
from baobabhinge_coordination.generations.manifest import Release as Release
from baobabhinge_coordination.generations.manifest import (
    ReleaseFile as ReleaseFile,
)
from baobabhinge_coordination.generations.publisher import (
    Publisher as Publisher,
)
from baobabhinge_coordination.generations.release_reader import (
    ReleaseReader as ReleaseReader,
)
from baobabhinge_coordination.generations.watchers import (
    is_watcher as is_watcher,
)
