//! Identifies equal requests by caller, path and body, or another attribute of them, in 128 bits.
//!
//! SHA-256 truncated to 128 bits: callers choose the input, so it must be infeasible for them to
//! find two requests with one digest. That takes no secret, so gateways need not share one.

use sha2::Digest as _;
use sha2::Sha256;

/// Identity of a request, or of another attribute, whoever forwards it and however often.
pub type Digest = u128;

/// The digest of a request's parts. Each is prefixed with its length, so that no two lists of parts
/// yield the same bytes.
pub fn digest(parts: &[&[u8]]) -> Digest {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let full: [u8; 32] = hash.finalize().into();
    let mut truncated = [0; 16];
    truncated.copy_from_slice(&full[..16]);
    Digest::from_be_bytes(truncated)
}

/// A digest as logs and operators write it.
pub fn to_text(digest: Digest) -> String {
    format!("{digest:032x}")
}

/// Parses a digest in the format of [`to_text`].
pub fn from_text(text: &str) -> Option<Digest> {
    Digest::from_str_radix(text, 16).ok()
}
