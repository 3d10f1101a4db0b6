"""What the ended tasks of a queue say about how reliable a forecast for it is."""

import math
from typing import NamedTuple

# Before this many tasks of a queue have ended under an owner, its forecasts refuse nothing. The
# declared durations may be off by a common factor that isn't known earlier.
MIN_ENDED_TASKS = 20
# Older tasks lose half of their weight after this many newer ones.
HALF_LIFE_TASKS = 200


class DurationEvidence(NamedTuple):
    """How many tasks have ended, and the ratios of their true to their declared durations."""

    ended: int = 0
    weight: float = 0.0
    ratios: float = 0.0
    squares: float = 0.0

    def with_task(self, *, declared_s: float, true_s: float) -> "DurationEvidence":
        """Return the evidence with one more ended task."""
        fade = 0.5 ** (1 / HALF_LIFE_TASKS)
        ratio = true_s / declared_s
        return DurationEvidence(
            ended=self.ended + 1,
            weight=self.weight * fade + 1.0,
            ratios=self.ratios * fade + ratio,
            squares=self.squares * fade + ratio * ratio,
        )

    @property
    def suffices(self) -> bool:
        """Whether a forecast may refuse jobs of the queue."""
        return self.ended >= MIN_ENDED_TASKS

    @property
    def relative_error(self) -> float:
        """The standard deviation of the ratios, as a share of their mean; 1 without evidence."""
        if not self.weight or not self.ratios:
            return 1.0
        mean = self.ratios / self.weight
        variance = max(self.squares / self.weight - mean * mean, 0.0)
        return math.sqrt(variance) / mean
