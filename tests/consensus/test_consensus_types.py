"""Validation of the settings of the protocol."""

import pytest

from orchidpath.consensus.errors import InvalidSettingsError
from orchidpath.consensus.types import RaftSettings


def test_settings_reject_a_lease_longer_than_the_refusal_of_votes() -> None:
    with pytest.raises(InvalidSettingsError, match="leader_lease_seconds"):
        RaftSettings(leader_lease_seconds=0.58)


def test_unsafe_settings_are_a_value_error_for_decoders() -> None:
    with pytest.raises(ValueError, match="leader_lease_seconds"):
        RaftSettings(leader_lease_seconds=0.58)
