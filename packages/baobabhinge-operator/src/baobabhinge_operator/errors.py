"""Errors of the operators' command line."""


class OperatorError(Exception):
    """Base of the errors that the command line itself raises."""


class OperatorSettingsError(OperatorError):
    """The operator's settings file is invalid or lacks a required key."""


class GatewayUnreachableError(OperatorError):
    """None of the gateways asked gave an answer."""


class NothingPublishedError(OperatorError):
    """The key-value service holds no configuration."""


class VmNameError(OperatorError):
    """The name of the vm is not an identifier."""


class UnknownVmError(OperatorError):
    """The list of vms does not contain the vm."""


class VmListUnreachableError(OperatorError):
    """The list of vms can't be read."""
