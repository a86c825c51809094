"""Error codes and exit codes of failed commands."""

import enum

import msgspec

from baobabhinge_coordination.generations import (
    BaseUnknownError,
    PublishConflictError,
    PublishRacedError,
    PublishUnavailableError,
    PublishUnknownError,
)
from baobabhinge_coordination.store import StoreError
from baobabhinge_operator import errors
from baobabhinge_settings import SettingsError
from baobabhinge_settings.errors import UnknownSettingError


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    done = 0
    refused = 1
    usage = 2
    conflict = 3
    unreachable = 4
    unknown = 5


class FailureKind(msgspec.Struct, frozen=True):
    """Codes reported for one type of error.

    Parameters
    ----------
    error : type
        Type of the exception.
    code : str
        Stable code, explained in ``docs/errors-settings.md``.
    exit_code : ExitCode
        Exit code of the command.
    """

    error: type[Exception]
    code: str
    exit_code: ExitCode


FAILURES = (
    FailureKind(SettingsError, 'settings-refused', ExitCode.refused),
    FailureKind(UnknownSettingError, 'unknown-setting', ExitCode.refused),
    FailureKind(errors.VmNameError, 'bad-vm-name', ExitCode.refused),
    FailureKind(errors.UnknownVmError, 'unknown-vm', ExitCode.refused),
    FailureKind(errors.NothingPublishedError, 'empty-store', ExitCode.refused),
    FailureKind(errors.OperatorSettingsError, 'bad-addresses', ExitCode.usage),
    FailureKind(PublishConflictError, 'publish-conflict', ExitCode.conflict),
    FailureKind(PublishRacedError, 'publish-raced', ExitCode.conflict),
    FailureKind(BaseUnknownError, 'base-unknown', ExitCode.conflict),
    FailureKind(
        PublishUnavailableError,
        'publish-unavailable',
        ExitCode.unreachable,
    ),
    FailureKind(StoreError, 'store-unreachable', ExitCode.unreachable),
    FailureKind(
        errors.VmListUnreachableError,
        'vm-list-unreachable',
        ExitCode.unreachable,
    ),
    FailureKind(
        errors.GatewayUnreachableError,
        'gateway-unreachable',
        ExitCode.unreachable,
    ),
    FailureKind(PublishUnknownError, 'publish-unknown', ExitCode.unknown),
)
FAILURE_TYPES = tuple(failure.error for failure in FAILURES)


def find_failure(error: Exception) -> FailureKind:
    """Return the codes for ``error``, an instance of one of `FAILURE_TYPES`."""
    return next(
        failure for failure in FAILURES if isinstance(error, failure.error)
    )
