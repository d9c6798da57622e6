//! Sequences of events that random schedules rarely produce, run step by step.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod simulation;

use bn_quorum::{
    Entry, Error, Kind, Member, Members, Message, Payload, Replica, ReplicaConfig, Restored, Role,
    Snapshot, Timing,
};
use googletest::prelude::*;
use simulation::{Action, Simulation};
use std::time::Duration;

/// A simulation with a leader, the leader, and the other two replicas.
fn with_leader() -> (Simulation, usize, [usize; 2]) {
    let mut sim = Simulation::new(7);
    sim.run(300).unwrap();
    let leader = sim.leader().unwrap();
    (sim, leader, [(leader + 1) % 3, (leader + 2) % 3])
}

/// Guards against 1.5 s without service after all processes were killed: three replicas that start
/// at once wait as long as for a failed leader, and longer after a pre-vote that came too early for
/// the others, although none of them has a leader to wait for.
#[gtest]
fn replicas_that_start_together_soon_have_a_leader() {
    for seed in 0..40 {
        let mut sim = Simulation::new(seed);
        sim.run(300).unwrap();
        for i in 0..3 {
            sim.apply(&Action::Crash(i, false)).unwrap();
        }
        for i in 0..3 {
            sim.apply(&Action::Start(i)).unwrap();
            sim.run(5).unwrap();
        }

        let steps = (0..300).take_while(|_| sim.leader().is_none() && sim.run(1).is_ok());

        // In steps of 10 ms, with clocks up to 8 % fast or slow, so up to 16 % apart.
        expect_that!(steps.count(), le(90), "seed {seed}");
    }
}

/// Guards against the loss of acknowledged commands in a second loss right after a repair. One
/// follower is partitioned, so the commands are on the leader and the other follower; that
/// follower's disk is emptied and repaired; then the leader's disk is lost. The cause would be that
/// the repaired replica counts before it has synced everything.
#[gtest]
fn a_second_loss_right_after_a_repair_loses_nothing() {
    for commands in [1, 600] {
        let (mut sim, leader, [behind, emptied]) = with_leader();
        sim.apply(&Action::Isolate(behind)).unwrap();
        for _ in 0..commands {
            sim.propose().unwrap();
        }
        sim.run(20).unwrap();
        sim.wipe_disk(emptied);
        let steps = (0..2000)
            .take_while(|_| !sim.repaired() && sim.run(1).is_ok())
            .count();
        // With one follower partitioned nothing may be acknowledged; the repair waits for it.
        expect_that!(steps, eq(2000));
        sim.apply(&Action::Heal).unwrap();
        while !sim.repaired() {
            sim.run(1).unwrap();
        }

        let acked = sim.acked();
        expect_that!(sim.replica(emptied).last_index(), ge(acked));
        sim.wipe_disk(leader);

        expect_that!(sim.settle(), ok(anything()), "{commands} commands");
    }
}

/// Guards against a system that starts without its configuration and accepts commands: two of three
/// disks are lost at once, more than can be survived, and their replicas start with empty disks
/// while the third is down. The cause would be that they create a new log.
#[gtest]
fn two_empty_disks_never_form_a_new_log() {
    let (mut sim, leader, [a, b]) = with_leader();
    sim.apply(&Action::Crash(leader, false)).unwrap();
    sim.wipe_disk(a);
    sim.wipe_disk(b);

    sim.run(3000).unwrap();

    expect_that!(sim.leader(), none());
    sim.apply(&Action::Start(leader)).unwrap();
    sim.run(3000).unwrap();
    expect_that!(sim.replica(a).commit(), le(sim.acked()));
    expect_that!(sim.leader(), none());
}

/// Guards against two leaders with a lease at once. One follower gets no messages from the leader
/// and requests votes; the other one, which has just answered the leader, restarts and gets the
/// request first. The cause would be that it has forgotten its answer and votes at once.
#[gtest]
fn a_restarted_voter_waits_out_the_lease_it_may_have_answered() {
    let (mut sim, leader, [cut_off, restarting]) = with_leader();
    sim.apply(&Action::PartitionPair(leader, cut_off)).unwrap();
    sim.run(60).unwrap();
    for steps in 0..300 {
        sim.run(5 + steps % 13).unwrap();
        sim.apply(&Action::Crash(restarting, false)).unwrap();
        sim.apply(&Action::Start(restarting)).unwrap();
    }
}

/// Guards against two majorities that do not overlap: a member is removed and another added before
/// the first change is committed. The cause would be that changes are not made one at a time.
#[gtest]
fn a_second_change_of_members_waits_for_the_first() {
    let (mut sim, leader, [a, b]) = with_leader();
    sim.apply(&Action::Isolate(leader)).unwrap();
    let name = |i: usize| format!("c{i}");

    let first = sim.replica(leader).remove(&name(a));
    let second = sim.replica(leader).remove(&name(b));

    expect_that!(first, ok(anything()));
    expect_that!(second, err(eq(&Error::ChangeUnderWay)));
}

/// A replica `a` with identity 1 among the voters `a`, `bb` and `ccc`, at a time long after 0.
fn replica_of_three(identities: [u64; 3], restored: Restored) -> (Replica, Duration) {
    replica_among(&["a", "bb", "ccc"], &identities, restored)
}

fn replica_among(names: &[&str], identities: &[u64], restored: Restored) -> (Replica, Duration) {
    let member = |(n, identity): (&&str, &u64)| {
        let member = Member {
            identity: *identity,
            address: n.to_string(),
            voter: true,
        };
        (n.to_string(), member)
    };
    let config = ReplicaConfig {
        id: "a".into(),
        identity: 1,
        initial_members: Members::new(names.iter().zip(identities).map(member).collect(), 0),
        timing: Timing::default(),
        seed: 1,
    };
    let now = Duration::from_secs(1_000);
    (Replica::new(config, restored, now), now)
}

fn receive(replica: &mut Replica, now: Duration, from: (&str, u64), term: u64, kind: Kind) {
    let (from, identity) = from;
    let message = Message {
        term,
        identity,
        kind,
    };
    replica.receive(now, from, message);
}

/// Grants the replica's pre-vote and then its vote in the term after its own.
fn grant_votes(replica: &mut Replica, now: Duration, from: (&str, u64), term: u64) {
    for pre_vote in [true, false] {
        let kind = Kind::VoteResponse {
            pre_vote,
            granted: true,
        };
        receive(replica, now, from, term, kind);
    }
}

/// A leader `a` in term 1 at the returned time, with an entry of its term committed.
fn leader_of_three() -> (Replica, Duration) {
    let (mut leader, start) = replica_of_three([1, 2, 3], Restored::default());
    let now = start + Duration::from_secs(2);
    leader.tick(now);
    grant_votes(&mut leader, now, ("bb", 2), 1);
    for from in [("bb", 2), ("ccc", 3)] {
        receive(&mut leader, now, from, 1, accepted(1, 1));
    }
    assert_eq!((leader.role(), leader.commit()), (Role::Leader, 1));
    (leader, now)
}

/// A replica `a` among four voters.
fn replica_of_four() -> (Replica, Duration) {
    replica_among(
        &["a", "bb", "ccc", "dddd"],
        &[1, 2, 3, 4],
        Restored::default(),
    )
}

/// Lets a replica start a campaign, in which these vote for it.
fn campaign(replica: &mut Replica, now: &mut Duration, voters: &[(&str, u64)]) {
    *now += Timing::default().election * 3;
    replica.tick(*now);
    let term = replica.term() + 1;
    for pre_vote in [true, false] {
        let kind = Kind::VoteResponse {
            pre_vote,
            granted: true,
        };
        for voter in voters {
            receive(replica, *now, *voter, term, kind.clone());
        }
    }
}

fn accepted(index: u64, round: u64) -> Kind {
    Kind::AppendResponse {
        accepted: true,
        index,
        round,
    }
}

fn granted_vote(replica: &mut Replica) -> bool {
    let messages = replica.take_output().messages;
    let granted = |(_, m): &(String, Message)| matches!(m.kind, Kind::VoteResponse { granted, .. } if granted);
    messages.iter().any(granted)
}

/// Guards against two leaders with a lease at once: a voter that answered a leader and restarted
/// right after that votes for another replica while the lease that it answered may be valid.
#[gtest]
fn a_restarted_voter_grants_no_vote_within_a_lease() {
    let (mut voter, start) = replica_of_three([1, 2, 3], Restored::default());
    let lease = Timing::default().lease;
    let mut ask = |now, pre_vote| {
        let kind = Kind::VoteRequest {
            pre_vote,
            last_index: 9,
            last_term: 9,
        };
        receive(&mut voter, now, ("bb", 2), 10, kind);
        granted_vote(&mut voter)
    };

    let early: Vec<bool> = [Duration::ZERO, lease / 2, lease]
        .iter()
        .flat_map(|after| [ask(start + *after, true), ask(start + *after, false)])
        .collect();
    let later = start + lease * 2;

    expect_that!(early, each(eq(&false)));
    expect_that!([ask(later, true), ask(later, false)], eq([true, true]));
}

/// Guards against a second log beside the surviving one: two of three replicas start with empty
/// disks and the same initial members, and their two votes are taken for a majority although they
/// cannot know what the third has.
#[gtest]
fn a_new_log_needs_the_votes_of_all_initial_members() {
    let (mut replica, start) = replica_of_three([0, 0, 0], Restored::default());
    let now = start + Duration::from_secs(2);
    replica.tick(now);
    let mut role_after = |from, pre_vote| {
        let kind = Kind::VoteResponse {
            pre_vote,
            granted: true,
        };
        receive(&mut replica, now, from, 1, kind);
        replica.role()
    };

    let pre_votes = [("bb", 2), ("ccc", 3)].map(|from| role_after(from, true));
    let votes = [("bb", 2), ("ccc", 3)].map(|from| role_after(from, false));

    expect_that!(pre_votes, eq([Role::Trial, Role::Candidate]));
    expect_that!(votes, eq([Role::Candidate, Role::Leader]));
}

/// Guards against the loss of acknowledged commands: a voter whose disk was emptied counts towards
/// commits again before it has synced the entries that were acknowledged with its old disk.
#[gtest]
fn a_learner_votes_only_once_it_has_synced_everything() {
    let (mut leader, mut now) = leader_of_three();
    leader.demote("ccc").unwrap();
    receive(&mut leader, now, ("bb", 2), 1, accepted(2, 1));
    let index = leader.propose(vec![1]).unwrap();
    receive(&mut leader, now, ("bb", 2), 1, accepted(index, 1));
    assert_eq!(leader.commit(), index);
    // The change is confirmed by an entry of its own.
    now += Timing::default().heartbeat;
    leader.tick(now);
    let index = leader.last_index();
    receive(&mut leader, now, ("bb", 2), 1, accepted(index, 2));
    assert_eq!(leader.commit(), index);
    let mut votes_after = |synced, round| {
        receive(&mut leader, now, ("ccc", 33), 1, accepted(synced, round));
        now += Timing::default().heartbeat;
        leader.tick(now);
        leader.members()["ccc"].voter
    };

    let votes = [
        votes_after(1, 2),
        votes_after(index - 1, 3),
        votes_after(index, 4),
    ];

    expect_that!(votes, eq([false, false, true]));
}

/// Guards against two quorums of four voters that share none, each of which leaves out the voter
/// that the other one counts: `bb` acknowledged, then lost its disk, too. With one voter known to be
/// lost, an acknowledgement counts only if its sender has answered since.
#[gtest]
fn with_a_lost_voter_only_later_answers_count() {
    let (mut leader, mut now) = replica_of_four();
    campaign(&mut leader, &mut now, &[("bb", 2), ("ccc", 3)]);
    assert_eq!(leader.role(), Role::Leader);

    receive(&mut leader, now, ("bb", 2), 1, accepted(1, 1));
    receive(&mut leader, now, ("ccc", 33), 1, accepted(0, 1));
    let before = leader.commit();
    now += Timing::default().heartbeat;
    leader.tick(now);
    receive(&mut leader, now, ("bb", 2), 1, accepted(1, 2));

    expect_that!((before, leader.commit()), eq((0, 1)));
}

/// The same in an election: votes of the term in which the loss is learned may be older than it.
#[gtest]
fn with_a_lost_voter_only_votes_of_a_later_term_count() {
    let (mut replica, mut now) = replica_of_four();
    let mut role_after_votes = || {
        campaign(&mut replica, &mut now, &[("bb", 2), ("ccc", 33)]);
        replica.role()
    };

    let roles = [role_after_votes(), role_after_votes()];

    expect_that!(roles, eq([Role::Candidate, Role::Leader]));
}

/// Guards against a voter that is taken for lost while it votes, so that two quorums share none: an
/// answer under its earlier identity, from before its disk was emptied, arrives after the leader has
/// recorded the new one.
#[gtest]
fn a_late_answer_under_an_earlier_identity_shows_no_loss() {
    let (mut leader, start) = leader_of_three();
    let time = |round: u64| start + Timing::default().heartbeat * round as u32;
    let answer = |leader: &mut Replica, round: u64, voters: &[(&str, u64)]| {
        for voter in voters {
            let last = leader.last_index();
            receive(leader, time(round), *voter, 1, accepted(last, round));
        }
        leader.tick(time(round));
    };
    leader.demote("ccc").unwrap();
    (1..4).for_each(|round| answer(&mut leader, round, &[("bb", 2), ("ccc", 33)]));
    assert!(leader.members()["ccc"].voter);
    leader.add_learner("dddd", "dddd").unwrap();
    let all = [("bb", 2), ("ccc", 33), ("dddd", 4)];
    (4..8).for_each(|round| answer(&mut leader, round, &all));
    assert!(leader.members()["dddd"].voter);

    receive(&mut leader, time(8), ("ccc", 3), 1, accepted(1, 1));
    let index = leader.propose(vec![1]).unwrap();
    (9..11).for_each(|round| leader.tick(time(round)));
    receive(&mut leader, time(10), ("bb", 2), 1, accepted(index, 10));

    expect_that!(leader.commit(), lt(index));
}

/// Guards against grants by two leaders: a leader that no majority answers any more takes its lease
/// for valid, and continues to lead.
#[gtest]
fn a_leader_without_answers_loses_its_lease_and_steps_down() {
    let (mut leader, start) = leader_of_three();
    let timing = Timing::default();

    let before = leader.holds_lease(start + timing.lease / 2);
    let after = leader.holds_lease(start + timing.lease);
    let steps = (1..=20).map(|n| start + timing.heartbeat * n);
    steps.for_each(|now| leader.tick(now));

    expect_that!((before, after), eq((true, false)));
    expect_that!(leader.role(), not(eq(Role::Leader)));
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: Payload::Command(vec![term as u8]),
    }
}

/// Guards against the replacement of a committed command. A leader of term 4 finds an entry of term
/// 2 on a majority, but a replica with an entry of term 3 could still win an election and replace
/// it. The cause would be that entries of earlier terms are committed by counting.
#[gtest]
fn an_entry_of_an_older_term_is_not_committed_by_counting() {
    let member = |n: &str| {
        (
            n.to_string(),
            Member {
                identity: n.len() as u64,
                address: n.into(),
                voter: true,
            },
        )
    };
    let members = Members::new(["a", "bb", "ccc"].map(member).into_iter().collect(), 0);
    let config = ReplicaConfig {
        id: "a".into(),
        identity: 1,
        initial_members: members,
        timing: Timing::default(),
        seed: 1,
    };
    let mut restored = Restored {
        entries: vec![entry(1, 1), entry(2, 2)],
        ..Restored::default()
    };
    restored.hard.term = 3;
    let mut leader = Replica::new(config, restored, Duration::ZERO);
    let mut now = Duration::from_secs(2);
    leader.tick(now);
    for pre_vote in [true, false] {
        let kind = Kind::VoteResponse {
            pre_vote,
            granted: true,
        };
        leader.receive(
            now,
            "bb",
            Message {
                term: 4,
                identity: 2,
                kind,
            },
        );
    }
    expect_that!(leader.role(), eq(Role::Leader));
    now += Duration::from_millis(10);

    let answer = |index| Kind::AppendResponse {
        accepted: true,
        index,
        round: 1,
    };
    leader.receive(
        now,
        "bb",
        Message {
            term: 4,
            identity: 2,
            kind: answer(2),
        },
    );
    expect_that!(leader.commit(), eq(0));

    leader.receive(
        now,
        "bb",
        Message {
            term: 4,
            identity: 2,
            kind: answer(3),
        },
    );
    expect_that!(leader.commit(), eq(3));
}

/// Guards against the loss of acknowledged commands: a replica restarts, and before it learns again
/// what is committed it gets a snapshot that covers only a part of its log. The entries after that,
/// which it had acknowledged, were discarded.
#[gtest]
fn a_snapshot_of_known_entries_discards_none_after_it() {
    let restored = Restored {
        entries: (1..=5).map(|index| entry(index, 1)).collect(),
        ..Restored::default()
    };
    let (mut replica, now) = replica_of_three([1, 2, 3], restored);
    let snapshot = Snapshot {
        index: 3,
        term: 1,
        ..Snapshot::default()
    };

    receive(&mut replica, now, ("bb", 2), 1, Kind::Snapshot(snapshot));
    let out = replica.take_output();

    expect_that!((replica.last_index(), replica.commit()), eq((5, 3)));
    expect_that!((out.snapshot.is_none(), out.committed.len()), eq((true, 3)));
}
