//! Decisions of the repair policy for single views of the group.

use std::time;

use usher_consensus::{MembershipChange, NodeId, RepairMember, RepairPolicy, RepairView};
use usher_wire::message;

/// Silence of a node that has just sent a message.
const NO_SILENCE: time::Duration = time::Duration::ZERO;
/// Silence of a lost node; longer than the default `lost_after` of 15 s.
const LONG_SILENCE: time::Duration = time::Duration::from_secs(60);

/// Returns a node of incarnation 1; `location` is `region/domain`.
fn node(name: &str, location: &str, voter: bool, silent: time::Duration) -> RepairMember {
    let (region, domain) = location.split_once('/').unwrap();
    let node = NodeId::new(name, 1);
    RepairMember {
        member: message::Member {
            identity: Some(node.to_message()),
            region: region.to_owned(),
            domain: domain.to_owned(),
            voter,
            ..Default::default()
        },
        node,
        silent,
        caught_up: true,
    }
}

/// Returns the member under a new incarnation, as after the loss of its disk.
fn replaced(mut member: RepairMember) -> RepairMember {
    member.node.incarnation = usher_types::IncarnationId::new(2);
    member.member.identity = Some(member.node.to_message());
    member
}

fn check(members: Vec<RepairMember>, spares: Vec<RepairMember>, expected: Option<&str>) {
    let leader = members[0].node.clone();
    let view = RepairView {
        leader,
        members,
        spares,
    };
    let step = RepairPolicy::default()
        .decide(&view)
        .map(|change| match change {
            MembershipChange::AddLearner(member) => {
                format!("add {}", NodeId::from_message(member.identity.as_ref()))
            }
            MembershipChange::Promote(node) => format!("promote {node}"),
            MembershipChange::Remove(node) => format!("remove {node}"),
        });
    assert_eq!(step.as_deref(), expected);
}

/// Returns three voters in two regions, the last one silent for the given time.
fn three(silent: time::Duration) -> Vec<RepairMember> {
    vec![
        node("a", "south/1", true, NO_SILENCE),
        node("b", "south/2", true, NO_SILENCE),
        node("c", "north/3", true, silent),
    ]
}

fn with(mut members: Vec<RepairMember>, more: Vec<RepairMember>) -> Vec<RepairMember> {
    members.extend(more);
    members
}

usher_types::cases! { check:
    /// Guards against changes to a healthy group.
    healthy_group_is_unchanged(three(NO_SILENCE), vec![], None);
    /// Guards against a repair after a short silence, such as a restart.
    short_silence_is_no_loss(
        with(three(time::Duration::from_secs(5)), vec![node("d", "north/4", false, NO_SILENCE)]),
        vec![], None);
    /// Guards against a spare that starts to catch up only when it is needed.
    spare_becomes_a_learner(
        three(NO_SILENCE), vec![node("d", "west/4", false, NO_SILENCE)], Some("add d#1"));
    /// Guards against adding a spare that is lost.
    silent_spare_is_not_added(
        three(NO_SILENCE), vec![node("d", "west/4", false, LONG_SILENCE)], None);
    /// Guards against removing a silent voter, which may come back, before it is replaced.
    learner_is_promoted_before_the_removal(
        with(three(LONG_SILENCE), vec![node("d", "north/4", false, NO_SILENCE)]),
        vec![], Some("promote d#1"));
    /// Guards against a replacement in a failure domain or region that already has a voter.
    replacement_is_spread_over_domains_and_regions(
        with(three(LONG_SILENCE), vec![
            node("d", "south/1", false, NO_SILENCE),
            node("e", "south/5", false, NO_SILENCE),
            node("f", "north/6", false, NO_SILENCE),
        ]),
        vec![], Some("promote f#1"));
    /// Guards against keeping a fourth voter.
    lost_voter_is_removed_after_the_promotion(
        with(three(LONG_SILENCE), vec![node("d", "north/4", true, NO_SILENCE)]),
        vec![], Some("remove c#1"));
    /// Guards against an even number of voters after a replaced voter comes back.
    extra_voter_in_the_most_crowded_location_is_removed(
        with(three(NO_SILENCE), vec![node("d", "north/3", true, NO_SILENCE)]),
        vec![], Some("remove c#1"));
    /// Guards against promoting a learner while a voter whose disk is known to be lost remains.
    voter_with_a_new_disk_is_removed_first(
        with(three(LONG_SILENCE), vec![node("d", "north/4", false, NO_SILENCE)]),
        vec![replaced(node("c", "north/3", false, NO_SILENCE))], Some("remove c#1"));
    /// Guards against keeping a lost learner as a member.
    lost_learner_is_removed(
        with(three(NO_SILENCE), vec![node("d", "north/4", false, LONG_SILENCE)]),
        vec![], Some("remove d#1"));
}

/// Guards against promoting a learner that has only just been added.
#[test]
fn learner_that_is_behind_is_not_promoted() {
    let mut learner = node("d", "north/4", false, NO_SILENCE);
    learner.caught_up = false;
    check(with(three(LONG_SILENCE), vec![learner]), vec![], None);
}
