//! Packing of documents between processes and on disk. A document with hundreds of routes
//! has 300 KB, mostly repeated words; packed it has about a tenth.

use flate2::Compression;
use flate2::read::{ZlibDecoder, ZlibEncoder};
use std::io::{self, Read};

/// Largest document that is unpacked, in bytes: bounds what a damaged one may claim.
const MAX_DOCUMENT_BYTES: u64 = 64 << 20;

/// Packs bytes.
pub fn compress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut compressed = Vec::new();
    ZlibEncoder::new(bytes, Compression::fast()).read_to_end(&mut compressed)?;
    Ok(compressed)
}

/// Unpacks what [`pack`] made.
pub fn decompress(compressed: &[u8]) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ZlibDecoder::new(compressed)
        .take(MAX_DOCUMENT_BYTES)
        .read_to_end(&mut bytes)?;
    Ok(bytes)
}
