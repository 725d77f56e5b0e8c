"""What the tests of stage moves begin with: one service whose split the fleet keeps."""

from orchidpath.state.commands import SubmitConfiguration, configuration_digest
from orchidpath.wire.configuration import Configuration, Service, ServiceKind

SERVICE = "s"
MODEL = "m"


def split_configuration() -> SubmitConfiguration:
    """Return the first order: a fifth of the workers decode, two at least."""
    service = Service(
        name=SERVICE,
        kind=ServiceKind.MODEL,
        models=[MODEL],
        balanced_decode_share=0.2,
        least_decode_workers=2,
    )
    configuration = Configuration(services=[service])
    return SubmitConfiguration(
        order_id="o",
        base_version=0,
        configuration=configuration,
        digest=configuration_digest(0, configuration),
    )
