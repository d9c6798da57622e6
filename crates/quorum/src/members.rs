//! Quorums over members with a known identity, and edits of the member list.

use crate::model::{Identity, Index, Member, MemberId, Members};
use crate::{Error, Result};
use indexmap::IndexMap;

/// Whether the identities of all voters are known.
pub(crate) fn voters_identified(members: &Members) -> bool {
    !members.values().any(|m| m.voter && m.identity == 0)
}

/// Whether two lists have the same quorums: the same voters, under the same identities.
pub(crate) fn same_quorums(a: &Members, b: &Members) -> bool {
    let voters = |members: &Members| {
        let voters = members.iter().filter(|(_, m)| m.voter);
        let identities = voters.map(|(id, m)| (id.clone(), m.identity));
        identities.collect::<IndexMap<_, _>>()
    };
    a.losses == b.losses && voters(a) == voters(b)
}

/// Number of voters that must agree. While a voter's identity is unknown, the log has just been
/// created and all must agree: otherwise two replicas that both lost their disks could create a new
/// log beside the surviving one and lose its entries.
///
/// With `n` losses to be tolerated 2n + 1 vote, and up to as many more as there are instances with
/// a successor. Those may end at once without notice, just before `n` disks are lost: n + 1 of all are
/// left then, and must have what a quorum had. With more than n of them this cannot be had: any n + 1
/// would have to be a quorum without the others.
pub(crate) fn quorum_size(members: &Members) -> usize {
    let count = members.values().filter(|m| m.voter).count();
    let majority = count / 2 + 1;
    let all_but_losses = count.saturating_sub(members.losses);
    match voters_identified(members) {
        true if all_but_losses <= 2 * members.losses + 1 => majority.max(all_but_losses),
        true => majority,
        false => count,
    }
}

/// Whether the sender of a message is the member it claims to be. An instance that restarted with
/// an empty disk has lost its votes and entries, so nothing it grants may count under the old
/// identity.
pub(crate) fn identity_matches(members: &Members, id: &str, identity: u64) -> bool {
    members
        .get(id)
        .is_some_and(|m| m.identity == 0 || m.identity == identity)
}

/// Recorded identities that are known to be gone for good, by member: its disk was emptied, so
/// nothing votes or acknowledges under that identity again.
pub(crate) type LostIdentities = IndexMap<MemberId, Identity>;

/// Whether the identity recorded for a member is known to be gone.
fn is_lost(lost: &LostIdentities, id: &str, member: &Member) -> bool {
    member.identity != 0 && lost.get(id) == Some(&member.identity)
}

/// Records that the identity known for a member is lost, if `identity` is another one that the member
/// was found to have since.
pub(crate) fn record_loss(
    lost: &mut LostIdentities,
    members: &Members,
    id: &str,
    identity: Identity,
) -> bool {
    let known = members.get(id).map_or(0, |m| m.identity);
    let new = known != 0 && known != identity && lost.get(id) != Some(&known);
    if new {
        lost.insert(id.into(), known);
    }
    new
}

/// Number of voters that must agree if none of them is one whose identity is lost.
///
/// Of four voters a quorum has three, so two quorums share two voters: with one of the four known to
/// be lost, any two of the other three still share one with every quorum that may have counted it.
/// Where two quorums may share a single voter, as two of three do, none can be left out.
fn quorum_without(members: &Members, lost: &LostIdentities) -> usize {
    if !voters_identified(members) {
        return quorum_size(members);
    }
    let voters = || members.iter().filter(|(_, m)| m.voter);
    let size = quorum_size(members);
    let shared = (2 * size).saturating_sub(voters().count());
    let lost = voters().filter(|(id, m)| is_lost(lost, id, m)).count();
    size - lost.min(shared.saturating_sub(1))
}

/// What a voter has reached: counted together with voters that were lost since, and counted without
/// them. For the latter the voter must have answered after the loss was known: otherwise, of two
/// quorums that each leave out a lost voter, each might have counted the one that the other left out.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Reached {
    pub(crate) any_time: u64,
    pub(crate) since_loss: u64,
}

impl Reached {
    /// `value`, by an answer that came after all losses that are known.
    pub(crate) fn at_any_time(value: u64) -> Reached {
        Reached {
            any_time: value,
            since_loss: value,
        }
    }
}

/// The highest value that a quorum of voters has reached.
pub(crate) fn quorum_value(
    members: &Members,
    lost: &LostIdentities,
    reached: impl Fn(&MemberId) -> Reached,
) -> u64 {
    let voters = || members.iter().filter(|(_, m)| m.voter);
    let all = voters().map(|(id, _)| reached(id).any_time);
    let others = voters().filter(|(id, m)| !is_lost(lost, id, m));
    let others = others.map(|(id, _)| reached(id).since_loss);
    let of_all = nth_highest(all.collect(), quorum_size(members));
    of_all.max(nth_highest(others.collect(), quorum_without(members, lost)))
}

/// The `n`th highest value, from 1; 0 if there are fewer.
fn nth_highest(mut values: Vec<u64>, n: usize) -> u64 {
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(n.saturating_sub(1)).copied().unwrap_or(0)
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
    /// Latest lease round it answered under that identity.
    pub(crate) round: u64,
    /// Round in which this leader recorded an identity for the member: only later answers under
    /// another one show that it is gone, earlier ones may be from before it.
    pub(crate) recorded_round: u64,
    /// `matched` at the last heartbeat, to detect lost messages.
    pub(crate) prev_matched: Index,
    /// Rounds without progress while entries are in flight.
    pub(crate) stalled: u64,
    /// Round of the last snapshot sent.
    pub(crate) snapshot_round: Option<u64>,
}
