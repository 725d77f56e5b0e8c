import pytest

from orchidpath.common.addresses import AddressError, format_address, parse_address


@pytest.mark.parametrize("address", ["127.0.0.1:80", "[::1]:65535"])
def test_addresses_survive_a_round_trip(address: str) -> None:
    assert format_address(*parse_address(address)) == address


@pytest.mark.parametrize(
    "address", ["", "127.0.0.1", "localhost:80", "127.0.0.1:", "1.2.3.4:65536", "1.2.3.4:8²"]
)
def test_other_addresses_are_rejected(address: str) -> None:
    with pytest.raises(AddressError):
        parse_address(address)
