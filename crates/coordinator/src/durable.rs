//! Persistence of the log: entries and votes are synced before they are answered; a snapshot
//! replaces many documents.

use crate::core::Core;
use crate::document::{VersionedDocument, decode_state, encode, encode_state};
use crate::{DecodeSnafu, Result};
use bn_quorum::{Entry, Member, Members, Output, Restored};
use bn_store::LoadedState;
use bn_wire::messages as wire;
use serde_json::json;
use snafu::OptionExt;
use std::net::SocketAddr;

/// Bytes of documents in the log after which a snapshot replaces it: a multiple of the newest
/// document, the only one that matters. A follower that lags gets that one instead of dozens:
/// documents with hundreds of routes have about 30 KB compressed, and sending all of them repeatedly
/// takes the link and the CPU away from everything else.
const SNAPSHOT_FACTOR: usize = 4;
const SNAPSHOT_BYTES: usize = 128 << 10;
/// Entries kept in memory behind a snapshot, for followers that lag a little.
const KEPT_ENTRIES: u64 = 3;

impl Core {
    /// Writes and syncs the output of the log; nothing that depends on it may be answered before.
    pub(super) fn persist(&mut self, out: &Output) -> Result<()> {
        if let Some(snapshot) = &out.snapshot {
            self.store.replace_snapshot(&snapshot.into(), Vec::new())?;
            self.applied = snapshot.index;
            let (committed, evacuations) = decode_state(&snapshot.state)?;
            self.adopt(committed);
            self.adopt_evacuations(evacuations);
        }
        if out.hard.is_none() && out.truncate_from.is_none() && out.append.is_empty() {
            return Ok(());
        }
        let batch = wire::Batch {
            hard: out.hard.as_ref().map(Into::into),
            cut_from: out.truncate_from.unwrap_or(0),
            entries: out.append.iter().map(Into::into).collect(),
        };
        let start = self.now();
        self.store.append(&batch)?;
        metrics::histogram!("log_commit_seconds").record(self.now() - start);
        Ok(())
    }

    /// Replaces the entries by a snapshot once they are large compared with the newest document.
    pub(super) fn compact(&mut self) -> Result<()> {
        let limit = SNAPSHOT_BYTES + SNAPSHOT_FACTOR * self.committed.document.len();
        if self.logged_bytes < limit {
            return Ok(());
        }
        let state = encode_state(&self.committed, &self.evacuations);
        if let Some(snapshot) = self
            .quorum
            .compact_keeping(self.applied, state, KEPT_ENTRIES)
        {
            let remaining = self.quorum.entries_after(snapshot.index);
            let remaining = remaining.iter().map(Into::into).collect();
            self.store
                .replace_snapshot(&(&snapshot).into(), remaining)?;
            self.logged_bytes = 0;
            self.lines
                .put("snapshot_taken", json!({ "index": snapshot.index }));
        }
        Ok(())
    }
}

pub(super) fn initial_members(seeds: &[SocketAddr], losses: u32) -> bn_quorum::Snapshot {
    let member = |inbox: &SocketAddr| {
        let member = Member {
            identity: 0,
            address: inbox.to_string(),
            voter: true,
        };
        (inbox.ip().to_string(), member)
    };
    bn_quorum::Snapshot {
        members: Members::new(seeds.iter().map(member).collect(), losses as usize),
        state: encode(&VersionedDocument::default()),
        ..bn_quorum::Snapshot::default()
    }
}

pub(super) fn restored(loaded: LoadedState) -> Result<Restored> {
    let entries = loaded.entries.into_iter().map(Entry::try_from);
    let entries = entries.collect::<std::result::Result<_, _>>();
    Ok(Restored {
        hard: loaded.hard.into(),
        snapshot: loaded.snapshot.map(Into::into),
        entries: entries.ok().context(DecodeSnafu { what: "log entry" })?,
    })
}
