"""Steps of waves.feature."""

from collections import Counter

from behave import given, then, when

from mustardgap import waves
from tools import fleets
from tools.plan_runs import PlanRun

USERS = {"thekkady": fleets.thekkady, "federation": fleets.federation}


def fleet_of(user, spare, domain):
    """A user's fleet of which ``spare`` hosts are left over by the services."""
    spec = USERS[user](survive=domain)
    return fleets.with_spare(spec, 30 if user == "thekkady" else 40, spare)


@given("waves a running fleet of {user} with {spare:d} spare hosts that survives a {domain}")
def step_fleet(context, user, spare, domain):
    context.spec = fleet_of(user, spare, domain)
    run = context.run = PlanRun(spec=context.spec)
    run.settle()
    assert Counter(h["pool"] for h in run.hosts())[""] == spare
    assert run.short() == []
    run.moves = 0
    context.reboots = Counter()
    context.steps = []
    context.plans = []

    def note(plan):
        context.plans.append(plan)
        context.steps += [(run.ledger.now, step) for step in plan.steps]
        context.reboots.update(s.host for s in plan.steps if s.kind == "reboot")

    run.on_plan = note


@given("waves a stand-in by hand in every service")
def step_by_hand(context):
    fleets.add_rack(context.run.ledger, "extra", "r0", 5)
    for number, service in enumerate(context.spec.services):
        context.run.record(f"extra-r0-{number}", "in_service", service.name, "given by hand")
    context.run.declare({"policy/fleet": {**policy(context), "move_weight": 5.0, "spare_hosts": 0}})
    context.run.settle()
    context.run.moves = 0


def policy(context):
    return context.run.state.declarations_by_key["policy/fleet"].value


def start(context, hosts=None):
    run = context.run
    hosts = hosts or [h["host"] for h in run.hosts()]
    context.started = run.ledger.now
    context.hosts = hosts
    run.ledger.append("wave", {"wave": "w", "base": 0, "step": "start", "hosts": hosts})


def wave_step(context, step):
    epoch = context.run.state.waves_by_name["w"]["epoch"]
    context.run.ledger.append("wave", {"wave": "w", "base": epoch, "step": step})


def tick_until(context, found, *, limit=4000, seconds=15.0):
    """Tick until something is found; return it."""
    for _ in range(limit):
        plan = context.run.tick(seconds)
        answer = found(plan)
        if answer:
            return answer
    raise AssertionError(f"not found in {limit} ticks, at the end {plan}")


@when("waves an operator starts a wave over all hosts")
def step_start(context):
    start(context)


@when("waves an operator starts a wave over all hosts and it runs to its end")
def step_whole(context):
    start(context)
    step_ends(context)


@then("waves the wave runs to its end")
def step_ends(context):
    tick_until(context, lambda plan: plan.finished == ["w"])
    wave_step(context, "finish")
    context.run.settle()


@then("waves every host was rebooted once, empty, and at most {out:d} were out at once")
def step_all_once(context, out):
    assert context.reboots == Counter(context.hosts), context.reboots
    assert context.run.most_out <= out
    # The fold lets a host reboot only from drained, and the fake drains only what is empty.
    assert context.run.turned == []


@then("waves no budget was broken and at most {moves:d} moves were made")
def step_unbroken(context, moves):
    run = context.run
    assert (run.breaches, run.turned, run.short()) == ([], [], [])
    assert run.moves <= moves, run.moves


@then("waves every budget holds")
def step_holds(context):
    step_unbroken(context, 1000)


@when("waves three periods of 2 days go by")
def step_periods(context):
    run = context.run
    period = 2 * 86_400.0
    run.declare({"policy/fleet": {**policy(context), "maintain_every_s": period}})
    context.waited = 0.0
    for _ in range(int(3 * period / 120)):
        run.tick(120.0)
        oldest = min(h["maintained"] for h in run.hosts())
        context.waited = max(context.waited, (run.ledger.now - oldest) / period)


@then("waves no host ever waited longer than the period")
def step_in_time(context):
    assert context.waited <= 1.0, context.waited
    assert len(context.reboots) == len(context.run.hosts())


@when("waves a host fails while another one of its service is being emptied")
def step_fails_amid(context):
    run = context.run
    drained = tick_until(context, lambda plan: [s for s in plan.steps if s.kind == "drain"])[0]
    context.drained = drained.host
    serving = [h for h in run.hosts() if h["pool"] == drained.pool and h["phase"] == "in_service"]
    context.broken = [min(h["host"] for h in serving)]
    run.fail(context.broken[0])
    for host in run.hosts():
        # Whatever else could replace it is gone too.
        if host["facts"]["data_center"] == "extra" and host["pool"] != drained.pool:
            context.broken.append(host["host"])
            run.fail(host["host"])


@then("waves the drain is taken back and the wave waits with MG4011")
def step_taken_back(context):
    run = context.run
    plan = run.tick(1.0)
    assert [(s.kind, s.host) for s in plan.steps] == [("undrain", context.drained)], plan
    for _ in range(50):
        plan = run.tick(15.0)
        assert plan.steps == [], plan
    run.fail(context.drained)
    plan = run.tick(15.0)
    assert "MG4011" in plan.waiting["w"], plan
    context.broken.append(context.drained)


@when("waves the failed host is back")
@when("waves the failed hosts are back")
def step_back(context):
    for host in context.broken:
        context.run.bring_back(host)


@when("waves two racks fail")
def step_racks_fail(context):
    run = context.run
    context.run.tick(15.0)
    racks = sorted({(h["facts"]["data_center"], h["facts"]["rack"]) for h in run.hosts()})[:2]
    context.broken = [
        h["host"] for h in run.hosts() if (h["facts"]["data_center"], h["facts"]["rack"]) in racks
    ]
    for host in context.broken:
        run.fail(host)
    context.steps.clear()


@then("waves no host is taken out of a service while another one is short")
def step_none_out(context):
    run = context.run
    for _ in range(200):
        plan = run.tick(15.0)
        assert run.short()
        assert "MG4011" in plan.waiting["w"], plan
    stand_ins = [s for _, s in context.steps if "stands in" in s.reason]
    assert stand_ins == []


@when("waves an operator starts a wave over all hosts with one that won't {what}")
def step_stuck(context, what):
    run = context.run
    start(context)
    context.stuck = min(h["host"] for h in run.hosts() if h["pool"] == "listings")
    if what == "drain":
        run.stuck.add(context.stuck)
    else:
        rebooting = [context.stuck]
        tick_until(context, lambda plan: [s for s in plan.steps if is_reboot(s, rebooting)])
        run.stuck.add(context.stuck)


def is_reboot(step, hosts):
    return step.kind == "reboot" and step.host in hosts


@then("waves the host is {phase} with {code}, and was tried once")
def step_reported(context, phase, code):
    host = context.run.state.hosts_by_name[context.stuck]
    assert (host["phase"], host["reason"].split(":")[0]) == (phase, code), host
    tries = [s for _, s in context.steps if s.host == context.stuck and s.kind == "drain"]
    assert len(tries) == 1, tries


@when("waves an operator starts a wave over all hosts and plans are made each second")
def step_each_second(context):
    start(context)
    context.run.reboot_s = 20.0
    context.joins = {}
    context.early = []

    def watch(plan):
        run = context.run
        for step in plan.steps:
            if step.kind == "drain":
                since = [
                    h["since"]
                    for h in run.hosts()
                    if h["pool"] == step.pool and h["phase"] == "in_service" and step.pool
                ]
                waited = run.ledger.now - max(since, default=0.0)
                context.joins[step.host] = waited
                context.early += [step] if waited < 10 else []

    context.run.on_plan = watch
    tick_until(context, lambda plan: plan.finished == ["w"], seconds=1.0)


@then("waves no host was emptied within 10 seconds of another one joining its service")
def step_not_early(context):
    assert len(context.joins) >= 30
    assert context.early == [], context.early


@when("waves a profile gives listings room for 6 hosts only")
def step_no_room(context):
    listings = next(s for s in context.spec.services if s.name == "listings")
    context.run.declare(fleets.declarations_of_service(listings._replace(max_hosts=6)))


@then("waves the hosts of listings wait for want of room, and no step is turned down")
def step_wait_for_room(context):
    run = context.run
    for _ in range(1000):
        plan = run.tick(15.0)
    assert plan.waiting["w"] == "listings: it has no margin, and no room for a stand-in", plan
    waiting = {h["host"] for h in run.hosts() if h["maintained"] < context.started}
    assert waiting == {h["host"] for h in run.hosts() if h["pool"] == "listings"}
    assert (run.breaches, run.turned) == ([], [])


@when("waves an operator starts a wave over one rack and pauses it at its first drain")
def step_rack_paused(context):
    run = context.run
    facts = run.hosts()[0]["facts"]
    start(context, [h["host"] for h in run.hosts() if h["facts"] == facts])
    tick_until(context, lambda plan: [s for s in plan.steps if s.kind == "drain"])
    wave_step(context, "pause")


@then("waves the host that was out comes back and no other one goes")
def step_paused(context):
    for _ in range(100):
        plan = context.run.tick(15.0)
        assert not [s for s in plan.steps if s.kind == "drain"] and not plan.finished
    assert len(context.reboots) == 1 and context.run.out() == []


@when("waves the operator resumes the wave")
def step_resumed(context):
    wave_step(context, "resume")


@then("waves only the hosts of that rack were rebooted")
def step_rack_only(context):
    assert context.reboots == Counter(context.hosts)
    assert waves.STANDING_WAVE not in {s.wave for _, s in context.steps}
