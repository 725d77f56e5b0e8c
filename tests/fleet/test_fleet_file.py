import copy
import socket
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest

from orchidpath.common.settings_checks import check_settings
from orchidpath.common.settings_errors import SettingsError
from orchidpath.fleet.file import FleetFile, convert_fleet, load_fleet
from orchidpath.fleet.layout import ProcessKind, make_layout, ports_needed
from orchidpath.fleet.ports import LOWEST_PORT, NoFreePortsError, choose_ports, is_free
from orchidpath.wire.records import Stage

EXAMPLES = Path(__file__).parents[2] / "examples"

SMALL: dict[str, Any] = {
    "fleet": "small",
    "machines": [
        {"name": "a", "zone": "north", "disk": True},
        {"name": "b", "zone": "south"},
        {"name": "c", "zone": "north"},
    ],
    "workers": [
        {"name": "wine-1", "service": "wine", "stage": "prefill", "models": ["wine"]},
        {
            "name": "wine-2",
            "service": "wine",
            "stage": "decode",
            "models": ["wine"],
            "options": ["--decode-tokens-per-second", "200"],
        },
        {"name": "stock-1", "service": "stock", "stage": "plain"},
    ],
    "configuration": {
        "services": [
            {"name": "wine", "kind": "model", "models": ["wine"]},
            {"name": "stock", "kind": "plain"},
        ],
        "routes": [
            {"name": "wine", "service": "wine", "model": "wine"},
            {"name": "stock", "service": "stock", "method": "GET", "path": "/stock/{sku}"},
        ],
    },
    "traffic": {"streams": []},
}


def small(**changes: Any) -> FleetFile:
    return convert_fleet({**copy.deepcopy(SMALL), **changes}, "fleet")


def problem_paths(table: dict[str, Any]) -> set[str]:
    with pytest.raises(SettingsError) as caught:
        convert_fleet(table, "fleet")
    return {problem.path for problem in caught.value.problems}


@pytest.mark.parametrize(
    ("name", "machines", "disks", "zones", "prefill", "decode", "plain"),
    [("vinbrug", 10, 4, 4, 2, 3, 4), ("agency", 11, 3, 3, 4, 5, 3)],
)
def test_example_fleets_have_the_expected_numbers_of_processes(
    name: str, machines: int, disks: int, zones: int, prefill: int, decode: int, plain: int
) -> None:
    fleet = load_fleet(EXAMPLES / f"{name}.toml")
    assert len(fleet.machines) == machines
    assert sum(machine.disk for machine in fleet.machines) == disks
    assert len({machine.zone for machine in fleet.machines}) == zones
    stages = [worker.stage for worker in fleet.workers]
    assert stages.count(Stage.PREFILL) == prefill
    assert stages.count(Stage.DECODE) == decode
    assert stages.count(Stage.PLAIN) == plain
    model_routes = [route for route in fleet.configuration.routes if route.model]
    assert model_routes
    assert not any(route.repeatable for route in model_routes)


def test_every_problem_of_a_fleet_is_reported() -> None:
    table = copy.deepcopy(SMALL)
    table["machines"][1]["name"] = "a"
    table["machines"][0]["disk"] = False
    table["workers"][0]["service"] = "beer"
    table["workers"][1]["stage"] = "plain"
    table["workers"][2]["name"] = "wine-1"
    table["configuration"]["routes"][0]["service"] = "beer"
    table["traffic"]["streams"] = [{"name": "s", "kind": "model", "rate_per_second": 1.0}]
    table["faults"] = [
        {"at_seconds": 1.0, "kind": "kill", "target": "nobody"},
        {"at_seconds": -1.0, "kind": "cut", "target": "a", "other": "nobody"},
        {"at_seconds": 1.0, "kind": "worker", "target": "b"},
    ]
    expected = {
        "machines",
        "machines[1].name",
        "workers[0].service",
        "workers[1].stage",
        "workers[1].models",
        "workers[2].name",
        "configuration.routes[0].service",
        "traffic",
        "faults[0].target",
        "faults[1]",
        "faults[1].other",
        "faults[2].target",
        "faults[2].worker_fault",
    }
    assert problem_paths(table) == expected


def test_layout_gives_every_process_its_own_ports_and_valid_settings(tmp_path: Path) -> None:
    fleet = load_fleet(EXAMPLES / "vinbrug.toml")
    count = ports_needed(fleet)
    layout = make_layout(fleet, tmp_path, list(range(20_000, 20_000 + count)))
    assert len(layout.of_kind(ProcessKind.CONTROL)) == 4
    assert len(layout.of_kind(ProcessKind.ROUTER)) == 10
    assert len(layout.of_kind(ProcessKind.WORKER)) == 9
    addresses = [plan.http_address for plan in layout.processes]
    for file in layout.settings_files:
        assert check_settings(file.settings) == []
        addresses.append(file.settings.wire_address)
    assert len(set(addresses)) == count
    formations = {
        tuple(file.settings.formation_members)
        for file in layout.settings_files
        if hasattr(file.settings, "formation_members")
    }
    assert len(formations) == 1


def test_worker_commands_carry_stage_models_and_options(tmp_path: Path) -> None:
    fleet = small()
    layout = make_layout(fleet, tmp_path, list(range(20_000, 20_000 + ports_needed(fleet))))
    commands = {plan.name: " ".join(plan.arguments) for plan in layout.processes}
    assert "emulator worker --id wine-2" in commands["wine-2"]
    assert "--stage decode --model wine" in commands["wine-2"]
    assert commands["wine-2"].endswith("--decode-tokens-per-second 200")
    assert "emulator service --id stock-1" in commands["stock-1"]
    assert "--stage" not in commands["stock-1"]
    assert layout.process_names("a") == ("control-a", "router-a")
    assert layout.process_names("router-a") == ("router-a",)
    assert layout.process_names("wine-1") == ("wine-1",)


def test_fleet_file_survives_a_round_trip() -> None:
    fleet = small()
    assert convert_fleet(msgspec.json.decode(msgspec.json.encode(fleet)), "fleet") == fleet


def test_ports_are_distinct_free_and_below_the_ephemeral_range() -> None:
    taken = {LOWEST_PORT + 1, LOWEST_PORT + 3}
    ports = choose_ports(5, Random(1), end=LOWEST_PORT + 8, probe=lambda port: port not in taken)
    assert len(set(ports)) == 5
    assert not taken & set(ports)
    assert all(LOWEST_PORT <= port < LOWEST_PORT + 8 for port in ports)
    with pytest.raises(NoFreePortsError):
        choose_ports(7, Random(1), end=LOWEST_PORT + 8, probe=lambda port: port not in taken)


def test_a_bound_port_is_not_free() -> None:
    with socket.socket() as holder:
        holder.bind(("127.0.0.1", 0))
        holder.listen()
        assert not is_free(holder.getsockname()[1])
