"""Builders shared by the tests of stage changes: one service with a decode share, its workers."""

from update_builders import configuration_update

from orchidpath.state.commands import SubmitConfiguration
from orchidpath.wire.configuration import Configuration, Service, ServiceKind
from orchidpath.wire.records import Stage, WorkerRecord

SERVICE = "s"
MODEL = "m"


def split_configuration() -> SubmitConfiguration:
    """Return the first configuration: a fifth of the workers decode, two at least."""
    service = Service(
        name=SERVICE,
        kind=ServiceKind.MODEL,
        models=[MODEL],
        balanced_decode_share=0.2,
        least_decode_workers=2,
    )
    return configuration_update("o", 0, Configuration(services=[service]))


def model_worker(worker_id: str, incarnation: str, stage: Stage) -> WorkerRecord:
    """Return a worker of the service."""
    return WorkerRecord(
        worker_id=worker_id,
        incarnation=incarnation,
        service=SERVICE,
        stage=stage,
        url=f"http://{worker_id}",
        models=(MODEL,),
    )
