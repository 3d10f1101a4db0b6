"""Steps that check the job queue and learned job sizes against naive implementations."""

from behave import given, then
from hypothesis import given as for_all
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from mustardgap.job_queues import Place, Queue, Reservation, Waiting
from mustardgap.rooms import Rooms
from mustardgap.usages import Size, Usages


@given("jobs whose declared sizes are {declared:g} times what they use")
def step_learn(context, declared):
    context.usages = Usages()
    context.spec = {"team": "t", "profile": "p", "cores": 4.0, "memory_gb": 8.0}
    context.spec |= {"accelerators": 0, "run_s": 60.0}
    used = {"cores": 4.0 / declared, "memory_gb": 8.0 / declared, "run_s": 60.0 / declared}
    for n in range(20):
        assert (
            n > 7 or context.usages.size(context.spec).cores == 4.0
        ), "size learned from fewer than 8 jobs"
        context.usages.learn(f"j{n}", context.spec, {**used, "cores": 0.0})
        context.usages.learn(f"j{n}", context.spec, used)


@then(
    "jobs of that kind are allocated {ratio:g} times their declared cores, and others as declared"
)
def step_learned(context, ratio):
    size = context.usages.size(context.spec)
    assert abs(size.cores - 4.0 * ratio) < 1e-6, size
    assert abs(context.usages.run_s(context.spec) - 60.0 * ratio) < 1e-6
    assert context.usages.size({**context.spec, "team": "other"}).cores == 4.0


SIZES = st.builds(
    Size, st.sampled_from([1.0, 2.0, 3.5]), st.sampled_from([1.0, 6.0]), st.sampled_from([0, 0, 1])
)
JOBS = st.lists(st.tuples(st.integers(0, 9), SIZES), max_size=12)
CAPACITIES = st.lists(
    st.builds(Size, st.sampled_from([2.0, 4.0]), st.just(8.0), st.sampled_from([0, 1])), max_size=4
)


@given("jobs and workers of random sizes")
def step_given_queue(context):
    context.rooms_class = Rooms


@then(
    "jobs never exceed the free capacity of their worker, and none waits that fits in queue order"
)
def step_queue(context):
    @hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=300)
    @for_all(jobs=JOBS, capacities=CAPACITIES, allocated=JOBS)
    def check(jobs, capacities, allocated):
        rooms = context.rooms_class()
        free = {}
        for n, capacity in enumerate(capacities):
            rooms.add_worker(f"w{n}", capacity)
            free[f"w{n}"] = capacity
        for n, (number, size) in enumerate(allocated):
            worker = f"w{number % 5}"
            if worker in free and size.fits(free[worker]):
                rooms.allocate(f"h{n}", worker, size)
                free[worker] = free[worker].plus(size, -1)
        assert rooms.free_by_worker == free
        waiting = [
            Waiting(f"j{n:02}", urgency, 0, 0.0, size, 1.0)
            for n, (urgency, size) in enumerate(jobs)
        ]
        queue = Queue(
            rooms=rooms,
            running_by_worker=lambda worker: [],
            reserved={},
            may_place=lambda job, worker: True,
            now=0.0,
        )
        worker_by_job = {p.job: p.worker for p in queue.decide(waiting) if isinstance(p, Place)}
        for job in sorted(waiting, key=lambda w: (w.urgency, w.job)):
            worker = worker_by_job.get(job.job)
            if worker is None:
                assert not any(job.size.fits(room) for room in free.values()), job
            else:
                assert job.size.fits(free[worker]), job
                free[worker] = free[worker].plus(job.size, -1)

    check()


@then("jobs that are first are placed where they fit, whatever workers are reserved for later jobs")
def step_first(context):
    @hypothesis_settings(derandomize=True, database=None, deadline=None, max_examples=300)
    @for_all(
        jobs=JOBS, capacities=CAPACITIES, reserved_for=st.lists(st.integers(0, 11), max_size=4)
    )
    def check(jobs, capacities, reserved_for):
        rooms = context.rooms_class()
        for n, capacity in enumerate(capacities):
            rooms.add_worker(f"w{n}", capacity)
        waiting = [
            Waiting(f"j{n:02}", urgency, 0, 0.0, size, 1.0)
            for n, (urgency, size) in enumerate(jobs)
        ]
        queue = Queue(
            rooms=rooms,
            running_by_worker=lambda worker: [],
            reserved={
                f"w{n}": Reservation(f"j{k:02}", 0.0, 9e9) for n, k in enumerate(reserved_for)
            },
            may_place=lambda job, worker: True,
            now=0.0,
        )
        placed = {p.job for p in queue.decide(waiting) if isinstance(p, Place)}
        first = min(waiting, key=lambda w: (w.urgency, w.job), default=None)
        if first is not None and any(first.size.fits(room) for room in capacities):
            assert first.job in placed, (first, queue.reserved)

    check()
