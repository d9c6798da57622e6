//! Frames of the log file. One frame is one synced write, so a crash can tear only
//! the last: magic, length, checksum of these two, checksum of the payload, payload.

/// Marks the start of a frame.
const MAGIC: u32 = 0x424e_4c31;
/// Bytes before the payload.
pub(crate) const HEADER: usize = 16;

/// The bytes of a frame around `payload`.
pub(crate) fn seal(payload: &[u8]) -> Vec<u8> {
    let mut head = Vec::with_capacity(HEADER + payload.len());
    head.extend_from_slice(&MAGIC.to_le_bytes());
    head.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    let check = crc32c::crc32c(&head);
    head.extend_from_slice(&check.to_le_bytes());
    head.extend_from_slice(&crc32c::crc32c(payload).to_le_bytes());
    head.extend_from_slice(payload);
    head
}

/// The payload of the frame that starts `bytes`, if it is whole.
pub(crate) fn open(bytes: &[u8]) -> Option<&[u8]> {
    let head = bytes.get(..HEADER)?;
    let word = |at: usize| {
        head.get(at..at + 4)?
            .try_into()
            .ok()
            .map(u32::from_le_bytes)
    };
    if word(0)? != MAGIC || word(8)? != crc32c::crc32c(head.get(..8)?) {
        return None;
    }
    let payload = bytes.get(HEADER..HEADER + word(4)? as usize)?;
    (crc32c::crc32c(payload) == word(12)?).then_some(payload)
}

/// A whole frame stands somewhere in `bytes`. After a bad frame this tells damage
/// (later writes were synced, so this one had been too) from a torn last write.
pub(crate) fn any_whole(bytes: &[u8]) -> bool {
    let magic = MAGIC.to_le_bytes();
    let starts = bytes
        .windows(magic.len())
        .enumerate()
        .filter(|(_, w)| *w == magic);
    starts
        .map(|(at, _)| at)
        .any(|at| bytes.get(at..).and_then(open).is_some())
}
