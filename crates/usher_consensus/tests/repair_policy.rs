//! Decisions of the repair policy for single views of the group.

use std::time;

use usher_consensus::{MembershipChange, NodeId, RepairMember, RepairPolicy, RepairView};
use usher_wire::message;

const NOW: time::Duration = time::Duration::ZERO;
const LOST: time::Duration = time::Duration::from_secs(60);

/// Returns a node of incarnation 1; `place` is `region/domain`.
fn node(name: &str, place: &str, voter: bool, silent: time::Duration) -> RepairMember {
    let (region, domain) = place.split_once('/').unwrap();
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
        node("a", "south/1", true, NOW),
        node("b", "south/2", true, NOW),
        node("c", "north/3", true, silent),
    ]
}

fn with(mut members: Vec<RepairMember>, more: Vec<RepairMember>) -> Vec<RepairMember> {
    members.extend(more);
    members
}

usher_types::cases! { check:
    /// Guards against changes to a healthy group.
    healthy_group_is_unchanged(three(NOW), vec![], None);
    /// Guards against a repair after a short silence, such as a restart.
    short_silence_is_no_loss(
        with(three(time::Duration::from_secs(5)), vec![node("d", "north/4", false, NOW)]),
        vec![], None);
    /// Guards against a spare that starts to catch up only when it is needed.
    spare_becomes_a_learner(three(NOW), vec![node("d", "west/4", false, NOW)], Some("add d#1"));
    /// Guards against adding a spare that is lost.
    silent_spare_is_not_added(three(NOW), vec![node("d", "west/4", false, LOST)], None);
    /// Guards against removing a silent voter, which may come back, before it is replaced.
    learner_is_promoted_before_the_removal(
        with(three(LOST), vec![node("d", "north/4", false, NOW)]), vec![], Some("promote d#1"));
    /// Guards against a replacement in a failure domain or region that already has a voter.
    replacement_is_spread_over_domains_and_regions(
        with(three(LOST), vec![
            node("d", "south/1", false, NOW),
            node("e", "south/5", false, NOW),
            node("f", "north/6", false, NOW),
        ]),
        vec![], Some("promote f#1"));
    /// Guards against keeping a fourth voter.
    lost_voter_is_removed_after_the_promotion(
        with(three(LOST), vec![node("d", "north/4", true, NOW)]), vec![], Some("remove c#1"));
    /// Guards against an even number of voters after a replaced voter comes back.
    extra_voter_in_the_most_crowded_location_is_removed(
        with(three(NOW), vec![node("d", "north/3", true, NOW)]), vec![], Some("remove c#1"));
    /// Guards against promoting a learner while a voter whose disk is known to be lost remains.
    voter_with_a_new_disk_is_removed_first(
        with(three(LOST), vec![node("d", "north/4", false, NOW)]),
        vec![replaced(node("c", "north/3", false, NOW))], Some("remove c#1"));
    /// Guards against keeping a lost learner as a member.
    lost_learner_is_removed(
        with(three(NOW), vec![node("d", "north/4", false, LOST)]), vec![], Some("remove d#1"));
}

/// Guards against promoting a learner that has only just been added.
#[test]
fn learner_that_is_behind_is_not_promoted() {
    let mut learner = node("d", "north/4", false, NOW);
    learner.caught_up = false;
    check(with(three(LOST), vec![learner]), vec![], None);
}
