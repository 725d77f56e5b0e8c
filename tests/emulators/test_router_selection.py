"""Selection of a router for a caller."""

from orchidpath.emulators.client.router_selection import RouterSelection


def test_a_caller_stays_with_its_router_while_others_change() -> None:
    routers = [f"http://r{number}" for number in range(8)]
    selection = RouterSelection(routers)
    nearest = {f"c{number}": selection.preferred_routers(f"c{number}")[0] for number in range(100)}
    assert len(set(nearest.values())) == 8
    selection.set_ready(routers[0], ready=False)
    assert selection.ready_count == 7
    for caller_id, router in nearest.items():
        preference = selection.preferred_routers(caller_id)
        assert preference[-1] == routers[0]
        assert preference[0] == router or router == routers[0]
