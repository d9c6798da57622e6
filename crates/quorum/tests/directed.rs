//! Sequences that random schedules hardly ever meet, played step by step.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod simulation;

use bn_quorum::{
    Entry, Error, Kind, Member, Members, Message, Payload, Quorum, Restored, Role, Setup, Timing,
};
use googletest::prelude::*;
use simulation::{Action, World};
use std::time::Duration;

/// A world with a leader; returns it and the other two.
fn formed() -> (World, usize, [usize; 2]) {
    let mut world = World::new(7);
    world.run(300).unwrap();
    let leader = world.leader().unwrap();
    (world, leader, [(leader + 1) % 3, (leader + 2) % 3])
}

/// Symptom: for a second and a half after all processes were killed no caller is served. Sequence:
/// three replicas start at once, wait for as long as for a leader that fell silent, and longer
/// after a trial that came too early for the others. Cause: none of them has a leader to wait for.
#[gtest]
fn replicas_that_start_together_soon_have_a_leader() {
    for seed in 0..40 {
        let mut world = World::new(seed);
        world.run(300).unwrap();
        for i in 0..3 {
            world.act(&Action::Crash(i, false)).unwrap();
        }
        for i in 0..3 {
            world.act(&Action::Start(i)).unwrap();
            world.run(5).unwrap();
        }

        let steps = (0..300).take_while(|_| world.leader().is_none() && world.run(1).is_ok());

        // In steps of 10 ms; clocks run 8 in 100 apart.
        expect_that!(steps.count(), le(90), "seed {seed}");
    }
}

/// Symptom: acknowledged commands are gone after a second loss right after a repair.
/// Sequence: one follower is cut off, so commands are on the leader and the other one;
/// that one's disk is emptied and repaired; then the leader's disk is lost. Cause: the
/// repaired one counts before it has synced everything.
#[gtest]
fn a_second_loss_right_after_a_repair_loses_nothing() {
    for commands in [1, 600] {
        let (mut world, leader, [behind, emptied]) = formed();
        world.act(&Action::Cut(behind)).unwrap();
        for _ in 0..commands {
            world.propose().unwrap();
        }
        world.run(20).unwrap();
        world.empty(emptied);
        let steps = (0..2000)
            .take_while(|_| !world.repaired() && world.run(1).is_ok())
            .count();
        // With one follower cut off nothing may be promised; the repair waits for it.
        expect_that!(steps, eq(2000));
        world.act(&Action::Heal).unwrap();
        while !world.repaired() {
            world.run(1).unwrap();
        }

        let acked = world.acked();
        expect_that!(world.replica(emptied).last_index(), ge(acked));
        world.empty(leader);

        expect_that!(world.settle(), ok(anything()), "{commands} commands");
    }
}

/// Symptom: a system wakes up without its configuration and takes commands. Sequence:
/// two of three disks are lost at once, more than can be survived; their empty
/// replicas start while the third is down. Cause: they form a log of their own.
#[gtest]
fn two_empty_disks_never_form_a_new_log() {
    let (mut world, leader, [a, b]) = formed();
    world.act(&Action::Crash(leader, false)).unwrap();
    world.empty(a);
    world.empty(b);

    world.run(3000).unwrap();

    expect_that!(world.leader(), none());
    world.act(&Action::Start(leader)).unwrap();
    world.run(3000).unwrap();
    expect_that!(world.replica(a).commit(), le(world.acked()));
    expect_that!(world.leader(), none());
}

/// Symptom: two leaders hold a lease at once. Sequence: one follower cannot hear the
/// leader and asks for votes; the other one, which had just answered the leader,
/// restarts and is asked first. Cause: it forgot what it answered and votes at once.
#[gtest]
fn a_restarted_voter_waits_out_the_lease_it_may_have_answered() {
    let (mut world, leader, [deaf, restarting]) = formed();
    world.act(&Action::CutPair(leader, deaf)).unwrap();
    world.run(60).unwrap();
    for steps in 0..300 {
        world.run(5 + steps % 13).unwrap();
        world.act(&Action::Crash(restarting, false)).unwrap();
        world.act(&Action::Start(restarting)).unwrap();
    }
}

/// Symptom: two majorities that do not overlap. Sequence: a member is removed and
/// another added before the first change is committed. Cause: changes are not taken
/// one at a time.
#[gtest]
fn a_second_change_of_members_waits_for_the_first() {
    let (mut world, leader, [a, b]) = formed();
    world.act(&Action::Cut(leader)).unwrap();
    let name = |i: usize| format!("c{i}");

    let first = world.replica(leader).remove(&name(a));
    let second = world.replica(leader).remove(&name(b));

    expect_that!(first, ok(anything()));
    expect_that!(second, err(eq(&Error::ChangeUnderWay)));
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        payload: Payload::Command(vec![term as u8]),
    }
}

/// Symptom: a committed command is replaced. Sequence: a leader of term 4 finds an
/// entry of term 2 on a majority; a replica with an entry of term 3 could still win
/// and replace it. Cause: entries of older terms are committed by counting.
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
    let members: Members = ["a", "bb", "ccc"].map(member).into_iter().collect();
    let setup = Setup {
        id: "a".into(),
        identity: 1,
        first: members,
        timing: Timing::default(),
        seed: 1,
    };
    let mut restored = Restored {
        entries: vec![entry(1, 1), entry(2, 2)],
        ..Restored::default()
    };
    restored.hard.term = 3;
    let mut leader = Quorum::new(setup, restored, Duration::ZERO);
    let mut now = Duration::from_secs(2);
    leader.tick(now);
    for trial in [true, false] {
        let kind = Kind::VoteAnswer {
            trial,
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

    let answer = |index| Kind::AppendAnswer {
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
