"""Failures of the operators' command line."""


class OperatorError(Exception):
    """Base of the failures of the command line itself."""


class OperatorSettingsError(OperatorError):
    """The operator's settings file can't be used, or lacks a key."""


class GatewayUnreachableError(OperatorError):
    """No gateway answers."""


class NothingPublishedError(OperatorError):
    """The key-value service holds no configuration."""


class VmNameError(OperatorError):
    """The name of the vm is not an identifier."""


class UnknownVmError(OperatorError):
    """The list of vms has no such vm."""


class VmListUnreachableError(OperatorError):
    """The list of vms can't be read."""
