"""The platform's directory for clients."""

from baobabhinge_platform.directory.client import (
    ClientDirectory as ClientDirectory,
)
from baobabhinge_platform.directory.client import (
    DirectoryError as DirectoryError,
)
