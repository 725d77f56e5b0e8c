from pathlib import Path

import pytest

from orchidpath.wire.link_faults import (
    Fate,
    LinkFault,
    LinkFaultFile,
    LinkFaultFileError,
    LinkFaultFileReader,
    LinkFaults,
)


def with_faults(*links: LinkFault, seed: int = 0) -> LinkFaults:
    faults = LinkFaults()
    faults.set_faults(LinkFaultFile(seed=seed, links=list(links)))
    return faults


def test_one_way_and_both_ways() -> None:
    one_way = with_faults(LinkFault(source="a", destination="b", partitioned=True))
    assert one_way.on_send("a", "b").fate is Fate.LOST
    assert one_way.is_partitioned("a", "b")
    assert one_way.on_send("b", "a").fate is Fate.DELIVERED
    assert not one_way.is_partitioned("b", "a")
    both = with_faults(LinkFault(source="a", destination="*", both_ways=True, partitioned=True))
    assert both.is_partitioned("a", "c")
    assert both.is_partitioned("c", "a")
    assert not both.is_partitioned("b", "c")


def test_a_process_name_also_matches_its_replica_identity() -> None:
    faults = with_faults(LinkFault(source="control-1", destination="*", partitioned=True))
    assert faults.is_partitioned("control-1.3f2a", "router-1")
    assert not faults.is_partitioned("control-10", "router-1")


def test_loss_follows_the_seed_and_delays_add() -> None:
    def fates(seed: int) -> list[Fate]:
        faults = with_faults(LinkFault(source="*", destination="*", loss=0.5), seed=seed)
        return [faults.on_send("a", "b").fate for _ in range(64)]

    assert fates(1) == fates(1)
    assert fates(1) != fates(2)
    assert {Fate.LOST, Fate.DELIVERED} == set(fates(1))
    slow = LinkFault(source="a", destination="*", delay_seconds=0.25)
    assert with_faults(slow, slow).on_send("a", "b").delay_seconds == 0.5


def test_the_file_is_read_on_change_and_an_invalid_one_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "faults.json"
    faults = LinkFaults()
    reader = LinkFaultFileReader(path, faults)
    assert not reader.refresh() or not faults.is_partitioned("a", "b")
    path.write_text('{"links": [{"source": "a", "destination": "b", "cut": true}]}')
    assert reader.refresh()
    assert faults.is_partitioned("a", "b")
    assert not reader.refresh()
    path.write_text('{"links": [{"source": "a", "destinatoin": "b"}]}')
    with pytest.raises(LinkFaultFileError):
        reader.refresh()
    assert faults.is_partitioned("a", "b")
    path.unlink()
    assert reader.refresh()
    assert not faults.is_partitioned("a", "b")
