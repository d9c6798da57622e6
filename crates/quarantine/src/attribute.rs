//! Attributes of requests: what requests that terminate backend servers may have in common.
//!
//! A request has one identity of its own, and shares others with many: the parts of its prompt. Each
//! attribute has a digest; cases, trials and messages are by digest, whatever its kind.

use crate::Digest;
use crate::digest::digest;

/// Identity of a part of a prompt.
pub type PartId = u64;

/// Top 32 bits of the digests of parts. Those of a request are random.
const PART_TAG: u128 = 0x7061_7274;
const TAG_SHIFT: u32 = 96;
const SERVICE_SHIFT: u32 = 64;

/// A kind of attribute. It determines which evidence counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The whole request: account, method, host, path and body.
    Request,
    /// A part of the prompt, at one service.
    Part(PartId),
}

impl Kind {
    /// The kind that a digest is of.
    pub fn of(digest: Digest) -> Kind {
        match digest >> TAG_SHIFT {
            PART_TAG => Kind::Part(digest as PartId),
            _ => Kind::Request,
        }
    }

    /// Whether requests that differ share the attribute. If so, a backend server that begins to
    /// answer one of them clears it, runs that had begun say nothing against it, and gateways know
    /// its case from the first termination.
    pub fn is_shared(self) -> bool {
        match self {
            Kind::Request => false,
            Kind::Part(_) => true,
        }
    }
}

/// The digest of a part. It is bound to the service: another model may survive the part. The lower
/// half is the part's id, for operators to read.
pub fn part_digest(service: &str, part: PartId) -> Digest {
    let service = digest(&[service.as_bytes()]) as u32;
    PART_TAG << TAG_SHIFT | Digest::from(service) << SERVICE_SHIFT | Digest::from(part)
}

/// The id of the part that a digest is of, as logs and operators write it.
pub fn part_text(digest: Digest) -> Option<String> {
    match Kind::of(digest) {
        Kind::Request => None,
        Kind::Part(id) => Some(format!("{id:x}")),
    }
}
