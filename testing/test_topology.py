"""Guards against entries that lose contact and agents without an entry."""

from carobstand.core import topology


def test_a_small_set_of_entries_is_a_full_mesh_with_one_dialer_a_pair():
    names = ["e1", "e2", "e3"]
    pairs = {
        (own, peer) for own in names for peer in topology.entries_to_dial(own, names)
    }
    assert pairs == {("e1", "e2"), ("e1", "e3"), ("e2", "e3")}


def test_a_large_set_of_entries_stays_connected_with_few_dials():
    names = [f"e{i:03}" for i in range(370)]
    dials = {own: topology.entries_to_dial(own, names) for own in names}
    assert all(len(peers) <= topology.ENTRY_NEIGHBOURS for peers in dials.values())
    reached, frontier = {names[0]}, [names[0]]
    while frontier:
        fresh = set(dials[frontier.pop()]) - reached
        reached |= fresh
        frontier += fresh
    assert reached == set(names)


def test_an_entry_that_leaves_moves_only_the_agents_it_had():
    names = [f"e{i}" for i in range(20)]
    for agent in ("a1", "a2", "a3", "a4"):
        before = topology.entries_of_agent(agent, names)
        after = topology.entries_of_agent(agent, names[1:])
        assert set(before) - {"e0"} <= set(after)
