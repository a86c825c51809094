"""Isolation of requests that may crash the engines that run them."""

from baobabhinge_gateway.suspects.assembly import (
    build_isolation as build_isolation,
)
from baobabhinge_gateway.suspects.isolation import Isolation as Isolation
