"""The errors mustardgap raises, all with one base class."""

from . import status_codes
from .outcomes import NotRun
from .status_codes import Code


class MustardgapError(Exception):
    """An error with a numbered result code, a place and a detail.

    :param code: the numbered result code.
    :param detail: what went wrong, in one line.
    :param place: where it went wrong, such as ``file:key``.
    """

    def __init__(self, *, code: Code, detail: str = "", place: str = "") -> None:
        self.code = code
        self.detail = detail
        self.place = place
        super().__init__(str(self))

    def __str__(self) -> str:
        text = f"{self.code} {self.code.name}: {self.detail or self.code.title}"
        return _one_line(f"{text} (at {self.place})" if self.place else text)


def _one_line(text: str) -> str:
    # Details quote keys of files and answers of hosts; a line break or an escape sequence in them
    # would make several lines of one error, or steer the terminal that shows it.
    return "".join(c if c.isprintable() else " " for c in " ".join(text.split()))


class SettingsError(MustardgapError):
    """A settings or declaration file is not valid."""


class PlatformError(MustardgapError):
    """The platform can't be reached or refused an operation; it had no effect."""

    def __init__(self, *, code: Code = status_codes.PLATFORM_UNAVAILABLE, **kwargs: str) -> None:
        super().__init__(code=code, **kwargs)


class AnswerLost(MustardgapError):
    """The platform's answer was lost; the change may have taken effect."""

    def __init__(self, *, code: Code = status_codes.LOG_ANSWER_LOST, **kwargs: str) -> None:
        super().__init__(code=code, **kwargs)


class LogExpired(MustardgapError):
    """The log no longer keeps records from the offset asked for.

    :param oldest: the oldest offset still kept.
    """

    def __init__(self, *, oldest: int, **kwargs: str) -> None:
        super().__init__(code=status_codes.LOG_EXPIRED, **kwargs)
        self.oldest = oldest


class RecordRejected(MustardgapError):
    """The fold turned a record down."""


class SlotRefused(MustardgapError):
    """No slot was given; the request certainly wasn't run.

    :param outcome: what the caller is told.
    """

    def __init__(self, *, outcome: NotRun) -> None:
        super().__init__(code=outcome.code, detail=outcome.detail)
        self.outcome = outcome


class ChildFailed(MustardgapError):
    """A supervised child kept failing."""

    def __init__(self, **kwargs: str) -> None:
        super().__init__(code=status_codes.CHILD_FAILED, **kwargs)
