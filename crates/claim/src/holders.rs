//! Selects the entries that hold the claim of a key.

use sha2::{Digest, Sha256};
use std::time::Duration;

/// Number of holders per key.
pub const HOLDERS: usize = 3;

/// Selects `count` of the entries `(id, failure domain)` for `key`: by rendezvous hashing, so
/// that a change of one entry moves few keys, and in different failure domains as far
/// as there are enough.
pub fn rendezvous<'a>(
    key: &str,
    count: usize,
    entries: impl Iterator<Item = (&'a str, &'a str)>,
) -> Vec<&'a str> {
    let mut ranked: Vec<_> = entries
        .map(|(id, domain)| (weight(key, id), id, domain))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    let mut chosen: Vec<(&str, &str)> = Vec::new();
    for new_domain_only in [true, false] {
        for (_, id, domain) in &ranked {
            let new_domain = !chosen.iter().any(|(_, d)| d == domain);
            let new = !chosen.iter().any(|(i, _)| i == id);
            if chosen.len() < count && new && (new_domain || !new_domain_only) {
                chosen.push((id, domain));
            }
        }
    }
    chosen.into_iter().map(|(id, _)| id).collect()
}

/// Wall time at which a key was minted; `None` unless it is a UUIDv7.
pub fn mint_time(key: &str) -> Option<Duration> {
    let id = uuid::Uuid::parse_str(key).ok()?;
    if id.get_version_num() != 7 {
        return None;
    }
    let (secs, nanos) = id.get_timestamp()?.to_unix();
    Some(Duration::new(secs, nanos))
}

fn weight(key: &str, id: &str) -> [u8; 32] {
    Sha256::new()
        .chain_update(key)
        .chain_update([0])
        .chain_update(id)
        .finalize()
        .into()
}
