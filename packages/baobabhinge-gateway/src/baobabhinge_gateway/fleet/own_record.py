"""Membership record of this gateway, and vms built from such records."""

from datetime import UTC, datetime, timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.membership import Member, MembershipView
from baobabhinge_gateway.lifecycle import Lifecycle
from baobabhinge_gateway.process import GatewayIdentity
from baobabhinge_platform.machines import Role, Vm

FAILURE_DOMAIN = 'failure_domain'
CALLER_ADDRESS = 'caller_address'
VERSION_EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
VERSION_STEP = timedelta(milliseconds=1)


def build_own_record(
    identity: GatewayIdentity,
    lifecycle: Lifecycle,
    clock: Clock,
) -> Member:
    """Return the first record of this incarnation.

    Its version is the number of milliseconds since `VERSION_EPOCH`, so that a
    later start begins above an earlier one. If the wall clock was set back,
    the records that other gateways hold raise the version.
    """
    return Member(
        identity.name,
        identity.region,
        lifecycle.incarnation,
        (clock.read_instant() - VERSION_EPOCH) // VERSION_STEP,
        address=identity.peer_address,
        labels={
            FAILURE_DOMAIN: identity.failure_domain,
            CALLER_ADDRESS: identity.caller_address,
        },
    )


def build_members(
    identity: GatewayIdentity,
    lifecycle: Lifecycle,
    clock: Clock,
) -> MembershipView:
    """Return a membership with this gateway as its only member."""
    return MembershipView(build_own_record(identity, lifecycle, clock), clock)


def convert_member(member: Member) -> Vm:
    """Return the vm described by the membership record of a gateway."""
    return Vm(
        name=member.name,
        address=member.address,
        region=member.region,
        failure_domain=member.labels.get(FAILURE_DOMAIN, ''),
        role=Role.gateway,
        caller_address=member.labels.get(CALLER_ADDRESS, ''),
    )
