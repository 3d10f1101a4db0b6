"""The platform's append-only log: streams with offsets, limited retention and long poll."""

import asyncio
import time
from bisect import bisect_right
from fnmatch import fnmatchcase

import msgspec

MAX_BATCH = 1000
TRIM_SLACK = 4096


class LogExpiredError(Exception):
    """The offset asked for is older than what is kept."""

    def __init__(self, *, oldest: int, end: int) -> None:
        super().__init__(f"offset is older than {oldest}")
        self.oldest = oldest
        self.end = end


class AppendsLimitedError(Exception):
    """More appends a second than the log takes."""


class Stored(msgspec.Struct):
    """One record of a stream."""

    offset: int
    time: float
    value: msgspec.Raw


class LogPage(msgspec.Struct):
    """The answer to a read."""

    records: list[Stored]
    next: int
    oldest: int
    end: int


class Stream:
    """One stream of the log.

    :param name: the stream's name.
    """

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.oldest = 0
        self.end = 0
        self.bytes = 0
        self._kept: list[Stored] = []
        self._appended = asyncio.Event()

    def append(self, values: list[msgspec.Raw]) -> int:
        """Append records together and wake the readers that wait.

        :return: the offset of the first.
        """
        first, now = self.end, time.time()
        for value in values:
            self._kept.append(Stored(self.end, now, value))
            self.bytes += len(bytes(value))
            self.end += 1
        self.wake()
        return first

    def expire(self, *, before: float, most: int) -> None:
        """Drop the records that are older than a time or above a number."""
        first_kept = self.end - len(self._kept)
        by_time = first_kept + bisect_right(self._kept, before, key=lambda record: record.time)
        self.oldest = max(self.oldest, by_time, self.end - most)
        surplus = self.oldest - first_kept
        if surplus > TRIM_SLACK or surplus == len(self._kept):
            del self._kept[:surplus]

    def read(self, start: int, limit: int) -> LogPage:
        """Read from an offset on.

        :raises LogExpiredError: the offset is no longer kept.
        """
        if start < self.oldest:
            raise LogExpiredError(oldest=self.oldest, end=self.end)
        index = start - (self.end - len(self._kept))
        records = self._kept[index : index + limit] if start < self.end else []
        return LogPage(records, start + len(records), self.oldest, self.end)

    async def wait(self, timeout_s: float) -> None:
        """Wait until something is appended, ``wake`` is called or the time is over."""
        try:
            await asyncio.wait_for(self._appended.wait(), timeout_s)
        except TimeoutError:
            return

    def wake(self) -> None:
        """Let those that wait look again."""
        self._appended.set()
        self._appended = asyncio.Event()


class Logs:
    """All streams, with the limits that they share.

    :param appends_per_s: the appends a second that all streams take together.
    :param retention_s: seconds a record is kept.
    :param retention_records: the most records kept in one stream.
    """

    def __init__(self, *, appends_per_s: float, retention_s: float, retention_records: int) -> None:
        self.appends_per_s = appends_per_s
        self.retention_s = retention_s
        self.retention_records = retention_records
        self.appends = 0
        self.by_name: dict[str, Stream] = {}
        self._tokens = appends_per_s
        self._refilled = time.monotonic()

    def append(self, name: str, values: list[msgspec.Raw]) -> dict[str, int]:
        """Append records to a stream.

        :raises AppendsLimitedError: too many appends in this second; nothing was appended.
        """
        self._spend_token()
        stream = self._stream(name)
        first = stream.append(values)
        self.appends += 1
        return {"first": first, "end": stream.end}

    async def read(self, name: str, start: int, limit: int, wait_s: float) -> LogPage:
        """Read from an offset on, waiting for a record when there is none yet."""
        stream = self._stream(name)
        page = stream.read(start, limit)
        if page.records or wait_s <= 0:
            return page
        await stream.wait(wait_s)
        return self._stream(name).read(start, limit)

    def wake(self) -> None:
        """Let all waiting readers look again."""
        for stream in self.by_name.values():
            stream.wake()

    def expire_all(self, *, keep: int, on: str = "*") -> None:
        """Drop all but the newest records of each stream at once.

        :param on: a shell pattern over the streams' names.
        """
        for name, stream in self.by_name.items():
            if fnmatchcase(name, on):
                stream.expire(before=0.0, most=keep)

    def _stream(self, name: str) -> Stream:
        stream = self.by_name.get(name)
        if stream is None:
            stream = self.by_name[name] = Stream(name=name)
        stream.expire(before=time.time() - self.retention_s, most=self.retention_records)
        return stream

    def _spend_token(self) -> None:
        now = time.monotonic()
        refill = (now - self._refilled) * self.appends_per_s
        self._tokens = min(self.appends_per_s, self._tokens + refill)
        self._refilled = now
        if self._tokens < 1:
            raise AppendsLimitedError(f"more than {self.appends_per_s:g} appends a second")
        self._tokens -= 1
