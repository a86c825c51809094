"""Client of the directory in which callers find gateways."""

from baobabhinge_platform.directory.client import (
    DirectoryClient as DirectoryClient,
)
from baobabhinge_platform.directory.client import (
    DirectoryError as DirectoryError,
)
