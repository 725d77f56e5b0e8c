"""Builders for the tests of stage changes: a service with a decode share, and its workers."""

from update_builders import configuration_update

from orchidpath.state.commands import SubmitConfiguration
from orchidpath.wire.configuration import Configuration, Service, ServiceKind
from orchidpath.wire.records import Stage, WorkerRecord

SERVICE = "s"
MODEL = "m"


def split_configuration() -> SubmitConfiguration:
    """Return the first update: a fifth of the workers decode, but at least two of them."""
    service = Service(
        name=SERVICE,
        kind=ServiceKind.MODEL,
        models=[MODEL],
        balanced_decode_share=0.2,
        least_decode_workers=2,
    )
    return configuration_update("o", 0, Configuration(services=[service]))


def model_worker(worker_id: str, incarnation: str, stage: Stage) -> WorkerRecord:
    """Return a worker of the service ``SERVICE`` that serves its model."""
    return WorkerRecord(
        worker_id=worker_id,
        incarnation=incarnation,
        service=SERVICE,
        stage=stage,
        url=f"http://{worker_id}",
        models=(MODEL,),
    )
