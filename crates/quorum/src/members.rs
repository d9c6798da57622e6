//! Who counts: majorities over members whose identity is known.

use crate::model::{Index, Member, MemberId, Members};
use crate::{Error, Result};

/// How many voters must agree. While a voter's identity is unknown the log was
/// just formed, and all must agree: otherwise two replicas whose disks were both
/// emptied could form a new log beside the surviving one and forget what it holds.
pub(crate) fn needed(members: &Members) -> usize {
    let voters = members.values().filter(|m| m.voter);
    let unknown = voters.clone().any(|m| m.identity == 0);
    let count = voters.count();
    if unknown { count } else { count / 2 + 1 }
}

/// The message's sender is the member it claims to be. An instance that came back
/// with an empty disk has forgotten its votes and entries, so nothing it grants
/// may count under the old identity.
pub(crate) fn genuine(members: &Members, id: &str, identity: u64) -> bool {
    members
        .get(id)
        .is_some_and(|m| m.identity == 0 || m.identity == identity)
}

/// The highest value that enough voters have reached.
pub(crate) fn reached(members: &Members, value: impl Fn(&MemberId) -> u64) -> u64 {
    let voters = members.iter().filter(|(_, m)| m.voter);
    let mut values: Vec<u64> = voters.map(|(id, _)| value(id)).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values
        .get(needed(members).saturating_sub(1))
        .copied()
        .unwrap_or(0)
}

/// The members with one more, which only learns at first.
pub(crate) fn with_learner(members: &Members, id: &str, address: &str) -> Result<Members> {
    if members.contains_key(id) {
        return Err(Error::Member {
            reason: format!("{id} is a member already"),
        });
    }
    let mut next = members.clone();
    next.insert(
        id.into(),
        Member {
            identity: 0,
            address: address.into(),
            voter: false,
        },
    );
    Ok(next)
}

/// The members with a voter as a learner whose identity is not known.
pub(crate) fn with_demoted(members: &Members, id: &str) -> Result<Members> {
    let mut next = members.clone();
    let member = next.get_mut(id).filter(|m| m.voter);
    let Some(member) = member else {
        return Err(Error::Member {
            reason: format!("{id} is no voter"),
        });
    };
    (member.voter, member.identity) = (false, 0);
    with_a_voter(next)
}

/// The members without one.
pub(crate) fn without(members: &Members, id: &str) -> Result<Members> {
    let mut next = members.clone();
    if next.shift_remove(id).is_none() {
        return Err(Error::Member {
            reason: format!("{id} is no member"),
        });
    }
    with_a_voter(next)
}

fn with_a_voter(members: Members) -> Result<Members> {
    if !members.values().any(|m| m.voter) {
        return Err(Error::Member {
            reason: "the last voter stays".into(),
        });
    }
    Ok(members)
}

/// How far a member is, for the leader's tables.
#[derive(Debug, Clone, Default)]
pub(crate) struct Progress {
    /// Last index known to be synced there.
    pub(crate) matched: Index,
    /// Next index to send.
    pub(crate) next: Index,
    /// Identity seen in its last answer.
    pub(crate) identity: u64,
    /// Latest lease round it answered.
    pub(crate) round: u64,
    /// Latest round it answered under any identity.
    pub(crate) answered: u64,
    /// Matched at the last heartbeat, to notice lost messages.
    pub(crate) before: Index,
    /// Rounds without progress although something is out.
    pub(crate) stuck: u64,
    /// Round of the last snapshot sent.
    pub(crate) snapshot: Option<u64>,
}
