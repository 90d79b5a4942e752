"""CPU time and data sizes of the parts of control at several sizes, in one process.

docs/CAPACITY.md extrapolates from these figures. Times are CPU time, so that other
load on the machine affects them little.
"""

import copy
import json
import time
import tracemalloc

import attrs

from carobstand.agent import control
from carobstand.core import membership, planner, rows, table, topology
from carobstand.platform import vms
from carobstand.wire import codec
from carobstand.wire.gen import ttypes

SIZES = (100, 1_000, 11_000)

REPEATS = 5

MEMBERS_PER_SERVICE = 200


def cpu_seconds(func):
    """Return the shortest CPU time of `REPEATS` calls, in seconds."""
    best = None
    for _ in range(REPEATS):
        start = time.process_time()
        func()
        took = time.process_time() - start
        best = took if best is None else min(best, took)
    return best


def traced_memory_mb(build):
    """Return the memory that the result of `build` takes, in MB."""
    tracemalloc.start()
    result = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return round(size / 1e6, 2)


def make_table(backends):
    """Return a table with a backend row for each VM and 200 VMs per service."""
    table_rows = []
    for number in range(max(1, backends // MEMBERS_PER_SERVICE)):
        service = f"service-{number}"
        table_rows.append(table.ServiceRow(service, max_out=0.25))
        digest = f"{number:064x}"
        table_rows.append(table.VersionRow(f"v{number}", service, digest, weight=1))
    count = len(table_rows) // 2
    table_rows += [
        table.BackendRow(f"vm-{n:05}", f"service-{n % count}") for n in range(backends)
    ]
    return table.Table(1, "c1", sorted(table_rows, key=rows.row_key))


def make_members(count):
    """Return `count` members that serve version v0 of service-0."""
    made = [
        membership.Member(
            f"vm-{n:05}",
            start_id=f"s{n}",
            address="10.0.0.1:7000",
            failure_domain=f"domain-{n % 14}",
            services=("service-0",),
            last_seen_at=0.0,
            replicas={("service-0", "v0"): "SERVING"},
        )
        for n in range(count)
    ]
    return made


def measure_table(size):
    """Return sizes and times of a table with `size` backend rows."""
    original = make_table(size)
    old = table.from_json(table.to_json(original))
    key = ("version", "v0", "service-0")
    changed = table.set_cells(old, key, {"weight": "2"})
    new = table.next_revision(old, changed, "c2", "bench", 1.0, "bench")
    content = table.to_json(new)
    reread = table.from_json(content, "t", old)
    delta = table.delta(old, new)
    digest = table.digest(new)
    return {
        "table_mb": traced_memory_mb(lambda: table.from_json(content)),
        "rows": len(old.rows),
        "json_bytes": len(content),
        "delta_bytes": len(delta),
        "read_all_s": cpu_seconds(lambda: table.from_json(content)),
        "read_after_change_s": cpu_seconds(lambda: table.from_json(content, "t", old)),
        "changed_services_s": cpu_seconds(lambda: table.changed_services(old, reread)),
        "make_delta_s": cpu_seconds(lambda: table.delta(old, new)),
        "apply_delta_s": cpu_seconds(lambda: table.apply_delta(old, delta, digest)),
    }


def measure_plan(size):
    """Return sizes and times of planning one service on `size` VMs."""
    current = make_table(MEMBERS_PER_SERVICE)
    members = make_members(size)
    plan = planner.next_plan(current, "service-0", members, None, 1.0)
    content = planner.to_json(plan)
    state = membership.Members({member.vm: member for member in members})
    return {
        "members_mb": traced_memory_mb(lambda: make_members(size)),
        "conditions_s": cpu_seconds(lambda: membership.liveness(state, 1.0)),
        "by_service_s": cpu_seconds(lambda: membership.by_service(state)),
        "plan_bytes": len(content),
        "plan_s": cpu_seconds(
            lambda: planner.next_plan(current, "service-0", members, plan, 1.0)
        ),
        "read_plan_s": cpu_seconds(lambda: planner.from_json(content)),
    }


def measure_vms(size):
    """Return the size of a VM list, and the times to read it and to choose entries."""
    listed = [
        vms.Vm(
            f"vm-{n:05}",
            "agent",
            "10.0.0.1:7000",
            "domain-1",
            "region-1",
            ("service-1",),
        )
        for n in range(size)
    ]
    data = json.dumps({"vms": [attrs.asdict(vm) for vm in listed]}).encode()

    def read():
        return [vms.Vm(**line) for line in json.loads(data)["vms"]]

    names = [f"entry-{n}" for n in range(max(1, size // 30))]
    return {
        "vm_list_bytes": len(data),
        "read_vm_list_s": cpu_seconds(read),
        "choose_entries_s": cpu_seconds(lambda: topology.entries_of_agent("vm", names)),
    }


def measure_messages():
    """Return the frame sizes in bytes of the messages of an idle fleet."""
    digest = "0" * 64
    replica = ttypes.Replica(
        service_name="service-1",
        version="v1",
        manifest=digest,
        phase=ttypes.ReplicaPhase.SERVING,
        bytes_verified=10**10,
        bytes_total=10**10,
        detail="",
        origin_bytes=10**9,
    )
    heartbeat = ttypes.Heartbeat(
        seq=1000,
        table_revision=10**6,
        table_digest=digest,
        plan_revisions={"service-1": 1000},
        replicas=[replica],
        load=ttypes.Load(running=8, waiting=0, age_ms=500, cache_used=0.5),
        leaving=False,
        running_attempts=8,
        backend_up=True,
        cached_prefixes=[],
    )
    unchanged_heartbeat = copy.copy(heartbeat)
    for name in control.UNCHANGED_FIELDS:
        setattr(unchanged_heartbeat, name, None)
    reply = ttypes.HeartbeatReply(
        seq=1000,
        table_revision=10**6,
        assignments=[],
        attempt_floor=10**6,
    )
    peer_state = ttypes.PeerState(
        seq=1000,
        table_revision=10**6,
        plan_revisions={f"service-{n}": 1000 for n in range(55)},
        demands=[],
        suspects=[],
        leaving=False,
    )
    unchanged_state = copy.copy(peer_state)
    unchanged_state.plan_revisions = None
    vm_list_state = ttypes.PeerState(vms_stamp=1 << 57, vms_digest="0" * 16)
    messages = {
        "ping": ttypes.Ping(seq=1000),
        "heartbeat": heartbeat,
        "heartbeat_without_news": unchanged_heartbeat,
        "heartbeat_reply": reply,
        "peer_state_55_services": peer_state,
        "peer_state_without_news": unchanged_state,
        "vm_reading": vm_list_state,
    }
    return {name: len(codec.encode(msg, 1 << 57)) for name, msg in messages.items()}


def main():
    """Run all measurements; the last line is JSON."""
    result = {"frame_bytes": measure_messages()}
    for size in SIZES:
        result[str(size)] = {
            **measure_table(size),
            **measure_plan(size),
            **measure_vms(size),
        }
    for name, part in result.items():
        print(name)
        for key, value in part.items():
            shown = f"{value * 1000:.2f} ms" if key.endswith("_s") else value
            print(f"  {key:24} {shown}")
    print(json.dumps(result))


if __name__ == "__main__":
    main()
