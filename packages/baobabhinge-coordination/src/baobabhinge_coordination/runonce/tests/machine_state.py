"""Copies and fingerprints of the explored owner and witness (machines)."""

import enum

import msgspec


def copy_machine(component, memo):
    """Copy machines and their tables; share immutable messages and keys."""
    if isinstance(component, dict):
        return {
            key: copy_machine(part, memo) for key, part in component.items()
        }
    if not _is_machine(component):
        return component
    if id(component) not in memo:
        twin = object.__new__(type(component))
        memo[id(component)] = twin
        for name in type(component).__slots__:
            setattr(twin, name, copy_machine(getattr(component, name), memo))
    return memo[id(component)]


def fingerprint_machine(component):
    if isinstance(component, dict):
        return frozenset(
            (key, fingerprint_machine(part)) for key, part in component.items()
        )
    if _is_machine(component):
        return tuple(
            fingerprint_machine(getattr(component, name))
            for name in type(component).__slots__
        )
    return component


def _is_machine(component):
    if isinstance(component, msgspec.Struct | enum.Enum):
        return False
    return type(component).__module__.startswith('baobabhinge_coordination')
