"""Define field types; kept small because all records and messages import them."""

from typing import Annotated

from pydantic import Field

UInt53 = Annotated[int, Field(ge=0, le=1 << 53)]
ShortText = Annotated[str, Field(max_length=300)]
Count = Annotated[int, Field(ge=0)]
LocalText = Annotated[str, Field(exclude=True)]  # left out of messages
