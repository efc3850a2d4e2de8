//! Forming replicas, mending them, and what must never happen to a host.

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

/// Runs until `count` replicas serve; gives how long that took.
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

/// Hosts that serve in no replica.
fn spares(world: &World) -> Vec<HostId> {
    let members = |d: &&str| [world.members(d, "large"), world.members(d, "small")].concat();
    let serving: Vec<HostId> = ["d0", "d1"].iter().flat_map(members).collect();
    let hosts = world.hosts.keys();
    hosts.filter(|h| !serving.contains(h)).cloned().collect()
}

/// Spares can't write their entries any more, and one takes a lost member's place. Gives
/// the members of its replica.
fn joined_unlisted(world: &mut World) -> Vec<HostId> {
    let spares = spares(world);
    for spare in &spares {
        world.cut_from_list(spare);
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
    // Every spare was a member for one model and holds the other's weights.
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

/// A member dies in the middle of streams. Its replica stands still, and callers wait
/// until a spare has taken the place.
#[gtest]
fn a_lost_member_is_replaced_within_a_second_of_being_noticed() {
    let mut world = settled(1, 11);
    let lost = world.members("d0", "large")[3].clone();
    world.kill(&lost);
    let took = until_serving(&mut world, 2, seconds(10));
    // It counts as serving until its end is noticed, so time passes first.
    expect_that!(took, some(eq(Duration::ZERO)).or(some(le(millis(1500)))));
    world.run(millis(1500));
    expect_that!(world.serving(), eq(2));
    expect_that!(world.members("d0", "large"), not(contains(eq(&lost))));
    expect_that!(world.violations, is_empty());
}

/// The head itself dies. It can't be told to leave, and nothing says whether it is dead
/// or only out of reach, but its members can leave by themselves.
#[gtest]
fn a_lost_head_is_replaced_without_waiting_for_its_entry_to_lapse() {
    let mut world = settled(1, 11);
    let head = world.members("d0", "large")[0].clone();
    world.kill(&head);
    world.run(millis(2200));
    expect_that!(world.serving(), eq(2));
    expect_that!(world.violations, is_empty());
}

/// A second member of the same model dies in one domain. The spare that was primed for
/// it is used up, and loading the weights anew would take 16 s.
#[gtest]
fn the_second_loss_of_a_model_is_mended_from_staged_weights() {
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

/// A head leaves without a word: its entry is removed, but it serves on for seconds. Were
/// its members taken as free, answers in progress would be torn apart.
#[gtest]
fn members_of_a_head_whose_entry_vanished_leave_before_they_join_elsewhere() {
    let mut world = settled(1, 11);
    let head = world.members("d0", "large")[0].clone();
    world.vanish(&head);
    world.run(seconds(8));
    expect_that!(world.violations, is_empty());
    expect_that!(world.members("d0", "large"), not(contains(eq(&head))));
    expect_that!(world.serving(), eq(2));
}

/// A head is cut off and later comes back, still at the head of the replica that was
/// given up. It must leave that before it joins another one.
#[gtest]
fn a_head_that_was_cut_off_leaves_what_it_held_when_it_returns() {
    let mut world = settled(1, 11);
    let head = world.members("d0", "large")[0].clone();
    world.cut(&head);
    world.run(seconds(6));
    expect_that!(world.serving(), ge(2));
    world.heal(&head);
    world.run(seconds(3));
    // A further loss makes the planner look for hosts.
    let lost = world.members("d0", "small")[1].clone();
    world.kill(&lost);
    world.run(seconds(20));
    expect_that!(world.violations, is_empty());
    expect_that!(world.serving(), eq(2));
}

/// A head and a member are cut off together, and the list shows the member all the time,
/// so that the replica isn't done with when the head comes back. The head still serves.
#[gtest]
fn a_head_that_returns_while_its_replica_is_being_given_up_leaves_first() {
    let mut world = settled(1, 11);
    let members = world.members("d0", "large");
    world.cut_from_planners(&members[3]);
    world.cut(&members[0]);
    world.run(seconds(6));
    world.heal(&members[0]);
    world.run(millis(400));
    // No other host is free to take this one's place.
    let lost = world.members("d0", "large")[1].clone();
    world.kill(&lost);
    world.run(seconds(10));
    expect_that!(world.violations, is_empty());
    expect_that!(world.serving(), eq(2));
}

/// All hosts of the pool are members when the planner is killed. The next one finds
/// them serving and must not touch what is whole.
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

/// A planner is paused and goes on with its old picture while another one plans. Hosts
/// refuse its orders by their epochs, and no replica loses a member to it.
#[gtest]
fn an_old_planner_that_acts_on_does_no_harm() {
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

/// Half of all orders get no answer and are carried out seconds later. The hosts are well:
/// counted as dead, they would be swapped for spares until none is left.
#[gtest]
fn hosts_that_are_late_with_orders_are_not_taken_for_dead() {
    let mut world = settled(2, 11);
    world.late_share = 0.5;
    for fabric in ["d0", "d1"] {
        let lost = world.members(fabric, "large")[2].clone();
        world.kill(&lost);
    }
    world.run(seconds(6));
    expect_that!(world.serving(), eq(4));
    expect_that!(world.violations, is_empty());
}

/// A spare has started again, and a host with another name answers at its address while
/// its old entry still stands. Chosen again and again, it would end each new formation
/// within a step, hundreds of times until its entry is gone.
#[gtest]
fn a_host_whose_address_is_anothers_is_not_chosen_again() {
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

/// The head's answer to the order to open comes after a member was found dead and the
/// replica was given up. Taken as news that it serves, it would bring a replica back that
/// has lost a member, and bind its hosts to it.
#[gtest]
fn an_answer_that_comes_after_a_loss_does_not_bring_the_replica_back() {
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
        world.say_rejects(&before[0]);
        world.run(millis(100));
    }
    world.run(seconds(3));
    let after = world.members("d0", "large");
    expect_that!(after.len(), eq(before.len()));
    expect_that!(after[0], not(eq(&before[0])));
    expect_that!(world.violations, is_empty());
}

/// Guards against replicas being given up for heads that are full for a moment, or that have no
/// other member to take their place.
#[gtest]
fn a_head_stays_where_it_rejects_for_a_moment_or_all_others_do() {
    let mut world = settled(1, 11);
    let before = world.members("d0", "large");
    world.say_rejects(&before[0]);
    world.run(millis(500));
    world.say_rejects(&before[0]);
    world.run(seconds(3));
    expect_that!(world.members("d0", "large"), eq(&before));
    for _ in 0..30 {
        for member in &before {
            world.say_rejects(member);
        }
        world.run(millis(100));
    }
    world.run(seconds(3));
    expect_that!(world.members("d0", "large"), eq(&before));
}

/// A member says that it is leaving. The head first finishes what runs, then the replica
/// is formed anew without that member.
#[gtest]
fn a_leaving_member_is_replaced() {
    let mut world = settled(1, 11);
    let leaving = world.members("d0", "large")[2].clone();
    let before = world.orders;
    world.drain(&leaving);
    world.run(seconds(5));
    // Close, six leave, six join, open, and a few for the spare that takes over: answers
    // must not bring on the same order again.
    expect_that!(world.orders - before, le(25));
    expect_that!(world.members("d0", "large"), not(contains(eq(&leaving))));
    expect_that!(world.serving(), eq(2));
    expect_that!(world.violations, is_empty());
}

/// Loads from the weight store are bounded in any five seconds, also when a whole domain
/// comes up empty at once and when planners change.
#[gtest]
fn loads_stay_under_their_rate() {
    let mut world = World::new(6, 11, 1);
    world.run(seconds(4));
    world.new_planner(None);
    world.run(SETTLED);
    let loads = world.loads.clone();
    let most = loads.iter().map(|from| {
        loads
            .iter()
            .filter(|at| **at >= *from && **at < *from + seconds(5))
            .count()
    });
    // 5.5 a second over 5 s, a tenth more, and three.
    expect_that!(most.max().unwrap_or(0), le(33));
    expect_that!(world.serving(), eq(12));
}

/// A spare can't write its entry any more but still obeys, and takes a lost member's
/// place. Then its replica's head is out of the planner's reach and the planner is
/// replaced. The next one sees the spare as it was before, free, while the head serves.
#[gtest]
fn a_host_whose_entry_is_out_of_date_is_asked_before_it_is_taken_as_free() {
    let mut world = settled(1, 11);
    let members = joined_unlisted(&mut world);
    world.cut_from_planners(&members[0]);
    world.new_planner(None);
    world.run(seconds(8));
    expect_that!(world.violations, is_empty());
}

/// A member joined after it could no longer write its entry, so the list shows it free.
/// The planner knows better from the member itself, until its node reads the list anew.
/// An entry that only repeats itself must not end a replica that serves.
#[gtest]
fn an_entry_from_before_a_join_ends_no_replica() {
    let mut world = settled(1, 11);
    let members = joined_unlisted(&mut world);
    let formation = world.planner().formations().find(|f| f.members == members);
    let replica = formation.expect("the planner formed it").id.clone();
    world.read_list_anew();
    // Their entries lapse after 3 s, which is another matter.
    world.run(millis(1600));
    let serving: Vec<_> = world.planner().formations().map(|f| &f.id).collect();
    expect_that!(serving, contains(eq(&&replica)));
    expect_that!(world.violations, is_empty());
}

/// A member leaves a replica whose head is out of reach and serves on. An order to join
/// it that got no answer is carried out after that, while the list doesn't show it. The
/// next time that a host is needed, this one seems to be free.
#[gtest]
fn a_host_that_left_an_order_unanswered_is_not_torn_away() {
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
    world.cut_from_planners(&members[0]);
    let now = world.began + world.now;
    let left_over = members[5].clone();
    let planner = &mut world.actors[0].planner;
    planner.on_reply(&left_over, &join, None, now);
    world.say_silent(&members[0]);
    // For a moment it is out of reach too, so that others are taken.
    world.cut_from_planners(&left_over);
    world.say_silent(&left_over);
    world.run(millis(100));
    let next = world
        .planner()
        .formations()
        .find(|f| f.model == "large" && f.purpose == Purpose::Serve && f.members[0] != members[0]);
    let next = next.expect("others form one").members.clone();
    assert_that!(next, not(contains(eq(&left_over))));
    world.host(&left_over).reachable = true;
    world.run(millis(1500));
    assert_that!(world.hosts[&left_over].part, none());
    world.cut_from_list(&left_over);
    world.obey(&left_over, &join);
    let lost = next.iter().find(|m| members.contains(m)).cloned();
    world.kill(&lost.expect("some were members before"));
    world.run(millis(2500));
    expect_that!(world.violations, is_empty());
    // Once the old head is in reach and has left, nothing is held back.
    world.heal(&members[0]);
    world.heal(&left_over);
    world.run(seconds(4));
    expect_that!(world.serving(), ge(2));
    expect_that!(world.violations, is_empty());
}

/// A spare crashed and started again under another name at its address; its old entry still
/// stands, and the new one is a member of a replica already. The planner asks the old one
/// and hears the new one. The replica must not gain a member by that.
#[gtest]
fn what_another_host_says_at_its_address_is_not_a_hosts_word() {
    let mut world = settled(1, 11);
    let members = world.members("d0", "large");
    let spare = spares(&world)[0].clone();
    world.host(&spare).replaced = true;
    world.host(&spare).answered_by = Some(members[4].clone());
    world.cut_from_list(&spare);
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

/// An order to join doesn't reach its host, and sent again it does. One such order is no
/// reason to give the new replica up: the next one would need a spare that is slower.
#[gtest]
fn one_order_that_reaches_nobody_ends_no_replica() {
    let mut world = settled(1, 11);
    let before = world.planner().formations().map(|f| f.epoch).max();
    let spares = spares(&world);
    for spare in &spares {
        world.cut_from_planners(spare);
    }
    let lost = world.members("d0", "large")[3].clone();
    world.kill(&lost);
    // Its loss is noticed after 500 ms, and the order to join sent at once.
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

/// Hosts that hold the large model's weights wait for the one that still loads them. Meanwhile
/// the domain's small replica is given up for a moment, and its members have yet to leave. Told to
/// load the small model in that moment, the waiting hosts lose the weights that they hold, and
/// the large model is away for another 16 s.
#[gtest]
fn hosts_that_wait_load_nothing_while_members_of_a_lost_replica_leave() {
    let mut world = settled(2, 11);
    for spare in spares(&world) {
        world.kill(&spare);
    }
    // One large replica and one small one are left, so that the small model lacks more.
    let lost = world.members("d0", "large")[3].clone();
    let also_lost = world.members("d1", "small")[1].clone();
    world.kill(&lost);
    world.kill(&also_lost);
    world.run(seconds(4));
    let fresh = world.add_host("d0");
    world.run(seconds(4));
    expect_that!(world.serving(), eq(2));
    let small = world.members("d0", "small");
    world.give_up(&small[0]);
    world.run(seconds(2));
    expect_that!(world.members("d0", "small"), eq(&small));
    world.run(seconds(16));
    expect_that!(world.members("d0", "large"), contains(eq(&fresh)));
    expect_that!(world.violations, is_empty());
}
