"""The settings with which hypothesis draws: the same cases in each run, and as many as asked."""

from hypothesis import HealthCheck, settings


def bounded(max_examples, **options):
    """Make a profile that draws from a fixed seed and measures no time.

    :param max_examples: how many cases are drawn.
    :param options: further settings of hypothesis.
    :rtype: settings
    """
    return settings(
        max_examples=max_examples,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        **options,
    )
