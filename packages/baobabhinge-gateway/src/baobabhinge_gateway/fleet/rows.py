"""Binary rows in which gateways send load reports to each other."""

import io
import struct
from collections.abc import Iterator, Sequence
from datetime import timedelta

import msgspec

from baobabhinge_gateway.fleet.digests import DIGEST_BYTES, digest_name
from baobabhinge_gateway.fleet.reports import LoadReport
from baobabhinge_platform.machines import Vm

AGE_STEP = timedelta(milliseconds=250)
MAX_BYTE = 0xFF
MAX_AGE_STEPS = 0x7F
DRAINING_FLAG = 0x80
# Digest of the name; running, waiting and slots; age in steps combined with
# the draining flag; number of model digests that follow the head.
ROW_HEAD = struct.Struct('>3s5B')


def pack_row(vm: Vm, report: LoadReport) -> bytes:
    """Encode ``report`` of ``vm`` as a row.

    Counts above `MAX_BYTE` and ages above `MAX_AGE_STEPS` are capped.
    """
    # Rounded up, as rounding down would make the report appear newer.
    age_steps = min(-(-report.age // AGE_STEP), MAX_AGE_STEPS)
    flag = DRAINING_FLAG if report.draining else 0
    models = sorted(report.models)[:MAX_BYTE]
    head = ROW_HEAD.pack(
        digest_name(vm.name),
        min(report.running, MAX_BYTE),
        min(report.waiting, MAX_BYTE),
        min(report.slots, MAX_BYTE),
        age_steps | flag,
        len(models),
    )
    return head + b''.join(models)


def unpack_rows(packed: bytes) -> Iterator[tuple[bytes, LoadReport]]:
    """Yield the digest of the vm name and the report of each row.

    Raises
    ------
    msgspec.MsgspecError
        If a row is truncated.
    """
    stream = io.BytesIO(packed)
    while stream.tell() < len(packed):
        digest, *fields = ROW_HEAD.unpack(_read(stream, ROW_HEAD.size))
        models = [_read(stream, DIGEST_BYTES) for _ in range(fields.pop())]
        yield digest, _build_report(fields, models)


def _read(stream: io.BytesIO, size: int) -> bytes:
    chunk = stream.read(size)
    if len(chunk) < size:
        raise msgspec.ValidationError('load report truncated')
    return chunk


def _build_report(fields: Sequence[int], models: list[bytes]) -> LoadReport:
    flagged_age = fields[-1]
    return LoadReport(
        running=fields[0],
        waiting=fields[1],
        slots=fields[2],
        draining=bool(flagged_age & DRAINING_FLAG),
        age=(flagged_age & MAX_AGE_STEPS) * AGE_STEP,
        models=frozenset(models),
    )
