"""Durations of the emulated inference engine and queueing at a serial resource."""

import pytest

from orchidpath.emulators.worker.engine_model import (
    SerialResource,
    WorkerTiming,
    decode_interval_seconds,
    prefill_seconds,
    transfer_seconds,
)


def test_durations_follow_the_configured_rates() -> None:
    timing = WorkerTiming(
        prefill_tokens_per_second=100.0,
        prefill_overhead_seconds=0.5,
        decode_tokens_per_second=10.0,
        batch_slowdown=0.5,
        kv_bytes_per_token=10,
        link_bytes_per_second=100.0,
    )
    assert prefill_seconds(timing, 300, 100) == 2.5
    assert decode_interval_seconds(timing, 1) == pytest.approx(0.1)
    assert decode_interval_seconds(timing, 3) == pytest.approx(0.2)
    assert transfer_seconds(timing, 20) == 2.0


def test_a_serial_resource_queues() -> None:
    resource = SerialResource()
    assert [resource.reserve(1.0, 2.0), resource.reserve(1.0, 2.0)] == [2.0, 4.0]
    assert resource.reserve(9.0, 2.0) == 2.0
