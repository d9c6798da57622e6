//! Quorums over members with a known identity, and edits of the member list.

use crate::model::{Index, Member, MemberId, Members};
use crate::{Error, Result};

/// Number of voters that must agree. While a voter's identity is unknown, the log has just been
/// created and all must agree: otherwise two replicas that both lost their disks could create a new
/// log beside the surviving one and lose its entries.
pub(crate) fn quorum_size(members: &Members) -> usize {
    let voters = members.values().filter(|m| m.voter);
    let unknown = voters.clone().any(|m| m.identity == 0);
    let count = voters.count();
    if unknown { count } else { count / 2 + 1 }
}

/// Whether the sender of a message is the member it claims to be. An instance that restarted with
/// an empty disk has lost its votes and entries, so nothing it grants may count under the old
/// identity.
pub(crate) fn identity_matches(members: &Members, id: &str, identity: u64) -> bool {
    members
        .get(id)
        .is_some_and(|m| m.identity == 0 || m.identity == identity)
}

/// The highest value that a quorum of voters has reached.
pub(crate) fn quorum_value(members: &Members, value: impl Fn(&MemberId) -> u64) -> u64 {
    let voters = members.iter().filter(|(_, m)| m.voter);
    let mut values: Vec<u64> = voters.map(|(id, _)| value(id)).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values
        .get(quorum_size(members).saturating_sub(1))
        .copied()
        .unwrap_or(0)
}

/// The members with a learner added.
pub(crate) fn with_learner(members: &Members, id: &str, address: &str) -> Result<Members> {
    if members.contains_key(id) {
        return Err(Error::Member {
            reason: format!("{id} is already a member"),
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

/// The members with a voter turned into a learner of unknown identity.
pub(crate) fn with_demoted(members: &Members, id: &str) -> Result<Members> {
    let mut next = members.clone();
    let member = next.get_mut(id).filter(|m| m.voter);
    let Some(member) = member else {
        return Err(Error::Member {
            reason: format!("{id} is not a voter"),
        });
    };
    (member.voter, member.identity) = (false, 0);
    require_voter(next)
}

/// The members without `id`.
pub(crate) fn without(members: &Members, id: &str) -> Result<Members> {
    let mut next = members.clone();
    if next.shift_remove(id).is_none() {
        return Err(Error::Member {
            reason: format!("{id} is not a member"),
        });
    }
    require_voter(next)
}

fn require_voter(members: Members) -> Result<Members> {
    if !members.values().any(|m| m.voter) {
        return Err(Error::Member {
            reason: "the last voter cannot be removed or demoted".into(),
        });
    }
    Ok(members)
}

/// Replication progress of a member, as tracked by the leader.
#[derive(Debug, Clone, Default)]
pub(crate) struct Progress {
    /// Last index known to be synced there.
    pub(crate) matched: Index,
    /// Next index to send.
    pub(crate) next: Index,
    /// Identity in its last response.
    pub(crate) identity: u64,
    /// Latest lease round it answered under a matching identity.
    pub(crate) valid_round: u64,
    /// Latest round it answered under any identity.
    pub(crate) latest_round: u64,
    /// `matched` at the last heartbeat, to detect lost messages.
    pub(crate) prev_matched: Index,
    /// Rounds without progress while entries are in flight.
    pub(crate) stalled: u64,
    /// Round of the last snapshot sent.
    pub(crate) snapshot_round: Option<u64>,
}
