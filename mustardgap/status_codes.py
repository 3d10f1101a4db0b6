"""Numbered result codes, in one table for callers, operators, the log and exit statuses.

The ranges are 1xxx requests, 2xxx settings and start-up, 3xxx records on the log, 4xxx capacity
and jobs, 5xxx the platform and peers, 6xxx the command line. A released number never changes its
meaning.
"""

from typing import NamedTuple


class Code(NamedTuple):
    """One numbered result code."""

    number: int
    name: str
    http_status: int
    exit_status: int
    title: str
    advice: str

    def __str__(self) -> str:
        return f"MG{self.number}"


by_number: dict[int, Code] = {}


def _code(
    number: int, name: str, http_status: int, exit_status: int, title: str, advice: str
) -> Code:
    if number in by_number:
        raise ValueError(f"result code {number} is already defined as {by_number[number].name}")
    if any(code.name == name for code in by_number.values()):
        raise ValueError(f"result code {name} is defined with two numbers")
    code = Code(number, name, http_status, exit_status, title, advice)
    by_number[number] = code
    return code


OK = _code(0, "ok", 200, 0, "Done", "")

# 1xxx: outcomes of requests. 10xx answered, 11xx not run, 12xx may have run.
ANSWERED = _code(1000, "answered", 200, 0, "Answered by an executor", "")
REPLAYED = _code(1001, "replayed", 200, 0, "Answer of an earlier request with the same key", "")
ANSWER_NOT_KEPT = _code(
    1002,
    "answer_not_kept",
    409,
    12,
    "Ran: an earlier request with this Idempotency-Key was answered; the answer wasn't kept",
    "Look the result up; don't send it again with a new key.",
)
QUEUE_FULL = _code(
    1100,
    "queue_full",
    503,
    11,
    "Not run: the wait for a slot would outlast the deadline",
    "Send again after the time in Retry-After.",
)
SHED = _code(
    1101,
    "shed",
    503,
    11,
    "Not run: shed in favour of more urgent work",
    "Send again after the time in Retry-After.",
)
DEADLINE_BEFORE_RUN = _code(
    1102,
    "deadline_before_run",
    504,
    11,
    "Not run: the deadline passed before an executor was reached",
    "Send again with a longer X-Request-Timeout.",
)
NO_EXECUTOR = _code(
    1103,
    "no_executor",
    503,
    11,
    "Not run: no executor of the service could be reached",
    "Send again after the time in Retry-After.",
)
NO_SERVICE = _code(
    1104,
    "no_service",
    404,
    11,
    "Not run: no service is declared under this path",
    "Check the path.",
)
DRAINING = _code(
    1105,
    "draining",
    503,
    11,
    "Not run: this entry host is stopping",
    "Send again at once; the balancer picks another entry host.",
)
NOT_CURRENT = _code(
    1106,
    "not_current",
    503,
    11,
    "Not run: this entry host can't know which configuration is in force",
    "Send again at once; the balancer picks another entry host.",
)
KEY_UNDECIDED = _code(
    1107,
    "key_undecided",
    503,
    11,
    "Not run: it can't be shown now that this Idempotency-Key hasn't run elsewhere",
    "Send again with the same key after the time in Retry-After.",
)
KEY_IN_USE = _code(
    1108,
    "key_in_use",
    409,
    11,
    "Not run again: a request with this Idempotency-Key is still running",
    "Send again with the same key after the time in Retry-After.",
)
KEY_REUSED = _code(
    1109,
    "key_reused",
    422,
    11,
    "Not run: this Idempotency-Key was used for a different request",
    "Use a new key for a new request.",
)
EXECUTOR_REFUSED = _code(
    1110,
    "executor_refused",
    503,
    11,
    "Not run: the executors refused it before running it",
    "Send again after the time in Retry-After.",
)
BAD_REQUEST = _code(
    1111, "bad_request", 400, 11, "Not run: the request is malformed", "Mend the request."
)
TOO_LARGE = _code(
    1112, "too_large", 413, 11, "Not run: the request is larger than allowed", "Send less."
)
OVER_BUDGET = _code(
    1113,
    "over_budget",
    429,
    11,
    "Not run: the service has used up its own budget",
    "Send again after the time in Retry-After.",
)
GIVEN_UP_BEFORE_RUN = _code(
    1114,
    "given_up_before_run",
    503,
    11,
    "Not run: the entry host failed before it gave the request to an executor",
    "Send again after the time in Retry-After.",
)
CLIENTS_OVER_LIMIT = _code(
    1115,
    "clients_over_limit",
    503,
    11,
    "Not run: all clients together send more than this host can hold",
    "Send again after the time in Retry-After.",
)
REQUEST_TIMED_OUT = _code(
    1116,
    "request_timed_out",
    408,
    11,
    "Not run: the request didn't arrive whole in time",
    "Send it faster, or on a better connection.",
)
HEAD_TOO_LARGE = _code(
    1117,
    "head_too_large",
    431,
    11,
    "Not run: the request's head is larger than allowed",
    "Send fewer or shorter headers.",
)
UNKNOWN_RESET = _code(
    1200,
    "unknown_reset",
    502,
    12,
    "May have run: the connection to the executor broke",
    "Ask again with the same Idempotency-Key, or look the result up before sending again.",
)
UNKNOWN_TIMEOUT = _code(
    1201,
    "unknown_timeout",
    504,
    12,
    "May have run: no answer from the executor before the deadline",
    "Ask again with the same Idempotency-Key, or look the result up before sending again.",
)
UNKNOWN_CUT = _code(
    1202,
    "unknown_cut",
    502,
    12,
    "May have run: the executor's answer was cut short",
    "Ask again with the same Idempotency-Key, or look the result up before sending again.",
)
UNKNOWN_MISMATCH = _code(
    1203,
    "unknown_mismatch",
    502,
    12,
    "May have run: the executor answered with another request's id",
    "Ask again with the same Idempotency-Key, or look the result up before sending again.",
)
CALLER_GONE = _code(
    1205,
    "caller_gone",
    499,
    12,
    "May have run: the caller hung up",
    "Ask again with the same Idempotency-Key, or look the result up before sending again.",
)
UNKNOWN_KEY = _code(
    1204,
    "unknown_key",
    409,
    12,
    "May have run: an earlier request with this key reached an executor and its answer was lost",
    "Look the result up before sending again with a new key.",
)
UNKNOWN_GIVEN_UP = _code(
    1206,
    "unknown_given_up",
    502,
    12,
    "May have run: the entry host failed or stopped while an executor had the request",
    "Ask again with the same Idempotency-Key, or look the result up before sending again.",
)

# 2xxx: settings and start-up.
SETTINGS_UNREADABLE = _code(
    2000, "settings_unreadable", 400, 20, "A settings file can't be read", "Check path and rights."
)
SETTINGS_SYNTAX = _code(
    2001, "settings_syntax", 400, 20, "A settings file is not JSON with comments", "Mend the line."
)
SETTINGS_INVALID = _code(
    2002,
    "settings_invalid",
    400,
    20,
    "A setting is unknown or out of range",
    "See docs/SETTINGS.md.",
)
ADDRESS_IN_USE = _code(
    2003, "address_in_use", 500, 21, "A listening address is in use", "Choose another port."
)
PLATFORM_AT_START = _code(
    2004,
    "platform_at_start",
    503,
    22,
    "Neither platform nor peer could be reached at start",
    "Check the platform's address; the daemon may be started again at any time.",
)
CHILD_FAILED = _code(
    2005, "child_failed", 500, 23, "A part of the daemon kept failing", "Read the log; restart it."
)
TLS_INVALID = _code(
    2006, "tls_invalid", 400, 20, "A key or certificate can't be used", "Check the files named."
)

# 3xxx: records that the fold rejected.
STALE_BASE = _code(
    3000,
    "stale_base",
    409,
    30,
    "Rejected: something newer was accepted since this change was made",
    "Run diff, look at what changed, and apply again.",
)
DUPLICATE_RECORD = _code(
    3001, "duplicate_record", 200, 0, "A record with this id was folded already", ""
)
BUDGET_BREACH = _code(
    3002,
    "budget_breach",
    409,
    31,
    "Rejected: a service's availability budget would be broken",
    "Wait for hosts to return, or change the profile.",
)
UNKNOWN_KIND = _code(
    3003, "unknown_kind", 400, 32, "Rejected: the kind of record is unknown", "Update the writer."
)
RULES_TOO_NEW = _code(
    3004,
    "rules_too_new",
    409,
    32,
    "Rejected: the record needs rules that aren't in force yet",
    "Replace the older daemons first.",
)
DECLARATION_INVALID = _code(
    3005, "declaration_invalid", 400, 33, "A declaration is not valid", "Mend the key named."
)
UNSATISFIABLE = _code(
    3006,
    "unsatisfiable",
    409,
    34,
    "Rejected: the hosts there are can't satisfy this declaration",
    "Lower the budget named or add hosts.",
)
WRONG_PHASE = _code(
    3007,
    "wrong_phase",
    409,
    35,
    "Rejected: the host or job is not in a phase that allows this step",
    "Look at its state and choose again.",
)
REFERENCE_MISSING = _code(
    3008,
    "reference_missing",
    400,
    33,
    "A declaration names something that isn't declared",
    "Declare it in the same change.",
)
UNKNOWN_HOST = _code(3009, "unknown_host", 404, 36, "No such host", "Check the name.")
POOL_CONFLICT = _code(
    3010,
    "pool_conflict",
    409,
    35,
    "Rejected: the host must leave its pool before it joins another",
    "Drain it first.",
)
ROOM_EXCEEDED = _code(
    3011,
    "room_exceeded",
    409,
    31,
    "Rejected: the pool or service would hold more hosts than its room",
    "Drain another host first, or raise max_hosts.",
)
RECORD_INVALID = _code(
    3012, "record_invalid", 400, 32, "Rejected: the record is malformed", "Update the writer."
)

# 4xxx: capacity, waves and jobs.
JOB_UNKNOWN = _code(4000, "job_unknown", 404, 40, "No such job", "Check the id.")
JOB_NEVER_FITS = _code(
    4001,
    "job_never_fits",
    422,
    41,
    "Ended: no worker is large enough for this job",
    "Ask for less or add workers.",
)
JOB_FAILED_EVERYWHERE = _code(
    4002,
    "job_failed_everywhere",
    422,
    41,
    "Ended: the job failed on several different workers",
    "Mend the job; see its attempts.",
)
JOB_CANCELLED = _code(4003, "job_cancelled", 200, 0, "Ended: cancelled", "")
JOB_ATTEMPT_UNKNOWN = _code(
    4004,
    "job_attempt_unknown",
    409,
    42,
    "Ended: an attempt may have run and the profile forbids a second one",
    "Look the result up before submitting it again.",
)
QUOTA_EXCEEDED = _code(
    4005, "quota_exceeded", 429, 43, "The team's quota is used up", "Wait or ask for more."
)
JOB_DONE = _code(4006, "job_done", 200, 0, "Ended: done", "")
WAVE_UNKNOWN = _code(4010, "wave_unknown", 404, 40, "No such wave", "Check the id.")
WAVE_PAUSED_MARGIN = _code(
    4011,
    "wave_paused_margin",
    200,
    0,
    "The wave waits: a failure has used the margin",
    "It goes on by itself when the margin is back.",
)
HOST_WONT_DRAIN = _code(
    4012,
    "host_wont_drain",
    200,
    0,
    "A host didn't become empty in time",
    "Look at what runs there; the wave goes on without it.",
)
HOST_WONT_RETURN = _code(
    4013,
    "host_wont_return",
    200,
    0,
    "A host didn't come back from its reboot in time",
    "Have it repaired; its place is filled meanwhile.",
)
JOB_ACCEPTED = _code(4020, "job_accepted", 200, 0, "The job is stored and will be run", "")
JOB_CANCELLING = _code(4021, "job_cancelling", 200, 0, "The job is cancelled, or had ended", "")
JOB_STATE = _code(4022, "job_state", 200, 0, "The state of a job or queue", "")
SUBMITTED_JOB_UNKNOWN = _code(4023, "submitted_job_unknown", 410, 45, "No such job exists", "")
QUEUE_UNKNOWN = _code(
    4024, "queue_unknown", 404, 45, "No queue takes this host and path", "Check the configuration."
)
JOB_INVALID = _code(4025, "job_invalid", 400, 46, "Not run: the body isn't a job", "Mend the body.")
CONFIGURATION_MISSING = _code(
    4026,
    "configuration_missing",
    503,
    47,
    "Not run: no configuration has been read yet",
    "Send again after the time in Retry-After.",
)
OWNER_UNAVAILABLE = _code(
    4027,
    "owner_unavailable",
    503,
    47,
    "Not run: the queue's owner could not be reached",
    "Send again after the time in Retry-After.",
)
STORE_UNAVAILABLE = _code(
    4028,
    "store_unavailable",
    503,
    47,
    "Not run: the store takes no records",
    "Send again after the time in Retry-After.",
)
JOB_UNSETTLED = _code(
    4029,
    "job_unsettled",
    504,
    48,
    "May have been accepted: the store or the owner didn't answer in time",
    "Send again with the same id; it stays one job.",
)
CREDENTIAL_REFUSED = _code(
    4030,
    "credential_refused",
    401,
    49,
    "Not run: the request carries no valid key of a client account",
    "Send one key that is in force.",
)
JOB_OF_OTHER_ACCOUNT = _code(
    4031,
    "job_of_other_account",
    403,
    49,
    "Not run: the key's client account may not use this job id",
    "Use a key of the account that submitted the job, or another id.",
)
LIMIT_NEVER_HOLDS = _code(
    4032,
    "limit_never_holds",
    429,
    43,
    "Not run: a part of the job is larger than all that its account may have running",
    "Submit smaller tasks, or ask for a higher limit.",
)
POOL_OVERLOADED = _code(
    4033,
    "pool_overloaded",
    429,
    43,
    "Not run: the job would end too late to be of use",
    "Send again after the time in Retry-After.",
)
POOL_OVERLOADED_LONGER = _code(
    4034,
    "pool_overloaded_longer",
    429,
    43,
    "Not run: the job would end too late to be of use, also if its caller retried in time",
    "Don't send it again within the time that its caller waits.",
)
JOBS_OVER_MEMORY = _code(
    4036,
    "jobs_over_memory",
    503,
    43,
    "Not run: the queue's owner has no memory for another job of this size",
    "Send again after the time in Retry-After, to have it accepted once others have ended.",
)
CANCELLED_BEFORE_ACCEPTED = _code(
    4035,
    "cancelled_before_accepted",
    429,
    43,
    "Not run: the job was cancelled before it was accepted",
    "Submit it under another id if it is wanted after all.",
)

# 5xxx: the platform and the peers.
LOG_UNAVAILABLE = _code(
    5000,
    "log_unavailable",
    503,
    50,
    "The platform's log can't be reached; nothing was written",
    "Send again later.",
)
LOG_ANSWER_LOST = _code(
    5001,
    "log_answer_lost",
    503,
    51,
    "The log's answer was lost; the record may be accepted",
    "Look the state up, or send the same change again: it takes effect once.",
)
LOG_EXPIRED = _code(
    5002, "log_expired", 410, 50, "The log no longer keeps records from that offset", ""
)
PLATFORM_REFUSED = _code(
    5003, "platform_refused", 502, 52, "The platform refused an operation", "See its detail."
)
PLATFORM_UNAVAILABLE = _code(
    5004, "platform_unavailable", 503, 50, "The platform can't be reached", "Send again later."
)
PEER_UNAVAILABLE = _code(5005, "peer_unavailable", 503, 53, "A peer can't be reached", "")
STALE_EPOCH = _code(
    5006, "stale_epoch", 409, 52, "The platform holds a newer epoch of this operation", ""
)
LOG_WENT_BACK = _code(
    5007,
    "log_went_back",
    503,
    50,
    "The log ends before what was folded from it already",
    "Have the platform's log looked at: it has lost records that it had confirmed.",
)

# 6xxx: the command line.
USAGE = _code(6000, "usage", 400, 2, "The command line is not valid", "See --help.")
ENTRY_UNAVAILABLE = _code(
    6001, "entry_unavailable", 503, 60, "No entry host could be reached", "Check --entry."
)
WAIT_TIMED_OUT = _code(
    6002, "wait_timed_out", 504, 61, "The time to wait ran out", "The change stays accepted."
)
NOT_FOUND = _code(6003, "not_found", 404, 62, "Nothing of that name", "Check the name.")
INTERNAL = _code(9999, "internal", 500, 99, "A fault in mustardgap", "Report it with the log.")
