"""The platform's directory for clients."""

from baobabhinge_platform.directory.client import (
    DirectoryClient as DirectoryClient,
)
from baobabhinge_platform.directory.client import (
    DirectoryError as DirectoryError,
)
