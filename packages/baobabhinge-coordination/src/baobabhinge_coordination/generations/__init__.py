"""Configurations that are accepted whole and never go back."""

from baobabhinge_coordination.generations.messages import Manifest as Manifest
from baobabhinge_coordination.generations.messages import (
    ManifestFile as ManifestFile,
)
from baobabhinge_coordination.generations.messages import Release as Release
from baobabhinge_coordination.generations.messages import (
    ReleaseFile as ReleaseFile,
)
from baobabhinge_coordination.generations.publishing import (
    PublishConflictError as PublishConflictError,
)
from baobabhinge_coordination.generations.publishing import (
    Publisher as Publisher,
)
from baobabhinge_coordination.generations.reading import (
    ReleaseReader as ReleaseReader,
)
