"""Conversion of the platform's settings file of a machine."""

from pathlib import Path

import pytest
from platform_environment import PlatformEnvironment

from node_settings import (
    SETTINGS_VARIABLE,
    NodeSettings,
    UnreadableSettingsError,
    control_settings,
    load_node_settings,
    router_settings,
    settings_stamp,
)


def test_settings_are_read_and_unknown_fields_ignored(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "node.json"
    path.write_bytes(PlatformEnvironment(tmp_path).settings_file(1))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    node = load_node_settings()
    control = control_settings(node)
    router = router_settings(node)
    assert control.formation_members == control.seeds
    assert control.target_voters == 3
    assert control.may_vote
    assert router.wire_address != control.wire_address
    assert router.seeds == control.seeds
    before = settings_stamp()
    path.write_bytes(PlatformEnvironment(tmp_path).settings_file(2) + b" ")
    assert settings_stamp() != before


@pytest.mark.parametrize("content", [b"", b"{", b"{}", b'{"node_name": 3}'])
def test_unreadable_settings_are_reported_with_their_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, content: bytes
) -> None:
    path = tmp_path / "node.json"
    path.write_bytes(content)
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    with pytest.raises(UnreadableSettingsError, match=r"node\.json"):
        load_node_settings()
    monkeypatch.delenv(SETTINGS_VARIABLE)
    with pytest.raises(UnreadableSettingsError, match=SETTINGS_VARIABLE):
        load_node_settings()


def test_a_machine_without_a_disk_never_votes() -> None:
    node = NodeSettings(
        node_name="n",
        ip="10.0.0.1",
        listen={"control": "10.0.0.1:1"},
        internal_ports=[7, 9],
        seeds=["10.0.0.2:1"],
        bootstrap=False,
        data_dir=None,
    )
    settings = control_settings(node)
    assert not settings.may_vote
    assert settings.formation_members == []
