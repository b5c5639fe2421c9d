"""Name the attempts of a caller that takes a stream up."""

SEPARATOR = "~"


def name_attempt(first_id: str, number: int) -> str:
    """Return the request id of a later attempt."""
    return f"{first_id}{SEPARATOR}{number}"


def get_first_id(request_id: str) -> str:
    """Return the request id of the first attempt of the same caller."""
    return request_id.partition(SEPARATOR)[0]
