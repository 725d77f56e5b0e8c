"""Builders of configuration updates that the tests of the control plane share."""

from orchidpath.state.commands import SubmitConfiguration, configuration_digest
from orchidpath.wire.configuration import Configuration


def configuration_update(
    order_id: str = "a", base_version: int = 0, configuration: Configuration | None = None
) -> SubmitConfiguration:
    """Return an operator's update to a configuration, which is empty by default."""
    content = configuration or Configuration()
    return SubmitConfiguration(
        order_id=order_id,
        base_version=base_version,
        configuration=content,
        digest=configuration_digest(base_version, content),
    )
