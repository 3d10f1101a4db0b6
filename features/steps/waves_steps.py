"""Steps of waves.feature."""

from collections import Counter

from behave import given, then, when

from mustardgap import waves
from tools import fleets
from tools.plan_runs import PlanRun

SPEC_BY_FLEET = {"thekkady": fleets.thekkady, "federation": fleets.federation}


def make_spec(user, spare, domain):
    """Make the spec of a fleet that has ``spare`` hosts more than its services need."""
    spec = SPEC_BY_FLEET[user](survive=domain)
    return fleets.with_spare(spec, 30 if user == "thekkady" else 40, spare)


@given("waves a running fleet of {user} with {spare:d} spare hosts that survives a {domain}")
def start_fleet(context, user, spare, domain):
    context.spec = make_spec(user, spare, domain)
    run = context.run = PlanRun(spec=context.spec)
    run.settle()
    assert Counter(h["pool"] for h in run.hosts())[""] == spare
    assert run.short() == []
    run.moves = 0
    context.reboots = Counter()
    context.steps = []
    context.plans = []

    def record_plan(plan):
        context.plans.append(plan)
        context.steps += [(run.ledger.now, step) for step in plan.steps]
        context.reboots.update(s.host for s in plan.steps if s.kind == "reboot")

    run.on_plan = record_plan


@given("waves an operator adds a stand-in to every service")
def add_stand_ins(context):
    fleets.add_rack(context.run.ledger, "extra", "r0", 5)
    for number, service in enumerate(context.spec.services):
        context.run.record(f"extra-r0-{number}", "in_service", service.name, "given by hand")
    context.run.declare(
        {"policy/fleet": {**fleet_policy(context), "move_weight": 5.0, "spare_hosts": 0}}
    )
    context.run.settle()
    context.run.moves = 0


def fleet_policy(context):
    return context.run.state.declarations_by_key["policy/fleet"].value


def start_wave(context, hosts=None):
    run = context.run
    hosts = hosts or [h["host"] for h in run.hosts()]
    context.started = run.ledger.now
    context.hosts = hosts
    run.ledger.append("wave", {"wave": "w", "base": 0, "step": "start", "hosts": hosts})


def append_wave_step(context, step):
    epoch = context.run.state.waves_by_name["w"]["epoch"]
    context.run.ledger.append("wave", {"wave": "w", "base": epoch, "step": step})


def tick_until(context, condition, *, limit=4000, seconds=15.0):
    """Tick until the condition returns something for a plan; return that."""
    for _ in range(limit):
        plan = context.run.tick(seconds)
        result = condition(plan)
        if result:
            return result
    raise AssertionError(f"condition not met in {limit} ticks; last plan: {plan}")


@when("waves an operator starts a wave over all hosts")
def start_whole_wave(context):
    start_wave(context)


@when("waves an operator starts a wave over all hosts and it runs to its end")
def run_whole_wave(context):
    start_wave(context)
    finish_wave(context)


@then("waves the wave runs to its end")
def finish_wave(context):
    tick_until(context, lambda plan: plan.finished == ["w"])
    append_wave_step(context, "finish")
    context.run.settle()


@then("waves every host was rebooted once, empty, and at most {out:d} were out at once")
def check_reboots(context, out):
    assert context.reboots == Counter(context.hosts), context.reboots
    assert context.run.most_out <= out
    # The fold lets only a drained host reboot, and the fake reports a host drained only when empty.
    assert context.run.turned == []


@then("waves no budget was breached and at most {moves:d} moves were made")
def check_budgets_and_moves(context, moves):
    run = context.run
    assert (run.breaches, run.turned, run.short()) == ([], [], [])
    assert run.moves <= moves, run.moves


@then("waves every budget holds")
def check_budgets(context):
    check_budgets_and_moves(context, 1000)


@when("waves three maintenance periods of 2 days pass")
def run_three_periods(context):
    run = context.run
    period = 2 * 86_400.0
    run.declare({"policy/fleet": {**fleet_policy(context), "maintain_every_s": period}})
    context.max_age_ratio = 0.0
    for _ in range(int(3 * period / 120)):
        run.tick(120.0)
        oldest = min(h["maintained"] for h in run.hosts())
        context.max_age_ratio = max(context.max_age_ratio, (run.ledger.now - oldest) / period)


@then("waves no host ever went without maintenance for longer than the period")
def check_max_age(context):
    assert context.max_age_ratio <= 1.0, context.max_age_ratio
    assert len(context.reboots) == len(context.run.hosts())


@when("waves a host fails while another host of its service is being drained")
def fail_during_drain(context):
    run = context.run
    drained = tick_until(context, lambda plan: [s for s in plan.steps if s.kind == "drain"])[0]
    context.drained = drained.host
    serving = [h for h in run.hosts() if h["pool"] == drained.pool and h["phase"] == "in_service"]
    context.failed_hosts = [min(h["host"] for h in serving)]
    run.fail(context.failed_hosts[0])
    for host in run.hosts():
        # The stand-ins of the other services fail too, since they could replace the failed host.
        if host["facts"]["data_center"] == "extra" and host["pool"] != drained.pool:
            context.failed_hosts.append(host["host"])
            run.fail(host["host"])


@then("waves the drain is undone and the wave waits with MG4011")
def check_undrain(context):
    run = context.run
    plan = run.tick(1.0)
    assert [(s.kind, s.host) for s in plan.steps] == [("undrain", context.drained)], plan
    for _ in range(50):
        plan = run.tick(15.0)
        assert plan.steps == [], plan
    run.fail(context.drained)
    plan = run.tick(15.0)
    assert "MG4011" in plan.waiting["w"], plan
    context.failed_hosts.append(context.drained)


@when("waves the failed host is back")
@when("waves the failed hosts are back")
def bring_hosts_back(context):
    for host in context.failed_hosts:
        context.run.bring_back(host)


@when("waves two racks fail")
def fail_two_racks(context):
    run = context.run
    context.run.tick(15.0)
    racks = sorted({(h["facts"]["data_center"], h["facts"]["rack"]) for h in run.hosts()})[:2]
    context.failed_hosts = [
        h["host"] for h in run.hosts() if (h["facts"]["data_center"], h["facts"]["rack"]) in racks
    ]
    for host in context.failed_hosts:
        run.fail(host)
    context.steps.clear()


@then("waves no stand-in is assigned while a service lacks hosts")
def check_no_stand_in(context):
    run = context.run
    for _ in range(200):
        plan = run.tick(15.0)
        assert run.short()
        assert "MG4011" in plan.waiting["w"], plan
    stand_ins = [s for _, s in context.steps if "stands in" in s.reason]
    assert stand_ins == []


@when("waves an operator starts a wave over all hosts with one that won't {what}")
def start_with_stuck_host(context, what):
    run = context.run
    start_wave(context)
    context.stuck = min(h["host"] for h in run.hosts() if h["pool"] == "listings")
    if what == "drain":
        run.stuck.add(context.stuck)
    else:
        rebooting = [context.stuck]
        tick_until(context, lambda plan: [s for s in plan.steps if is_reboot(s, rebooting)])
        run.stuck.add(context.stuck)


def is_reboot(step, hosts):
    return step.kind == "reboot" and step.host in hosts


@then("waves the host is {phase} with {code}, and was drained once")
def check_stuck_host(context, phase, code):
    host = context.run.state.hosts_by_name[context.stuck]
    assert (host["phase"], host["reason"].split(":")[0]) == (phase, code), host
    drains = [s for _, s in context.steps if s.host == context.stuck and s.kind == "drain"]
    assert len(drains) == 1, drains


@when("waves an operator starts a wave over all hosts and plans are made each second")
def plan_each_second(context):
    start_wave(context)
    context.run.reboot_s = 20.0
    context.seconds_since_join = {}
    context.early_drains = []

    def check_drains(plan):
        run = context.run
        for step in plan.steps:
            if step.kind == "drain":
                since = [
                    h["since"]
                    for h in run.hosts()
                    if h["pool"] == step.pool and h["phase"] == "in_service" and step.pool
                ]
                elapsed_s = run.ledger.now - max(since, default=0.0)
                context.seconds_since_join[step.host] = elapsed_s
                context.early_drains += [step] if elapsed_s < 10 else []

    context.run.on_plan = check_drains
    tick_until(context, lambda plan: plan.finished == ["w"], seconds=1.0)


@then("waves no host was drained within 10 seconds of another host joining its service")
def check_no_early_drain(context):
    assert len(context.seconds_since_join) >= 30
    assert context.early_drains == [], context.early_drains


@when("waves a profile limits listings to 6 hosts")
def limit_room(context):
    listings = next(s for s in context.spec.services if s.name == "listings")
    context.run.declare(fleets.declarations_of_service(listings._replace(max_hosts=6)))


@then("waves the hosts of listings wait for lack of room, and no step is rejected")
def check_waiting_for_room(context):
    run = context.run
    for _ in range(1000):
        plan = run.tick(15.0)
    assert plan.waiting["w"] == "listings: it has no margin, and no room for a stand-in", plan
    waiting = {h["host"] for h in run.hosts() if h["maintained"] < context.started}
    assert waiting == {h["host"] for h in run.hosts() if h["pool"] == "listings"}
    assert (run.breaches, run.turned) == ([], [])


@when("waves an operator starts a wave over one rack and pauses it at its first drain")
def pause_at_first_drain(context):
    run = context.run
    facts = run.hosts()[0]["facts"]
    start_wave(context, [h["host"] for h in run.hosts() if h["facts"] == facts])
    tick_until(context, lambda plan: [s for s in plan.steps if s.kind == "drain"])
    append_wave_step(context, "pause")


@then("waves the host that was out returns and no other host is drained")
def check_paused(context):
    for _ in range(100):
        plan = context.run.tick(15.0)
        assert not [s for s in plan.steps if s.kind == "drain"] and not plan.finished
    assert len(context.reboots) == 1 and context.run.out() == []


@when("waves the operator resumes the wave")
def resume_wave(context):
    append_wave_step(context, "resume")


@then("waves only the hosts of that rack were rebooted")
def check_only_rack_rebooted(context):
    assert context.reboots == Counter(context.hosts)
    assert waves.STANDING_WAVE not in {s.wave for _, s in context.steps}
