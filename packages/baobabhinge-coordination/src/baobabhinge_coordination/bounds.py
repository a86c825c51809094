"""Types of numbers on the wire, whose bounds the decoders check.

Arithmetic on what is decoded can't overflow then.
"""

from typing import Annotated

from msgspec import Meta

# Some 31 years, far above each age and time limit.
_LONGEST_MS = 10**12

# Divided by.
Slots = Annotated[int, Meta(ge=1, le=10**9)]
Count = Annotated[int, Meta(ge=0, le=10**12)]
Milliseconds = Annotated[int, Meta(ge=0, le=_LONGEST_MS)]
FractionalMilliseconds = Annotated[float, Meta(ge=0, le=_LONGEST_MS)]
FractionalSeconds = Annotated[float, Meta(ge=0, le=10**9)]
PositiveSeconds = Annotated[float, Meta(gt=0, le=10**9)]
Rate = Annotated[float, Meta(ge=0, le=10**12)]
PositiveRate = Annotated[float, Meta(gt=0, le=10**12)]
# Since 1970; until the year 2286.
EpochMilliseconds = Annotated[int, Meta(ge=0, lt=10**13)]
StoreRevision = Annotated[int, Meta(ge=0, le=2**62)]
Port = Annotated[int, Meta(ge=1, le=65535)]
_OCTET = '(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])'
_HOST_PATTERN = rf'{_OCTET}(\.{_OCTET}){{3}}'
_PORT_PATTERN = '[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}'
# No name, which would have to be looked up.
Host = Annotated[str, Meta(pattern=f'^{_HOST_PATTERN}$')]
HostAndPort = Annotated[
    str,
    Meta(
        pattern=f'^{_HOST_PATTERN}:({_PORT_PATTERN}|655[0-2][0-9]|6553[0-5])$'
    ),
]
