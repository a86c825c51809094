"""Copies and fingerprints of the machines under exploration."""

import enum

import msgspec


def clone_machine(thing, memo):
    """Copy machines and their tables; messages and keys are shared."""
    if isinstance(thing, dict):
        return {key: clone_machine(part, memo) for key, part in thing.items()}
    if not _is_machine(thing):
        return thing
    if id(thing) not in memo:
        twin = object.__new__(type(thing))
        memo[id(thing)] = twin
        for name in type(thing).__slots__:
            setattr(twin, name, clone_machine(getattr(thing, name), memo))
    return memo[id(thing)]


def identify_machine(thing):
    if isinstance(thing, dict):
        return frozenset(
            (key, identify_machine(part)) for key, part in thing.items()
        )
    if _is_machine(thing):
        return tuple(
            identify_machine(getattr(thing, name))
            for name in type(thing).__slots__
        )
    return thing


def _is_machine(thing):
    if isinstance(thing, msgspec.Struct | enum.Enum):
        return False
    return type(thing).__module__.startswith('baobabhinge_coordination')
