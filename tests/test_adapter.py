"""The codec, and the adapter process with hand-made frames."""

from __future__ import annotations

import io
import re
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from lichenspring import adapter, wire
from lichenspring import interface as api

ROOT = Path(__file__).parent.parent
CLOCK = 8_418_000_000

CONFIG = """\
Contract.AskWithin=10000000000
Contract.Cold=22000000000
Contract.ColdShare=0.14
Feedback.Fields=tps,load_share
Grades.count=1
Grades.0.Aim=1500000000
Grades.0.Group=all
Grades.0.LateShare=0.0
Grades.0.MemorySpan=5000000000
Grades.0.Semantics=repeatable
Grades.0.Worth=5.0
Limits.IdleClose=15000000000
Limits.MaxRetryAfter=2000000000
Limits.RetryAfter=true
Limits.SendCap=4
MembershipMode=pushed
PeersTotal=1
Some.Unknown.Key=whatever
WorthBy=request
"""
SERVERS = [bytes([10, 0, 0, n, 0x1F, 0x90]) for n in range(1, 5)]


def select(instance: int) -> bytes:
    return struct.pack("<BH", 3, instance)


def attach(config: str = CONFIG, seed: int = 7) -> bytes:
    return struct.pack("<BQI", 5, seed, len(config)) + config.encode()


def roster(servers: list[bytes], state: int = 1) -> bytes:
    entries = b"".join(struct.pack("<6sBHHBfQ", name, 0, 0, 0, state, 1.0, 0) for name in servers)
    return struct.pack("<BHI", 11, 0, len(servers)) + entries


def sync(mode: int = 0) -> bytes:
    return struct.pack("<BIBH", 0, 1, mode, 0)


def inbound(request: int, key: int = 0, category: int = 0) -> bytes:
    return struct.pack("<BQQQIBQB", 7, request, 0, 3_000_000_000, 0, category, key, 0)


def finished(request: int, server: bytes, rc: int, report: tuple[float, ...] = ()) -> bytes:
    head = struct.pack("<BQBHQ6sHB", 8, request, rc == 100, rc, 1_000_000, server, 0, len(report))
    return head + struct.pack(f"<{len(report)}f", *report)


def batch(*records: bytes, clock: int = CLOCK) -> bytes:
    body = struct.pack("<QI", clock, len(records)) + b"".join(records)
    return struct.pack("<I", len(body)) + body


def start(instance: int = 0) -> bytes:
    return batch(select(instance), attach(seed=instance + 7), roster(SERVERS), sync())


def run(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, "-m", "lichenspring.adapter"], input=data, capture_output=True, cwd=ROOT, timeout=60
    )


def replies(output: bytes) -> list[bytes]:
    found = []
    while output:
        (length,) = struct.unpack_from("<I", output)
        found.append(output[4 : 4 + length])
        output = output[4 + length :]
    return found


def test_empty_batch_of_protocol_page() -> None:
    done = run(bytes.fromhex("0c00000090bf68f50100000000000000"))
    assert (done.returncode, done.stderr) == (0, b"")
    assert done.stdout == bytes.fromhex("0400000000000000")


def test_immediate_end_of_input_is_clean() -> None:
    done = run(b"")
    assert (done.returncode, done.stdout, done.stderr) == (0, b"", b"")


def test_request_is_forwarded_and_retried() -> None:
    first = run(start() + batch(select(0), inbound(99, key=5)))
    forward = replies(first.stdout)[1]
    assert struct.unpack_from("<I", forward)[0] == 2
    code, source, action, request = struct.unpack_from("<BHBQ", forward, 4)
    assert (code, source, action, request) == (wire.Out.SOURCE, 0, wire.Out.FORWARD, 99)
    server = forward[16:22]
    assert server in SERVERS
    done = run(
        start()
        + batch(select(0), inbound(99, key=5))
        + batch(select(0), finished(99, server, 301, (12.0, 0.5)), clock=CLOCK + 1)
    )
    assert done.returncode == 0
    assert replies(done.stdout)[2][7] == wire.Out.FORWARD  # retried on another server


def test_instance_without_servers_refuses() -> None:
    done = run(batch(select(3), attach(), roster([]), sync()) + batch(select(3), inbound(1)))
    assert replies(done.stdout)[1][7] == wire.Out.BUSY


def test_crashed_instance_is_removed() -> None:
    done = run(start() + batch(select(0), b"\x0a") + batch(select(0), inbound(1)))
    assert done.returncode != 0
    assert b"not attached" in done.stderr


@pytest.mark.parametrize(("data", "named"), [
    (b"\x0c\x00", "length field"),
    (start()[:-3], "truncated frame"),
    (batch(b"\xc8"), "event code 200"),
    (batch(select(0))[:4] + b"\x00", "truncated frame"),
    (struct.pack("<I", 3) + b"abc", "too few"),
    (struct.pack("<IQI", 12, CLOCK, 2), "2 records announced"),
    (struct.pack("<IQI", 15, CLOCK, 0) + select(0), "follow the last record"),
    (batch(struct.pack("<BQ", 7, 1)), "cut short"),
    (batch(inbound(1)), "before any SELECT"),
    (batch(select(4), inbound(1)), "not attached"),
    (batch(select(0), attach(), sync()), "list number"),
    (batch(select(0), attach(), roster(SERVERS, state=9), sync()), "server state 9"),
    (start() + batch(select(0), finished(1, SERVERS[0], 999)), "outcome 999"),
    (start() + batch(select(0), sync(mode=7)), "list kind 7"),
    (start() + batch(select(0), inbound(1, category=9)), "class 9"),
], ids=lambda value: value if isinstance(value, str) else "")  # fmt: skip
def test_malformed_frames_end_adapter_with_one_line(data: bytes, named: str) -> None:
    done = run(data)
    message = done.stderr.decode()
    assert done.returncode != 0
    assert named in message
    assert message.count("\n") == 1 and "Traceback" not in message


REQUIRED = [line.split("=")[0] for line in CONFIG.splitlines() if not line.startswith("Some.")]


@pytest.mark.parametrize("path", REQUIRED)
def test_missing_required_setting_is_named(path: str) -> None:
    kept = "\n".join(line for line in CONFIG.splitlines() if not line.startswith(path + "="))
    with pytest.raises(adapter.SettingsError, match=re.escape(path)):
        adapter.read_settings(kept)


@pytest.mark.parametrize(("path", "value"), [
    ("Grades.0.Aim", "soon"), ("Grades.0.Semantics", "sometimes"), ("Contract.ColdShare", "nan"),
    ("Limits.RetryAfter", "perhaps"), ("Grades.count", "-1"), ("PeersTotal", "0"), ("Grades.0.Aim", "0"),
])  # fmt: skip
def test_unreadable_setting_ends_adapter_and_is_named(path: str, value: str) -> None:
    config = re.sub(rf"(?m)^{re.escape(path)}=.*$", f"{path}={value}", CONFIG)
    done = run(batch(select(0), attach(config), roster(SERVERS), sync()))
    assert done.returncode != 0
    assert path in done.stderr.decode()
    assert done.stderr.count(b"\n") == 1


@pytest.mark.parametrize(("path", "value", "named"), [
    ("Contract.ColdShare", "1.5", "cold_share"), ("Grades.0.LateShare", "2.0", "late_worth"),
    ("Grades.count", "0", "classes"),
])  # fmt: skip
def test_settings_out_of_range_end_adapter_with_one_line(path: str, value: str, named: str) -> None:
    config = re.sub(rf"(?m)^{re.escape(path)}=.*$", f"{path}={value}", CONFIG)
    done = run(batch(select(0), attach(config), roster(SERVERS), sync()))
    assert (done.returncode, done.stdout) == (1, b"")
    assert named in done.stderr.decode() and done.stderr.count(b"\n") == 1


def test_settings_that_are_not_utf8_end_adapter_with_one_line() -> None:
    head = struct.pack("<BQI", 5, 7, 4) + b"\xff\xfe\x00\x80"
    done = run(batch(select(0), head))
    assert (done.returncode, done.stdout) == (1, b"")
    assert "UTF-8" in done.stderr.decode() and done.stderr.count(b"\n") == 1


def test_in_order_settings_are_read() -> None:
    assert not adapter.read_settings(CONFIG).classes[0].in_order
    found = adapter.read_settings(CONFIG + "Grades.0.OneAtATime=true\nContract.KeyRest=50000000\n")
    assert found.classes[0].in_order and found.key_rest == 50_000_000


def test_close_idle_connections_is_encoded() -> None:
    assert adapter._encode_action(api.CloseIdleConnections(SERVERS[0])) == b"\x46" + SERVERS[0]


def test_settings_are_read_and_unknown_ones_ignored() -> None:
    found = adapter.read_settings(CONFIG)
    assert found.classes[0].aim == 1_500_000_000
    assert found.report_fields == ("completed_per_s", "utilization")
    assert found.tenants == ()


def test_exception_in_module_is_reported_as_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(self: object, now: int, event: api.Event) -> list[api.Action]:
        raise RuntimeError("made to fail")

    monkeypatch.setattr(adapter.Balancer, "handle", fail)
    sink = io.BytesIO()
    adapter.serve(io.BytesIO(start()), sink)
    (reply,) = replies(sink.getvalue())
    assert b"made to fail" in reply
    assert wire.Out.FORWARD not in (reply[7],)


def test_instances_act_alike_in_one_and_several_processes() -> None:
    def rounds(instances: list[int]) -> bytes:
        begin = [r for i in instances for r in (select(i), attach(seed=i), roster(SERVERS), sync())]
        frames = [batch(*begin)]
        for n in range(60):
            records = [r for i in instances for r in (select(i), inbound(1000 * i + n, key=n % 7))]
            frames.append(batch(*records, clock=CLOCK + n * 1_000_000))
        return b"".join(frames)

    together = replies(run(rounds([0, 1, 2])).stdout)
    apart = [replies(run(rounds([i])).stdout) for i in range(3)]
    assert len(together) == 61
    for number, reply in enumerate(together):
        assert reply[4:] == b"".join(one[number][4:] for one in apart)
