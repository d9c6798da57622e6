//! Compression of documents that are sent between processes or stored. A document with hundreds of
//! routes has 300 KB, mostly repeated words; compressed it has about a tenth of that.

use flate2::Compression;
use flate2::read::{ZlibDecoder, ZlibEncoder};
use std::io::{self, Read};

/// Maximum size of a decompressed document, in bytes: limits the memory a damaged one can use.
const MAX_DOCUMENT_BYTES: u64 = 64 << 20;

/// Compresses bytes with zlib.
pub fn compress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut compressed = Vec::new();
    ZlibEncoder::new(bytes, Compression::fast()).read_to_end(&mut compressed)?;
    Ok(compressed)
}

/// Decompresses the output of [`compress`].
pub fn decompress(compressed: &[u8]) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ZlibDecoder::new(compressed)
        .take(MAX_DOCUMENT_BYTES)
        .read_to_end(&mut bytes)?;
    Ok(bytes)
}
