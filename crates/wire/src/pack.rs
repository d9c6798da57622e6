//! Packing of documents between processes and on disk. A document with hundreds of routes
//! has 300 KB, mostly repeated words; packed it has about a tenth.

use flate2::Compression;
use flate2::read::{ZlibDecoder, ZlibEncoder};
use std::io::{self, Read};

/// Largest document that is unpacked, in bytes: bounds what a damaged one may claim.
const LARGEST: u64 = 64 << 20;

/// Packs bytes.
pub fn pack(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut packed = Vec::new();
    ZlibEncoder::new(bytes, Compression::fast()).read_to_end(&mut packed)?;
    Ok(packed)
}

/// Unpacks what [`pack`] made.
pub fn unpack(packed: &[u8]) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ZlibDecoder::new(packed)
        .take(LARGEST)
        .read_to_end(&mut bytes)?;
    Ok(bytes)
}
