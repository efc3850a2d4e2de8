//! Tests of forming and repairing replicas, and of the planner's safety rules.

mod support;

use std::time::Duration;

use eelgrassmill_base::HostId;
use eelgrassmill_fleet::{FormationPhase, LossReason, Order, OrderReply, Purpose};
use googletest::prelude::*;

use crate::support::World;

const fn seconds(s: u64) -> Duration {
    Duration::from_secs(s)
}

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Time for all first loads, priming and staging of one domain.
const SETTLED: Duration = seconds(90);

fn settled(domains: usize, each: usize) -> World {
    let mut world = World::new(domains, each, 1);
    world.run(SETTLED);
    assert_that!(world.violations, is_empty());
    world
}

/// Runs until `count` replicas serve; returns how long that took.
fn until_serving(world: &mut World, count: usize, most: Duration) -> Option<Duration> {
    let began = world.now;
    while world.now < began + most {
        if world.serving() >= count {
            return Some(world.now - began);
        }
        world.run(millis(20));
    }
    None
}

/// Hosts that are members of no open replica.
fn spares(world: &World) -> Vec<HostId> {
    let members = |d: &&str| [world.members(d, "large"), world.members(d, "small")].concat();
    let serving: Vec<HostId> = ["d0", "d1"].iter().flat_map(members).collect();
    let hosts = world.hosts.keys();
    hosts.filter(|h| !serving.contains(h)).cloned().collect()
}

/// Replaces a lost member by a spare that can't write its entry; returns the members of the
/// replica.
fn join_unlisted_spare(world: &mut World) -> Vec<HostId> {
    let spares = spares(world);
    for spare in &spares {
        world.partition_from_list(spare);
    }
    let lost = world.members("d0", "large")[3].clone();
    world.kill(&lost);
    world.run(millis(1300));
    let members = world.members("d0", "large");
    assert!(members.iter().any(|m| spares.contains(m)));
    members
}

#[gtest]
fn each_domain_gets_a_replica_of_each_model_and_primed_spares() {
    let mut world = settled(2, 11);
    expect_that!(world.serving(), eq(4));
    for fabric in ["d0", "d1"] {
        expect_that!(world.members(fabric, "large").len(), eq(6));
        expect_that!(world.members(fabric, "small").len(), eq(3));
    }
    // Every spare is primed for one model and has the other's weights.
    let spares = spares(&world);
    expect_that!(spares.len(), eq(4));
    for spare in spares {
        let host = world.host(&spare);
        let primed = host.last_model.clone();
        expect_that!(primed, some(anything()));
        expect_that!(
            host.staged.iter().any(|m| Some(m) != primed.as_ref()),
            eq(true)
        );
    }
}

/// Guards against slow repair when a member dies: the replica's streams stall until a spare has
/// replaced it.
#[gtest]
fn a_lost_member_is_replaced_within_a_second_of_being_noticed() {
    let mut world = settled(1, 11);
    let lost = world.members("d0", "large")[3].clone();
    world.kill(&lost);
    let took = until_serving(&mut world, 2, seconds(10));
    // The replica counts as serving until the loss is detected.
    expect_that!(took, some(eq(Duration::ZERO)).or(some(le(millis(1500)))));
    world.run(millis(1500));
    expect_that!(world.serving(), eq(2));
    expect_that!(world.members("d0", "large"), not(contains(eq(&lost))));
    expect_that!(world.violations, is_empty());
}

/// A dead head can't be ordered to leave and can't be told from an unreachable one, but its members
/// can leave without it.
#[gtest]
fn a_lost_head_is_replaced_without_waiting_for_its_entry_to_lapse() {
    let mut world = settled(1, 11);
    let head = world.members("d0", "large")[0].clone();
    world.kill(&head);
    world.run(millis(2200));
    expect_that!(world.serving(), eq(2));
    expect_that!(world.violations, is_empty());
}

/// After the first loss the spare primed for the model is used up, and loading the weights again
/// would take 16 s.
#[gtest]
fn the_second_loss_of_a_model_is_repaired_from_staged_weights() {
    let mut world = settled(1, 11);
    for _ in 0..2 {
        let lost = world.members("d0", "large")[2].clone();
        world.kill(&lost);
        world.run(seconds(4));
    }
    expect_that!(world.members("d0", "large").len(), eq(6));
    expect_that!(world.serving(), eq(2));
    expect_that!(world.violations, is_empty());
}

/// A head's entry is removed while it keeps serving for seconds. If its members were treated as
/// free, answers in progress would break.
#[gtest]
fn members_of_a_head_without_an_entry_leave_before_they_join_elsewhere() {
    let mut world = settled(1, 11);
    let head = world.members("d0", "large")[0].clone();
    world.remove_entry(&head);
    world.run(seconds(8));
    expect_that!(world.violations, is_empty());
    expect_that!(world.members("d0", "large"), not(contains(eq(&head))));
    expect_that!(world.serving(), eq(2));
}

/// A partitioned head comes back and still holds the dissolved replica. It must leave it before it
/// joins another one.
#[gtest]
fn a_partitioned_head_leaves_its_replica_when_it_returns() {
    let mut world = settled(1, 11);
    let head = world.members("d0", "large")[0].clone();
    world.partition(&head);
    world.run(seconds(6));
    expect_that!(world.serving(), ge(2));
    world.heal(&head);
    world.run(seconds(3));
    // Another loss makes the planner look for free hosts.
    let lost = world.members("d0", "small")[1].clone();
    world.kill(&lost);
    world.run(seconds(20));
    expect_that!(world.violations, is_empty());
    expect_that!(world.serving(), eq(2));
}

/// A head and a member are partitioned together while the member stays listed, so the replica is
/// still dissolving when the head comes back. The head still serves.
#[gtest]
fn a_head_that_returns_while_its_replica_dissolves_leaves_first() {
    let mut world = settled(1, 11);
    let members = world.members("d0", "large");
    world.partition_from_planners(&members[3]);
    world.partition(&members[0]);
    world.run(seconds(6));
    world.heal(&members[0]);
    world.run(millis(400));
    // No other host is free to replace this one.
    let lost = world.members("d0", "large")[1].clone();
    world.kill(&lost);
    world.run(seconds(10));
    expect_that!(world.violations, is_empty());
    expect_that!(world.serving(), eq(2));
}

/// A new planner must not disturb complete replicas that serve.
#[gtest]
fn a_new_planner_takes_over_what_serves() {
    let mut world = settled(2, 11);
    let before = world.members("d0", "large");
    world.new_planner(None);
    world.run(seconds(5));
    expect_that!(world.members("d0", "large"), eq(&before));
    let lost = before[1].clone();
    world.kill(&lost);
    world.run(seconds(3));
    expect_that!(world.serving(), eq(4));
    expect_that!(world.violations, is_empty());
}

/// A paused planner resumes with stale state while another one plans. Hosts reject its orders by
/// epoch, and no replica loses a member to it.
#[gtest]
fn an_old_planner_that_keeps_running_does_no_harm() {
    let mut world = settled(2, 11);
    world.new_planner(Some(seconds(10)));
    for fabric in ["d0", "d1"] {
        let lost = world.members(fabric, "large")[4].clone();
        world.kill(&lost);
        world.run(seconds(2));
    }
    world.run(seconds(20));
    expect_that!(world.violations, is_empty());
    expect_that!(world.serving(), eq(4));
}

/// Half of all orders get no answer and are executed seconds later. Treated as dead, the healthy
/// hosts would be replaced until no spare is left.
#[gtest]
fn hosts_that_delay_orders_are_not_treated_as_dead() {
    let mut world = settled(2, 11);
    world.delayed_ratio = 0.5;
    for fabric in ["d0", "d1"] {
        let lost = world.members(fabric, "large")[2].clone();
        world.kill(&lost);
    }
    world.run(seconds(6));
    expect_that!(world.serving(), eq(4));
    expect_that!(world.violations, is_empty());
}

/// A spare restarted under another name, and its old entry remains. Chosen repeatedly, it would
/// break each new formation within a planning pass, hundreds of times until its entry expires.
#[gtest]
fn a_host_whose_address_was_reused_is_not_chosen_again() {
    let mut world = settled(1, 11);
    for spare in spares(&world) {
        world.host(&spare).replaced = true;
    }
    let lost = world.members("d0", "large")[2].clone();
    world.kill(&lost);
    let before = world.orders;
    world.run(seconds(5));
    expect_that!(world.orders - before, le(60));
    expect_that!(world.violations, is_empty());
}

/// The head's reply to the order to open arrives after the replica was dissolved for a dead member.
/// Reopened, the replica would hold its hosts without being able to serve.
#[gtest]
fn a_late_reply_does_not_reopen_a_lost_replica() {
    let mut world = settled(1, 11);
    let formation = world.planner().formations().find(|f| f.model == "large");
    let formation = formation.expect("the model is served");
    let (id, epoch) = (formation.id.clone(), formation.epoch);
    let (head, member) = (formation.members[0].clone(), formation.members[3].clone());
    let planner = &mut world.actors[0].planner;
    planner.on_replica_lost(&id, epoch, LossReason::Silent(member), world.began);
    let open = Order::Open {
        replica: id.clone(),
        epoch,
    };
    planner.on_reply(&head, &open, Some(OrderReply::Done), world.began);
    let step = planner.formations().find(|f| f.id == id).map(|f| f.phase);
    expect_that!(step, some(eq(FormationPhase::Dissolving)));
}

/// Guards against a replica that serves nothing because its head rejects requests.
#[gtest]
fn another_member_takes_the_place_of_a_head_that_rejects() {
    let mut world = settled(1, 11);
    let before = world.members("d0", "large");
    for _ in 0..15 {
        world.report_rejecting(&before[0]);
        world.run(millis(100));
    }
    world.run(seconds(3));
    let after = world.members("d0", "large");
    expect_that!(after.len(), eq(before.len()));
    expect_that!(after[0], not(eq(&before[0])));
    expect_that!(world.violations, is_empty());
}

/// Guards against dissolving replicas for heads that are briefly full, or that no other member can
/// replace.
#[gtest]
fn a_head_stays_if_it_rejects_briefly_or_all_members_reject() {
    let mut world = settled(1, 11);
    let before = world.members("d0", "large");
    world.report_rejecting(&before[0]);
    world.run(millis(500));
    world.report_rejecting(&before[0]);
    world.run(seconds(3));
    expect_that!(world.members("d0", "large"), eq(&before));
    for _ in 0..30 {
        for member in &before {
            world.report_rejecting(member);
        }
        world.run(millis(100));
    }
    world.run(seconds(3));
    expect_that!(world.members("d0", "large"), eq(&before));
}

/// When a member is leaving, the head finishes running requests, and the replica is re-formed
/// without that member.
#[gtest]
fn a_leaving_member_is_replaced() {
    let mut world = settled(1, 11);
    let leaving = world.members("d0", "large")[2].clone();
    let before = world.orders;
    world.drain(&leaving);
    world.run(seconds(5));
    // Close, six leave, six join, open, and a few for the replacing spare: replies must not cause
    // the same order to be resent.
    expect_that!(world.orders - before, le(25));
    expect_that!(world.members("d0", "large"), not(contains(eq(&leaving))));
    expect_that!(world.serving(), eq(2));
    expect_that!(world.violations, is_empty());
}

/// Loads from the weight store stay below the limit in any five seconds, also when a whole domain
/// starts empty and when planners change.
#[gtest]
fn loads_stay_below_the_rate_limit() {
    let mut world = World::new(6, 11, 1);
    world.shares_weight_store = true;
    world.run(seconds(4));
    world.new_planner(None);
    // 54 loads, eight at a time.
    world.run(seconds(7 * 17));
    let loads = world.loads.clone();
    let most = loads.iter().map(|from| {
        loads
            .iter()
            .filter(|at| **at >= *from && **at < *from + seconds(5))
            .count()
    });
    // 5.5 per second over 5 s, plus a tenth, plus three.
    expect_that!(most.max().unwrap_or(0), le(33));
    expect_that!(world.serving(), eq(12));
}

/// A spare with a stale entry replaces a lost member. Then the head becomes unreachable and the
/// planner is replaced. The new planner sees the spare listed as free while the head serves.
#[gtest]
fn a_host_with_a_stale_entry_is_queried_before_it_is_treated_as_free() {
    let mut world = settled(1, 11);
    let members = join_unlisted_spare(&mut world);
    world.partition_from_planners(&members[0]);
    world.new_planner(None);
    world.run(seconds(8));
    expect_that!(world.violations, is_empty());
}

/// The list shows a member as free that joined after it could no longer write its entry. The stale
/// entry, repeated when the full list is read, must not override the member's own report.
#[gtest]
fn a_stale_entry_does_not_dissolve_a_replica() {
    let mut world = settled(1, 11);
    let members = join_unlisted_spare(&mut world);
    let formation = world.planner().formations().find(|f| f.members == members);
    let replica = formation.expect("the planner formed it").id.clone();
    world.reload_list();
    // Stops before the entries expire after 3 s.
    world.run(millis(1600));
    let serving: Vec<_> = world.planner().formations().map(|f| &f.id).collect();
    expect_that!(serving, contains(eq(&&replica)));
    expect_that!(world.violations, is_empty());
}

/// A member leaves a replica whose unreachable head keeps serving, then executes an unanswered
/// order to join it, which the list doesn't show. It must not be treated as free.
#[gtest]
fn a_host_that_did_not_answer_an_order_is_not_reassigned() {
    let mut world = settled(1, 11);
    let members = world.members("d0", "large");
    let formation = world.planner().formations().find(|f| f.members == members);
    let formation = formation.expect("the planner formed it");
    let join = Order::Join {
        replica: formation.id.clone(),
        epoch: formation.epoch,
        model: formation.model.clone(),
        members: members.clone(),
    };
    world.partition_from_planners(&members[0]);
    let now = world.began + world.now;
    let rejoining = members[5].clone();
    let planner = &mut world.actors[0].planner;
    planner.on_reply(&rejoining, &join, None, now);
    world.report_silent(&members[0]);
    // It is briefly unreachable too, so that other hosts are chosen.
    world.partition_from_planners(&rejoining);
    world.report_silent(&rejoining);
    world.run(millis(100));
    let next = world
        .planner()
        .formations()
        .find(|f| f.model == "large" && f.purpose == Purpose::Serve && f.members[0] != members[0]);
    let next = next.expect("others form one").members.clone();
    assert_that!(next, not(contains(eq(&rejoining))));
    world.host(&rejoining).reachable = true;
    world.run(millis(1500));
    assert_that!(world.hosts[&rejoining].part, none());
    world.partition_from_list(&rejoining);
    world.handle_order(&rejoining, &join);
    let lost = next.iter().find(|m| members.contains(m)).cloned();
    world.kill(&lost.expect("some were members before"));
    world.run(millis(2500));
    expect_that!(world.violations, is_empty());
    // Once the old head is reachable and has left, all hosts are free again.
    world.heal(&members[0]);
    world.heal(&rejoining);
    world.run(seconds(4));
    expect_that!(world.serving(), ge(2));
    expect_that!(world.violations, is_empty());
}

/// Guards against a new planner that dissolves a sound replica because a member is silent for a
/// moment while it asks all hosts.
#[gtest]
fn a_new_planner_keeps_a_replica_whose_member_is_silent_for_a_moment() {
    let mut world = settled(1, 11);
    let members = world.members("d0", "large");
    let of_members = |world: &World| {
        let formation = world.planner().formations().find(|f| f.members == members);
        formation.map(|f| (f.epoch, f.phase))
    };
    let before = of_members(&world);
    world.new_planner(None);
    // It asks all hosts once the orders of the one before can't be under way any more.
    world.run(millis(1800));
    world.partition_from_planners(&members[1]);
    world.run(millis(1500));
    world.host(&members[1]).reachable = true;
    world.run(seconds(2));
    expect_that!(of_members(&world), eq(before));
    expect_that!(before, some((anything(), eq(FormationPhase::Open))));
    expect_that!(world.violations, is_empty());
}

/// A spare restarted under another name at the same address and is already a member of a replica,
/// while its old entry remains. A query for the old host is answered by the new one, and must not
/// add a member to the replica.
#[gtest]
fn a_report_from_another_host_at_the_address_is_ignored() {
    let mut world = settled(1, 11);
    let members = world.members("d0", "large");
    let spare = spares(&world)[0].clone();
    world.host(&spare).replaced = true;
    world.host(&spare).answered_by = Some(members[4].clone());
    world.partition_from_list(&spare);
    world.new_planner(None);
    world.run(millis(2500));
    let formations: Vec<_> = world.planner().formations().collect();
    let large = formations
        .iter()
        .filter(|f| f.model == "large" && f.purpose == Purpose::Serve);
    let sizes: Vec<usize> = large
        .filter(|f| f.loss.is_none())
        .map(|f| f.members.len())
        .collect();
    expect_that!(sizes, each(eq(&6)));
}

/// An order to join reaches its host only when resent. The new replica must not be dissolved for
/// that: the next one would need a slower spare.
#[gtest]
fn one_undelivered_order_does_not_dissolve_a_replica() {
    let mut world = settled(1, 11);
    let before = world.planner().formations().map(|f| f.epoch).max();
    let spares = spares(&world);
    for spare in &spares {
        world.partition_from_planners(spare);
    }
    let lost = world.members("d0", "large")[3].clone();
    world.kill(&lost);
    // The loss is detected after 500 ms, and the order to join is sent immediately.
    world.run(millis(600));
    for spare in &spares {
        world.host(spare).reachable = true;
    }
    world.run(seconds(2));
    let mut large = world.planner().formations().filter(|f| f.model == "large");
    let serving = large.find(|f| f.phase == FormationPhase::Open);
    expect_that!(serving.map(|f| f.epoch), eq(before.map(|epoch| epoch + 1)));
    expect_that!(world.violations, is_empty());
}

/// Hosts with the large model's weights wait for one that still loads them, while the domain's
/// small replica is dissolved and its members have yet to leave. If the waiting hosts loaded the
/// small model then, they would lose the large model's weights for another 16 s.
#[gtest]
fn hosts_that_wait_load_nothing_while_members_of_a_lost_replica_leave() {
    let mut world = settled(2, 11);
    for spare in spares(&world) {
        world.kill(&spare);
    }
    // One large and one small replica are left, so the small model has more unmet demand.
    let lost = world.members("d0", "large")[3].clone();
    let also_lost = world.members("d1", "small")[1].clone();
    world.kill(&lost);
    world.kill(&also_lost);
    world.run(seconds(4));
    let fresh = world.add_host("d0");
    world.run(seconds(4));
    expect_that!(world.serving(), eq(2));
    let small = world.members("d0", "small");
    world.report_replica_lost(&small[0]);
    world.run(seconds(2));
    expect_that!(world.members("d0", "small"), eq(&small));
    world.run(seconds(16));
    expect_that!(world.members("d0", "large"), contains(eq(&fresh)));
    expect_that!(world.violations, is_empty());
}
