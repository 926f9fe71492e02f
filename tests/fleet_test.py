"""The plan of VMs, and exactly-once orders under faults."""

import dataclasses

import config_test
import pytest

from plumarch.core import data, events
from plumarch.fleet import plan
from plumarch.standins import virtual

NODES = {"a1": "a", "b1": "b", "c1": "c"}
CENTRES = ["a", "b", "c"]
CHEAP = "reclaimable"
EXPENSIVE = "on-demand"
OFFERS = tuple(
    offer
    for centre in CENTRES
    for offer in (
        data.Offer(CHEAP, centre, 0.3, 8, True),
        data.Offer(EXPENSIVE, centre, 1.0, 8, False),
    )
)


def classes(reclaims: float = 0.0) -> list[plan.VmClass]:
    return [
        plan.VmClass(o.name, o.data_centre, o.price, o.capacity, o.reclaimable, reclaims)
        for o in OFFERS
    ]


def vms(centre: str, count: int, load: int = 0) -> list[plan.FleetVm]:
    return [
        plan.FleetVm(f"{centre}-{n}", "writer", centre, CHEAP, 8, 0.3, load) for n in range(count)
    ]


def starts(changes: list[plan.Change]) -> list[tuple[str, str]]:
    return [(c.data_centre, c.vm_class) for c in changes if isinstance(c, plan.Start)]


def test_plan_covers_the_loss_of_any_one_data_centre() -> None:
    demand = plan.Demand("writer", 60.0, 40.0)
    changes = plan.plan(demand, CENTRES, classes(), [], [], 0)
    for lost in CENTRES:
        remaining = sum(8 for centre, _ in starts(changes) if centre != lost)
        assert remaining >= 40
    assert len(starts(changes)) * 8 >= 60 * plan.HEADROOM


def test_sufficient_capacity_causes_no_changes() -> None:
    demand = plan.Demand("writer", 10.0, 5.0)
    existing_vms = [vm for centre in CENTRES for vm in vms(centre, 1)]
    assert plan.plan(demand, CENTRES, classes(), existing_vms, [], 0) == []


def test_cheapest_class_is_chosen_including_the_cost_of_reclaims() -> None:
    demand = plan.Demand("writer", 10.0, 0.0)
    assert starts(plan.plan(demand, ["a"], classes(0.5), [], [], 0))[0] == ("a", CHEAP)
    assert starts(plan.plan(demand, ["a"], classes(20.0), [], [], 0))[0] == ("a", EXPENSIVE)


def test_refused_class_is_avoided_during_its_cooldown() -> None:
    demand = plan.Demand("writer", 10.0, 0.0)
    refused = [plan.Refusal("a", CHEAP, 1, 0)]
    assert starts(plan.plan(demand, ["a"], classes(), [], refused, 1_000))[0] == ("a", EXPENSIVE)
    both = [*refused, plan.Refusal("a", EXPENSIVE, 1, 0)]
    elsewhere = starts(plan.plan(demand, ["a", "b"], classes(), [], both, 1_000))
    assert {centre for centre, _ in elsewhere} == {"b"}
    later = starts(plan.plan(demand, ["a"], classes(), [], both, plan.COOLDOWN_MS))
    assert later[0] == ("a", CHEAP)


def test_consecutive_refusals_extend_the_cooldown_up_to_a_limit() -> None:
    cooldowns_ms = [plan.Refusal("a", CHEAP, count, 0).until_ms() for count in (1, 2, 3, 50)]
    assert cooldowns_ms == [30_000, 60_000, 120_000, 600_000]


def test_most_expensive_idle_vm_is_released_one_at_a_time() -> None:
    demand = plan.Demand("writer", 2.0, 0.0)
    existing = [*vms("a", 3), plan.FleetVm("a-dear", "writer", "a", EXPENSIVE, 8, 1.0)]
    changes = plan.plan(demand, ["a"], classes(), existing, [], 0)
    assert [c.name for c in changes if isinstance(c, plan.Release)] == ["a-dear"]
    busy = [dataclasses.replace(vm, load=1) for vm in existing]
    assert plan.plan(demand, ["a"], classes(), busy, [], 0) == []


def test_leaving_vm_is_replaced_before_it_stops() -> None:
    demand = plan.Demand("writer", 4.0, 0.0)
    existing = [dataclasses.replace(vm, leaving=True) for vm in vms("a", 1)]
    assert starts(plan.plan(demand, ["a"], classes(), existing, [], 0)) == [("a", CHEAP)]


def busy_world(seed: int = 1) -> virtual.World:
    """Return a world whose demand exceeds its one engine per data centre."""
    world = virtual.build(NODES, engines_each=1, services_each=0, seed=seed)
    texts = {
        "template/desk": config_test.TEMPLATE,
        "workspace/w0": config_test.workspace("w0"),
    }
    for host in world.hosts.values():
        world.deliver(host, config_test.config_seen(1, texts))
    world.publish_offers(OFFERS)
    for _ in range(60):
        request = virtual.request(world, "c1", data.RequestClass.DRAFT, max_tokens=1_500)
        world.call("c1", dataclasses.replace(request, timeout_ms=600_000))
    return world


def engines(world: virtual.World) -> int:
    return sum(1 for endpoint in world.endpoints.values() if endpoint.alive)


def test_vms_follow_demand() -> None:
    world = busy_world()
    world.run(60_000)
    assert world.cloud.starts == 6
    assert engines(world) == 9
    world.run(300_000)
    assert world.cloud.releases == 6
    assert engines(world) == 3


def duty_holders(world: virtual.World) -> list[str]:
    return [n for n, h in world.hosts.items() if h.alive and h.node.orders.decides()]


@pytest.mark.parametrize("seed", range(3))
def test_lost_answers_cause_no_duplicate_starts(seed: int) -> None:
    world = busy_world(seed)
    world.cloud.lose_answers = 0.6
    world.store.faults.lose_answers = 0.5
    world.run(120_000)
    assert world.cloud.starts == 6
    assert len(duty_holders(world)) == 1


@pytest.mark.parametrize("seed", range(3))
def test_orders_of_a_paused_duty_holder_are_carried_out_once(seed: int) -> None:
    world = busy_world(seed)

    def pause_at_order(host: virtual.Host, action: events.Action) -> bool:
        if isinstance(action, events.CloudOrder) and host.name == "a1":
            world.pause("a1")
            return True
        return True

    world.interfere = pause_at_order
    world.run(40_000)
    world.interfere = None
    world.resume("a1")
    world.run(60_000)
    # Orders of the paused node are repeated under their own tokens, or fenced.
    assert world.cloud.starts == 6
    assert len(duty_holders(world)) == 1


def test_resumed_former_duty_holder_is_fenced() -> None:
    world = busy_world()
    world.run(20_000)
    former_holder = world.hosts[duty_holders(world)[0]]
    world.pause(former_holder.name)
    world.run(30_000)
    assert duty_holders(world) != [former_holder.name]
    before = dict(world.cloud.answers)
    world.resume(former_holder.name)
    world.run(30_000)
    assert [token for token in world.cloud.answers if former_holder.name in token] == list(before)
    newer = events.CloudOrder(1, "newer", False, "none", "", "", "", 9)
    stale = events.CloudOrder(1, "stale", True, "", "writer", "a", CHEAP, 8)
    assert world._execute_order(newer)[0] is events.CloudStatus.DONE
    assert world._execute_order(stale)[0] is events.CloudStatus.FENCED


def test_no_vm_is_started_or_released_during_a_platform_outage() -> None:
    world = busy_world()
    world.store.faults.down = True
    world.run(20_000)
    assert (world.cloud.starts, world.cloud.releases) == (0, 0)
    world.store.faults.down = False
    world.run(15_000)
    assert world.cloud.starts == 6


def test_refused_starts_are_replaced_in_other_data_centres() -> None:
    world = busy_world()
    world.cloud.refused = {("a", CHEAP), ("a", EXPENSIVE), ("b", CHEAP)}
    world.run(120_000)
    started = [e.info for e in world.endpoints.values() if "-vm-" in e.info.name]
    assert sum(info.capacity for info in started) >= 6 * 8
    assert {info.data_centre for info in started} == {"b", "c"}
