"""A host that was sent SIGTERM cuts orders that it took late in its grace time."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import Answer, Consumer, Fleet, Record, Server, run_case  # noqa: E402

N_CONSUMERS = 5
WORK_S = 0.7  # of a time limit of 4 s
DEADLINE_S = 4.0  # time limit of crew-dispatch
STREAM_DEADLINE_S = 10.0  # time limit of report-triage
STREAM_EVENTS = 85
STREAM_PAUSE_S = 0.1  # between events
SEND_AFTER_S = 6.2  # after SIGTERM; the connections were idle for 7.2 s
LOSS_SLACK_S = 0.2
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-triage",
            "host": "club.example",
            "path_prefix": "/triage/",
            "kind": "stream",
            "timeout_ms": 10_000,
            "target_latency_ms": 400,
            "priority": 1,
            "service": "model-pool",
            "max_attempts": 1,
            "sticky": True,
            "gap_aim_ms": 400,
        },
        {
            "name": "r-dispatch",
            "host": "club.example",
            "path_prefix": "/dispatch/",
            "kind": "unsafe",
            "timeout_ms": 4_000,
            "target_latency_ms": 400,
            "priority": 2,
            "service": "case-api",
            "max_attempts": 1,
        },
    ],
    "services": [
        {
            "name": "model-pool",
            "health_path": "/health",
            "max_connections": 370,
            "engine": {"slots": 64, "kv_tokens": 435_478, "stride": 5},
        },
        {"name": "case-api", "health_path": "/health", "max_connections": 110},
    ],
    "tenants": [{"name": "school", "api_keys": ["key-1"]}],
    "limits": LIMITS,
}


async def play(record: Record, has_trouble: bool) -> bool:
    """Stop a host while it serves; return whether it lost a request."""
    fleet = Fleet(record)
    try:
        return await stop_host(fleet, record, has_trouble)
    finally:
        await fleet.close()


async def stop_host(fleet: Fleet, record: Record, has_trouble: bool) -> bool:
    """Send orders over kept connections, late in the grace time of a host."""
    fleet.write_configuration(CONFIGURATION)
    engine = Server(name="i-0000000a", service="model-pool", record=record)
    engine.n_events, engine.event_pause_s = STREAM_EVENTS, STREAM_PAUSE_S
    apps = [
        Server(name=f"i-{number:08x}", service="case-api", record=record, slots=6)
        for number in range(3)
    ]
    await fleet.add_servers([engine, *apps])
    await fleet.add_hosts(3)
    await asyncio.sleep(4.0)  # more than stable_window_ms
    host = fleet.hosts[0]
    consumers = [Consumer(host.port, record) for _ in range(N_CONSUMERS)]
    for number, consumer in enumerate(consumers):
        first = await dispatch(consumer, f"early-{number}")
        if first.status != 200:
            raise RuntimeError(f"a order got {first.status}")
    for app in apps:
        app.work_s = WORK_S
    stream = asyncio.create_task(triage(Consumer(host.port, record)))
    await asyncio.sleep(1.0)
    stopped_at = time.monotonic()
    if has_trouble and host.process is not None:
        record.say(f"SIGTERM to {host.name}; its grace time is 8 s")
        host.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(SEND_AFTER_S)
    sent_at = time.monotonic()
    record.say(f"orders are sent {sent_at - stopped_at:.2f} s after SIGTERM")
    answers = await asyncio.gather(
        *(dispatch(consumer, f"late-{n}") for n, consumer in enumerate(consumers))
    )
    lost = [
        f"late-{number}"
        for number, answer in enumerate(answers)
        if not answer.is_whole
        and answer.ended_after_s > LOSS_SLACK_S
        and answer.ended_after_s < DEADLINE_S - LOSS_SLACK_S
    ]
    for number, answer in enumerate(answers):
        record.say(
            f"late-{number}: status={answer.status} whole={answer.is_whole} "
            f"after {answer.ended_after_s:.2f} s; passed on to a server: "
            f"{any(f'late-{number}' in app.passed_on for app in apps)}"
        )
    whole = (await stream).is_whole
    record.say(f"the stream, which the rule doesn't count here: whole={whole}")
    record.say(f"connections closed without an answer: {len(lost)}")
    return bool(lost)


async def dispatch(consumer: Consumer, attempt: str) -> Answer:
    """Send one order, which may run only once."""
    headers = {"Key": "key-1"}
    return await consumer.call(
        "POST", "/dispatch/x", attempt, headers, b"{}", timeout_s=DEADLINE_S
    )


async def triage(consumer: Consumer) -> Answer:
    """Send one request for a stream that goes on for 8.5 s."""
    headers = {
        "Key": "key-1",
        "Model": "m",
        "Token-Count": "1460,600",
        "Prompt-Prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
    }
    return await consumer.call(
        "POST", "/triage/x", "stream", headers, timeout_s=STREAM_DEADLINE_S
    )


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent)
