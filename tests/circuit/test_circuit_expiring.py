"""Set whose keys expire a fixed time after they were added."""

from orchidpath.circuit.expiring import ExpiringSet


def test_expiring_set_drops_keys_in_order() -> None:
    keys: ExpiringSet[str] = ExpiringSet(10.0)
    assert keys.add("a", 0.0)
    assert keys.add("b", 5.0)
    assert not keys.add("a", 9.0)
    assert keys.add("a", 10.0)
    assert keys.contains("b", 14.0)
    assert not keys.contains("b", 15.0)
    assert len(keys) == 1
