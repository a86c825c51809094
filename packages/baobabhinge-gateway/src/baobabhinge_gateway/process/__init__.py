"""Settings of a gateway process, read from its INI file."""

from baobabhinge_gateway.process.settings import (
    GatewayIdentity as GatewayIdentity,
)
from baobabhinge_gateway.process.settings import (
    PlatformAddresses as PlatformAddresses,
)
from baobabhinge_gateway.process.settings import (
    ProcessSettings as ProcessSettings,
)
from baobabhinge_gateway.process.settings import (
    ProcessSettingsError as ProcessSettingsError,
)
from baobabhinge_gateway.process.settings import (
    read_process_settings as read_process_settings,
)
