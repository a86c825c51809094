"""Stable codes and exit codes of failures."""

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
    """How a command ended."""

    done = 0
    refused = 1
    usage = 2
    conflict = 3
    unreachable = 4
    unknown = 5


class Failure(msgspec.Struct, frozen=True):
    """A kind of failure.

    Parameters
    ----------
    error : type
        Type of the exception.
    code : str
        Stable code, explained in ``docs/errors-settings.md``.
    exit_code : ExitCode
        How the command ends.
    """

    error: type[Exception]
    code: str
    exit_code: ExitCode


FAILURES = (
    Failure(SettingsError, 'settings-refused', ExitCode.refused),
    Failure(UnknownSettingError, 'unknown-setting', ExitCode.refused),
    Failure(errors.VmNameError, 'bad-vm-name', ExitCode.refused),
    Failure(errors.UnknownVmError, 'unknown-vm', ExitCode.refused),
    Failure(errors.NothingPublishedError, 'empty-store', ExitCode.refused),
    Failure(errors.OperatorSettingsError, 'bad-addresses', ExitCode.usage),
    Failure(PublishConflictError, 'publish-conflict', ExitCode.conflict),
    Failure(PublishRacedError, 'publish-raced', ExitCode.conflict),
    Failure(BaseUnknownError, 'base-unknown', ExitCode.conflict),
    Failure(
        PublishUnavailableError,
        'publish-unavailable',
        ExitCode.unreachable,
    ),
    Failure(StoreError, 'store-unreachable', ExitCode.unreachable),
    Failure(
        errors.VmListUnreachableError,
        'vm-list-unreachable',
        ExitCode.unreachable,
    ),
    Failure(
        errors.GatewayUnreachableError,
        'gateway-unreachable',
        ExitCode.unreachable,
    ),
    Failure(PublishUnknownError, 'publish-unknown', ExitCode.unknown),
)
FAILURE_TYPES = tuple(failure.error for failure in FAILURES)


def find_failure(error: Exception) -> Failure:
    """Return the kind of ``error``, one of `FAILURE_TYPES`."""
    return next(
        failure for failure in FAILURES if isinstance(error, failure.error)
    )
