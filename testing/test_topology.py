"""Guards against disconnected entries and agents without an entry."""

import types

from carobstand.agent import peers
from carobstand.agent import state as states
from carobstand.core import topology
from carobstand.platform import vms


def test_a_small_set_of_entries_is_a_full_mesh_with_one_dialer_a_pair():
    names = ["e1", "e2", "e3"]
    pairs = {
        (name, peer) for name in names for peer in topology.entries_to_dial(name, names)
    }
    assert pairs == {("e1", "e2"), ("e1", "e3"), ("e2", "e3")}


def test_a_large_set_of_entries_stays_connected_with_few_dials():
    names = [f"e{i:03}" for i in range(370)]
    dials = {name: topology.entries_to_dial(name, names) for name in names}
    assert all(len(peers) <= topology.ENTRY_NEIGHBOURS for peers in dials.values())
    reached, frontier = {names[0]}, [names[0]]
    while frontier:
        newly_reached = set(dials[frontier.pop()]) - reached
        reached |= newly_reached
        frontier += newly_reached
    assert reached == set(names)


def test_an_entry_that_leaves_moves_only_its_own_agents():
    names = [f"e{i}" for i in range(20)]
    for agent in ("a1", "a2", "a3", "a4"):
        before = topology.entries_of_agent(agent, names)
        after = topology.entries_of_agent(agent, names[1:])
        assert set(before) - {"e0"} <= set(after)


def test_agents_read_a_long_vm_list_rarely_unless_an_entry_is_missing():
    """11,000 agents that read a list of 1.8 MB every 20 s would transfer 1 GB/s."""
    entry = vms.Vm("e1", "entry", "", "", "")
    agents = tuple(vms.Vm(f"a{i}", "agent", "", "", "") for i in range(11_000))
    cfg = types.SimpleNamespace(vm="a1")
    state = states.AgentState(cfg, "s", vms=(entry, *agents), entries={"e1": None})
    assert peers.vm_list_interval_s(state, 0) > 1000
    state.entries = {}
    assert peers.vm_list_interval_s(state, 0) == peers.VM_LIST_INTERVAL_S
    delays = [
        peers.vm_list_interval_s(state, disconnected_reads)
        for disconnected_reads in range(1, 8)
    ]
    assert delays[0] == peers.VM_LIST_RETRY_S
    assert delays == sorted(delays) and delays[-1] == peers.VM_LIST_INTERVAL_S
