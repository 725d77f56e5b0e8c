"""Routing state of a router while configurations replace its services."""

from random import Random
from typing import Any, cast

from orchidpath.router.routing_state import RETAINED_BUDGETS, RoutingState
from orchidpath.wire.configuration import Configuration, RetryPolicy, Service, ServiceKind
from orchidpath.wire.records import FleetView

ONE_RETRY = RetryPolicy(budget_ratio=0.0, budget_minimum_per_second=0.1, budget_window_seconds=10.0)
"""Policy that grants one retry in ten seconds to the only router of a fleet."""


class Views:
    """Hands out views with one configuration after another."""

    def __init__(self) -> None:
        self.revision = 0
        self.current: FleetView | None = None
        self.state = RoutingState(cast("Any", self), Random(1))

    def view(self) -> FleetView | None:
        return self.current

    def adopt(self, *names: str) -> None:
        """Adopt a configuration that lists exactly these services."""
        self.revision += 1
        services = [Service(name=name, kind=ServiceKind.PLAIN) for name in names]
        self.current = FleetView(
            revision=self.revision,
            configuration_version=self.revision,
            configuration=Configuration(services=services, retry=ONE_RETRY),
        )
        assert self.state.refresh()


def test_a_service_that_returns_has_spent_the_retries_of_before() -> None:
    """Guards against a full retry budget after each configuration that drops a service."""
    views = Views()
    views.adopt("stock", "wine")
    assert views.state.budget("stock").try_spend(100.0)
    assert not views.state.budget("stock").try_spend(101.0)
    views.adopt("wine")
    assert not views.state.budget("stock").try_spend(102.0)
    views.adopt("stock", "wine")
    assert not views.state.budget("stock").try_spend(103.0)
    assert views.state.budget("stock").try_spend(111.0)


def test_the_budgets_of_removed_services_are_bounded() -> None:
    views = Views()
    for number in range(3 * RETAINED_BUDGETS):
        views.adopt("wine", f"stock-{number}")
        views.state.budget("wine")
        views.state.budget(f"stock-{number}")
    views.adopt("wine")
    assert len(views.state._budgets) == RETAINED_BUDGETS + 1
    assert "wine" in views.state._budgets
