//! Which request is the same as an earlier one: caller, path and body, in 128 bits.
//!
//! SHA-256 cut to 128 bits: callers choose what goes in, so that two requests with one digest must
//! be out of reach for them. No secret is needed for that, so none has to be shared by all gateways.

use sha2::Digest as _;
use sha2::Sha256;

/// What a request is, whoever sends it on and however often.
pub type Digest = u128;

/// The digest of a request's parts. Each goes in with its length: no two lists of parts run into
/// the same bytes.
pub fn digest(parts: &[&[u8]]) -> Digest {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let whole: [u8; 32] = hash.finalize().into();
    let mut half = [0; 16];
    half.copy_from_slice(&whole[..16]);
    Digest::from_be_bytes(half)
}

/// A digest as logs and operators write it.
pub fn to_text(digest: Digest) -> String {
    format!("{digest:032x}")
}

/// The digest that a text names, as [`to_text`] writes it.
pub fn from_text(text: &str) -> Option<Digest> {
    Digest::from_str_radix(text, 16).ok()
}
