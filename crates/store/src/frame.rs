//! Frames of the log file: magic, length, checksum of these two, checksum of the payload,
//! payload. One frame is one synced write, so a crash can tear only the last.

/// Marks the start of a frame.
const MAGIC: u32 = 0x424e_4c31;
/// Size of the header before the payload.
pub(crate) const HEADER_BYTES: usize = 16;

/// Encodes a frame with this payload.
pub(crate) fn encode(payload: &[u8]) -> Vec<u8> {
    let mut header = Vec::with_capacity(HEADER_BYTES + payload.len());
    header.extend_from_slice(&MAGIC.to_le_bytes());
    header.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    let check = crc32c::crc32c(&header);
    header.extend_from_slice(&check.to_le_bytes());
    header.extend_from_slice(&crc32c::crc32c(payload).to_le_bytes());
    header.extend_from_slice(payload);
    header
}

/// Returns the payload of the frame at the start of `bytes`, if it is complete and undamaged.
pub(crate) fn decode(bytes: &[u8]) -> Option<&[u8]> {
    let header = bytes.get(..HEADER_BYTES)?;
    let word = |at: usize| {
        header
            .get(at..at + 4)?
            .try_into()
            .ok()
            .map(u32::from_le_bytes)
    };
    if word(0)? != MAGIC || word(8)? != crc32c::crc32c(header.get(..8)?) {
        return None;
    }
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES + word(4)? as usize)?;
    (crc32c::crc32c(payload) == word(12)?).then_some(payload)
}

/// Returns whether `bytes` contain a complete frame at any offset. After a bad frame this
/// distinguishes damage (later writes were synced, so this one had been too) from a torn last
/// write.
pub(crate) fn contains_complete_frame(bytes: &[u8]) -> bool {
    let magic = MAGIC.to_le_bytes();
    let starts = bytes
        .windows(magic.len())
        .enumerate()
        .filter(|(_, w)| *w == magic);
    starts
        .map(|(at, _)| at)
        .any(|at| bytes.get(at..).and_then(decode).is_some())
}
