"""Copies and fingerprints of the explored owner and witness."""

import enum

import msgspec


def copy_component(component, memo):
    """Copy owner or witness with its tables; share immutable objects."""
    if isinstance(component, dict):
        return {
            key: copy_component(part, memo) for key, part in component.items()
        }
    if not _is_component(component):
        return component
    if id(component) not in memo:
        copied = object.__new__(type(component))
        memo[id(component)] = copied
        for name in type(component).__slots__:
            setattr(
                copied, name, copy_component(getattr(component, name), memo)
            )
    return memo[id(component)]


def fingerprint_component(component):
    if isinstance(component, dict):
        return frozenset(
            (key, fingerprint_component(part))
            for key, part in component.items()
        )
    if _is_component(component):
        return tuple(
            fingerprint_component(getattr(component, name))
            for name in type(component).__slots__
        )
    return component


def _is_component(component):
    if isinstance(component, msgspec.Struct | enum.Enum):
        return False
    return type(component).__module__.startswith('baobabhinge_coordination')
