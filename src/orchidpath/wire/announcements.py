"""Decodes and validates workers' announcements; used by every process that receives them."""

import msgspec

from orchidpath.common.errors import OrchidpathError
from orchidpath.wire.backend import Announcement
from orchidpath.wire.records import WorkerRecord, WorkerStatus

MAX_ID_CHARACTERS = 200
"""Largest length, in characters, of the identifier of an update, a worker or an incarnation."""

MAX_URL_CHARACTERS = 200
"""Largest length, in characters, of the address of a worker."""

MAX_MODELS = 32
"""Largest number of models that a worker announces."""

MAX_MODELS_BYTES = 2048
"""Largest size, in bytes of UTF-8, of the names of a worker's models together."""

MAX_WORKERS = 4096
"""Largest number of registered workers; further ones are refused until others have left."""

MAX_SEQUENCE = 2**53
"""Largest version or sequence: JSON readers that use doubles represent larger ones inexactly."""

FINAL_SEQUENCE = 2**63 - 1
"""Sequence above that of every announcement; msgpack represents it."""

_decoder = msgspec.json.Decoder(Announcement)


class InvalidAnnouncementError(OrchidpathError):
    """The bytes are not a valid announcement of a worker."""


def decode_announcement(raw: bytes) -> Announcement:
    """Return the announcement that a JSON body contains.

    Raises
    ------
    InvalidAnnouncementError
        The body does not have the documented form, or a value is out of its range.
    """
    try:
        announcement = _decoder.decode(raw)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise InvalidAnnouncementError(str(error)) from error
    check_record(announcement.record)
    if announcement.record.status is WorkerStatus.GONE:
        raise InvalidAnnouncementError("record.status must be ready or draining")
    if not 0 <= announcement.sequence <= MAX_SEQUENCE:
        raise InvalidAnnouncementError(
            f"sequence must be 0 to {MAX_SEQUENCE}, got {announcement.sequence}"
        )
    return announcement


def check_record(record: WorkerRecord) -> None:
    """Check the texts in the record of a worker, each of which every process stores.

    Raises
    ------
    InvalidAnnouncementError
        A text does not have the documented form, or is too long.
    """
    for name in ("worker_id", "incarnation", "service"):
        if not is_identifier(getattr(record, name)):
            raise InvalidAnnouncementError(f"record.{name} must be {IDENTIFIER_FORM}")
    if not record.url.startswith("http://") or not record.url.isprintable():
        raise InvalidAnnouncementError(
            "record.url must be a printable URL that begins with http://"
        )
    if len(record.url) > MAX_URL_CHARACTERS:
        raise InvalidAnnouncementError(
            f"record.url must have at most {MAX_URL_CHARACTERS} characters"
        )
    for name in ("zone", "failure_domain"):
        if len(getattr(record, name)) > MAX_ID_CHARACTERS:
            raise InvalidAnnouncementError(
                f"record.{name} must have at most {MAX_ID_CHARACTERS} characters"
            )
    if len(record.models) > MAX_MODELS:
        raise InvalidAnnouncementError(f"record.models must have at most {MAX_MODELS} names")
    if sum(len(model.encode(errors="replace")) for model in record.models) > MAX_MODELS_BYTES:
        raise InvalidAnnouncementError(
            f"record.models must have at most {MAX_MODELS_BYTES} bytes in all names"
        )


IDENTIFIER_FORM = f"1 to {MAX_ID_CHARACTERS} printable characters"
"""Expected form of an identifier, for error messages."""


def is_identifier(value: str) -> bool:
    """Return whether a text has the form of an identifier (:data:`IDENTIFIER_FORM`)."""
    return 0 < len(value) <= MAX_ID_CHARACTERS and value.isprintable()
