"""Define the messages with which hosts ask the home of a service for its capacity."""

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field

from trefoilstage.components.admission_queue.place_use import PlaceUse
from trefoilstage.helpers.field_types import Count, ShortText

Seconds = Annotated[float, Field(ge=0, allow_inf_nan=False)]


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionReport:
    """Report what a host's requests hold at the targets of a service."""

    service: ShortText
    host: ShortText
    work: dict[ShortText, PlaceUse]  # by incarnation of the target
    places: tuple[ShortText, ...] = ()  # granted ones that `work` contains
    unusable: tuple[ShortText, ...] = ()  # targets that this host sends nothing now
    brittle: bool = False  # the service's targets said so in answers to this host
    kind: Literal["admission_report"] = "admission_report"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceState:
    """Reply whether requests to a service need places."""

    contended: bool
    kind: Literal["service_state"] = "service_state"


@dataclass(frozen=True, kw_only=True, slots=True)
class PlaceRequest:
    """Ask for a place; the reply comes when there is one, `wait_s` later at most."""

    service: ShortText
    request: ShortText  # made by name_request
    host: ShortText
    workspace: ShortText
    urgency: Count  # 0 is the most urgent
    kv_tokens: Count  # 0 for plain calls
    wait_s: Seconds
    # Targets that the request may not be sent to, by incarnation.
    unusable: tuple[ShortText, ...] = ()
    kind: Literal["ask_place"] = "ask_place"


@dataclass(frozen=True, kw_only=True, slots=True)
class PlaceReply:
    """Reply whether a place was granted, or else when the caller may try again."""

    granted: bool
    retry_after_s: Seconds = 0.0
    # Its incarnation. Empty if the request goes to any target without a place, since no
    # target is known that could ever hold it.
    target: ShortText = ""
    kind: Literal["place"] = "place"


@dataclass(frozen=True, kw_only=True, slots=True)
class ReturnPlaces:
    """Return places that ended or were not used, and withdraw waiting requests."""

    service: ShortText
    requests: tuple[ShortText, ...]
    kind: Literal["return_places"] = "return_places"


def name_request(caller_id: str, incarnation: str, number: int) -> str:
    """Return an id for a request of a host that no other request has.

    Callers may send the same id twice, and to several hosts.
    """
    return f"{caller_id}/{incarnation}/{number}"


def get_caller_id(request: str) -> str:
    """Return the id that the caller of a named request sent."""
    return request.rsplit("/", 2)[0]


AdmissionMessage = (
    AdmissionReport | ServiceState | PlaceRequest | PlaceReply | ReturnPlaces
)
