"""Datagrams between gateways: heartbeats with state and loads, reports."""

from baobabhinge_gateway.neighbours.byte_budget import (
    ByteBudget as ByteBudget,
)
from baobabhinge_gateway.neighbours.heartbeat_plan import (
    HeartbeatPlan as HeartbeatPlan,
)
from baobabhinge_gateway.neighbours.messages import (
    CrashReports as CrashReports,
)
from baobabhinge_gateway.neighbours.messages import Heartbeat as Heartbeat
from baobabhinge_gateway.neighbours.messages import (
    HeartbeatBundle as HeartbeatBundle,
)
from baobabhinge_gateway.neighbours.messages import OriginQuery as OriginQuery
from baobabhinge_gateway.neighbours.messages import (
    OriginRecord as OriginRecord,
)
from baobabhinge_gateway.neighbours.metrics import PeerMetrics as PeerMetrics
from baobabhinge_gateway.neighbours.receiver import (
    DatagramReceiver as DatagramReceiver,
)
from baobabhinge_gateway.neighbours.receiver import (
    PeerHandlers as PeerHandlers,
)
from baobabhinge_gateway.neighbours.report_sender import (
    ReportSender as ReportSender,
)
from baobabhinge_gateway.neighbours.sections import (
    ExchangeSection as ExchangeSection,
)
from baobabhinge_gateway.neighbours.sections import (
    SectionMessage as SectionMessage,
)
from baobabhinge_gateway.neighbours.sections import (
    SectionRegistry as SectionRegistry,
)
from baobabhinge_gateway.neighbours.sections import (
    SectionSender as SectionSender,
)
from baobabhinge_gateway.neighbours.service import (
    HeartbeatService as HeartbeatService,
)
from baobabhinge_gateway.neighbours.table import (
    GatewayContact as GatewayContact,
)
from baobabhinge_gateway.neighbours.table import GatewayTable as GatewayTable
from baobabhinge_gateway.neighbours.table import (
    is_region_lost as is_region_lost,
)
from baobabhinge_gateway.neighbours.table import spare_busy as spare_busy
