"""Construction of the quotas of a gateway."""

from functools import partial

from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.neighbours import SectionSender
from baobabhinge_gateway.quotas.admission import Admission, AdmissionParts
from baobabhinge_gateway.quotas.credit_table import CreditTable
from baobabhinge_gateway.quotas.elections import Election
from baobabhinge_gateway.quotas.gate import QuotaGate
from baobabhinge_gateway.quotas.metrics import QuotaMetrics
from baobabhinge_gateway.quotas.rosters import TableRoster
from baobabhinge_gateway.quotas.section import QuotaParts, QuotaSection
from baobabhinge_gateway.quotas.tables import QuotaTable


def add_quotas(core: GatewayCore) -> None:
    """Bound the calls of workspaces by their quotas."""
    parts = build_parts(core)
    section = QuotaSection(parts, partial(_send, core))
    core.sections.register(section)
    metrics = QuotaMetrics(core.ingress.metrics.registry)
    admission = Admission(
        AdmissionParts(parts.clock, parts.election, metrics), section
    )
    core.ingress.bounds.gates.add(
        QuotaGate(
            admission, parts.credit_table, parts.clock, core.ingress.random
        )
    )


def build_parts(core: GatewayCore) -> QuotaParts:
    """Return the decisions of a gateway on quotas."""
    settings = core.settings
    own = SectionSender(
        settings.own.name,
        settings.own.region,
        core.ingress.lifecycle.incarnation,
    )
    table = QuotaTable(
        core.state.configuration, settings.quotas, len(settings.list_regions())
    )
    return QuotaParts(
        own,
        core.ingress.clock,
        Election(own, TableRoster(core.gateways, core.ingress.lifecycle)),
        CreditTable(table.read),
    )


def _send(core: GatewayCore, payload: bytes, name: str) -> None:
    contact = core.gateways.contacts.get(name)
    if contact is not None:
        core.sections.send('quotas', payload, [contact.address])
