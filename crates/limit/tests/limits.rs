//! Rates enforced across all entries, and queues that are fair and refuse early.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use bn_limit::{
    Queue, QueuedRequest, RateAllocator, RateGrant, ShareRequest, TokenBuckets, default_share,
};
use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::time::Duration;

const RATE: f64 = 100.0;
const ENTRIES: usize = 6;
const LEASE: Duration = Duration::from_secs(3);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Request with this sequence number, after applying the answer to `applied`.
fn share_request(
    entry: &str,
    demand: f64,
    until: Duration,
    sequence: u64,
    applied: u64,
) -> ShareRequest<'_> {
    ShareRequest {
        account: "a",
        entry,
        demand,
        rate: RATE,
        entries: ENTRIES,
        until,
        sequence,
        applied,
    }
}

/// A request after applying the answer to the one before it.
fn request(entry: &str, demand: f64, until: Duration) -> ShareRequest<'_> {
    let sequence = until.as_millis() as u64;
    share_request(entry, demand, until, sequence, sequence - 1)
}

/// Guards against an account getting more than its rate: demand moves between entries, answers are
/// lost, entries fall silent and return. A share was granted while another entry might still use
/// it.
#[gtest]
fn sum_of_shares_never_exceeds_the_rate() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut allocator = RateAllocator::default();
        // What each entry applies: its share, and until when by its own clock.
        let mut shares: HashMap<usize, (f64, Duration, u64)> = HashMap::new();
        for step in 0..400 {
            let now = ms(step * 100);
            let entry = rng.random_range(0..ENTRIES);
            let name = format!("e{entry}");
            let demand = if rng.random_bool(0.3) {
                0.0
            } else {
                rng.random_range(0.0..150.0)
            };
            let applied = shares.get(&entry).map_or(0, |(_, _, n)| *n);
            let share = allocator.allocate(
                now,
                &share_request(&name, demand, now + LEASE, step + 1, applied),
            );
            if rng.random_bool(0.8) {
                shares.insert(entry, (share, now + LEASE, step + 1));
            }
            let floor = default_share(RATE, ENTRIES);
            let used = |e: usize| match shares.get(&e) {
                Some((share, until, _)) if now < *until => *share,
                _ => floor,
            };
            let sum: f64 = (0..ENTRIES).map(used).sum();
            expect_that!(sum, le(RATE + 1e-6), "seed {seed}, step {step}");
        }
    }
}

/// A busy entry gets what others do not use, within two renewals; a lost entry's share returns when
/// its lease ends.
#[gtest]
fn unused_rate_moves_to_where_demand_is() {
    let mut allocator = RateAllocator::default();
    let mut now = Duration::ZERO;
    for _ in 0..5 {
        for e in 0..ENTRIES {
            allocator.allocate(
                now,
                &request(&format!("e{e}"), RATE / ENTRIES as f64, now + LEASE),
            );
        }
        now += ms(1000);
    }

    // All demand moves to e0; e5 is lost.
    let mut rates = Vec::new();
    for _ in 0..5 {
        for e in 1..ENTRIES - 1 {
            allocator.allocate(now, &request(&format!("e{e}"), 0.0, now + LEASE));
        }
        rates.push(allocator.allocate(now, &request("e0", RATE, now + LEASE)));
        now += ms(1000);
    }

    let floors = default_share(RATE, ENTRIES) * (ENTRIES - 1) as f64;
    expect_that!(rates[1], ge(0.6 * RATE));
    expect_that!(rates[4], near(RATE - floors, 0.5));
}

#[gtest]
fn bucket_admits_its_rate_and_returns_the_wait() {
    let mut buckets = TokenBuckets::default();
    buckets.grant(
        "a",
        RateGrant {
            rate: 50.0,
            until: ms(60_000),
        },
    );
    let mut admitted = 0;
    let mut waits = Vec::new();
    for i in 0..10_000 {
        match buckets.admit(ms(i), "a", 1.0) {
            Ok(()) => admitted += 1,
            Err(wait) => waits.push(wait),
        }
    }

    expect_that!(admitted, all![ge(490), le(515)]);
    expect_that!(waits.iter().max().unwrap(), le(&ms(20)));
}

#[gtest]
fn grant_ends_with_its_lease() {
    let mut buckets = TokenBuckets::default();
    buckets.grant(
        "a",
        RateGrant {
            rate: 1000.0,
            until: ms(1000),
        },
    );
    let count = |b: &mut TokenBuckets, from: u64| {
        (from..from + 1000)
            .filter(|i| b.admit(ms(*i), "a", 10.0).is_ok())
            .count()
    };

    expect_that!(count(&mut buckets, 0), ge(900));
    expect_that!(count(&mut buckets, 2000), le(14));
}

fn queued(id: u64, account: &str, priority: u32, share: u32, deadline: Duration) -> QueuedRequest {
    QueuedRequest {
        id,
        account: account.into(),
        priority,
        share,
        deadline,
    }
}

/// Drains the queue; returns the accounts in the order served.
fn serve(queue: &mut Queue, accounts: &HashMap<u64, String>) -> Vec<String> {
    let mut served = Vec::new();
    while let Some(id) = queue.start_order().first().copied() {
        queue.start(ms(served.len() as u64 * 10), id);
        served.push(accounts[&id].clone());
    }
    served
}

/// Guards against urgent requests waiting behind others, or nine accounts behind one: one account
/// floods the queue, others send little, and some requests are urgent. The queue was first come,
/// first served.
#[gtest]
fn urgent_requests_go_first_and_accounts_share_by_weight() {
    let mut queue = Queue::default();
    let mut accounts = HashMap::new();
    let far = ms(1_000_000);
    for id in 0..400 {
        let (account, priority, share) = match id % 40 {
            0 => ("urgent", 2, 1),
            1..=3 => ("small", 1, 1),
            4..=9 => ("double", 1, 2),
            _ => ("flood", 1, 1),
        };
        accounts.insert(id, account.to_string());
        queue
            .push(ms(0), queued(id, account, priority, share, far), 1000)
            .unwrap();
    }

    let served = serve(&mut queue, &accounts);

    let count = |n: usize, who: &str| served[..n].iter().filter(|a| *a == who).count();
    expect_that!(count(10, "urgent"), eq(10));
    // While all wait, one to one to two.
    expect_that!(count(90, "small"), all![ge(19), le(21)]);
    expect_that!(count(90, "flood"), all![ge(19), le(21)]);
    expect_that!(count(90, "double"), all![ge(39), le(41)]);
}

/// Guards against holding a caller until its deadline before refusing it: more requests arrive than
/// can start. The queue accepted requests that cannot start in time.
#[gtest]
fn requests_that_cannot_start_in_time_are_refused_at_once() {
    let mut queue = Queue::default();
    let mut accounts = HashMap::new();
    for id in 0..200 {
        accounts.insert(id, "a".to_string());
        queue
            .push(ms(0), queued(id, "a", 1, 1, ms(1_000_000)), 1000)
            .unwrap();
    }
    // One start every 10 ms.
    for i in 0..100 {
        let id = queue.start_order()[0];
        queue.start(ms(i * 10), id);
    }

    let soon = queue.push(ms(1000), queued(500, "a", 1, 1, ms(1500)), 1000);
    let later = queue.push(ms(1000), queued(501, "a", 1, 1, ms(4000)), 1000);
    let urgent = queue.push(ms(1000), queued(502, "a", 2, 1, ms(1500)), 1000);
    let full = queue.push(ms(1000), queued(503, "a", 1, 1, ms(9000)), 10);

    let wait = soon.unwrap_err();
    expect_that!(wait, all![ge(ms(800)), le(ms(1200))]);
    expect_that!(later, ok(anything()));
    expect_that!(urgent, ok(anything()));
    expect_that!(full, err(anything()));
}

#[gtest]
fn ended_requests_are_removed_from_the_queue() {
    let mut queue = Queue::default();
    for id in 0..10 {
        queue
            .push(ms(0), queued(id, "a", 1, 1, ms(9000)), 100)
            .unwrap();
    }

    let removed = queue.remove_if(|r| r.id % 2 == 0);

    expect_that!((removed.len(), queue.len()), eq((5, 5)));
}

/// Guards against requests that could be in time waiting behind those that cannot: late ones are
/// queued while there is capacity for the others. Any queued request held back all.
#[googletest::test]
fn less_urgent_requests_do_not_hold_back_others() {
    let mut queue = Queue::default();
    queue
        .push(ms(0), queued(1, "a", 4, 1, ms(900)), 10)
        .unwrap();

    expect_that!(queue.has_at_least(4), eq(true));
    expect_that!(queue.has_at_least(3), eq(true));
    expect_that!(queue.has_at_least(5), eq(false));
}

// Services of one priority must wait and be refused as before there were ranks.
#[googletest::test]
fn the_expected_wait_is_the_requests_ahead_at_the_rate_of_starts() {
    let mut rng = SmallRng::seed_from_u64(11);
    for _ in 0..500 {
        let mut queue = Queue::default();
        let mut model: Vec<(u32, u32)> = Vec::new();
        let mut now = ms(0);
        for _ in 0..rng.random_range(2..60) {
            now += ms(rng.random_range(1..200));
            queue.record_start(now);
        }
        for id in 0..rng.random_range(0..30) {
            let (account, priority) = (rng.random_range(0..4), 18 + rng.random_range(0..2_u32));
            let queued = queued_request(id, account, priority, now + ms(1_000_000));
            let wait = queue.expected_wait(&queued);
            let of = |a, p| model.iter().filter(|q| **q == (a, p)).count() as f64;
            let own = of(account, priority);
            let others = (0..4).filter(|a| *a != account);
            let peers: f64 = others.map(|a| of(a, priority).min(own + 1.0)).sum();
            let higher = model.iter().filter(|(_, p)| *p > priority).count() as f64;
            let rate = queue.start_rate();
            let expected = if rate > 0.0 {
                (own + peers + higher) / rate
            } else {
                0.0
            };
            expect_that!(wait.as_secs_f64(), near(expected, 1e-6));
            queue.push(now, queued, 64).unwrap();
            model.push((account, priority));
        }
    }
}

fn queued_request(id: u64, account: u32, priority: u32, deadline: Duration) -> QueuedRequest {
    QueuedRequest {
        id,
        account: account.to_string(),
        priority,
        share: 1,
        deadline,
    }
}
