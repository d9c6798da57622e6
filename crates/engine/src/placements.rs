//! Compressed form of an expert map, for messages to relays.
//!
//! Every relay gets the complete map, forwarded by others over links of 6 Mbit/s and more. In the
//! JSON form of the engines, a map of 384 experts in 10 sets on 192 ranks takes some 28 KB;
//! forwarding that to a dozen relays occupies such a link so long that relays seem silent, and the
//! leader calls their engines itself. Compressed it takes some 5 KB.

use bn_wire::messages::ExpertPlaces;
use prost::Message;
use std::io;

/// Compresses the ranks that hold each expert, by set and expert.
pub fn compress_placements(ranks: usize, sets: &[Vec<Vec<u32>>]) -> io::Result<Vec<u8>> {
    let experts = sets.first().map_or(0, Vec::len);
    let holders = sets.iter().flatten().map(Vec::len);
    let holders: Result<Vec<u8>, _> = holders.map(u8::try_from).collect();
    let holding_ranks: Result<Vec<u16>, _> = sets
        .iter()
        .flatten()
        .flatten()
        .map(|r| (*r).try_into())
        .collect();
    let (Ok(holders), Ok(holding_ranks)) = (holders, holding_ranks) else {
        return Err(invalid(
            "a rank above 65535, or more than 255 copies of one expert",
        ));
    };
    if sets.iter().any(|s| s.len() != experts) {
        return Err(invalid("sets with different numbers of experts"));
    }
    let placements = ExpertPlaces {
        ranks: ranks as u32,
        experts: experts as u32,
        holders,
        low: holding_ranks.iter().map(|r| r.to_le_bytes()[0]).collect(),
        high: holding_ranks.iter().map(|r| r.to_le_bytes()[1]).collect(),
    };
    bn_wire::compress(&placements.encode_to_vec())
}

/// Decompresses the output of [`compress_placements`] to the experts by set and rank.
pub fn decompress_placements(compressed: &[u8]) -> io::Result<Vec<Vec<Vec<u32>>>> {
    let bytes = bn_wire::decompress(compressed)?;
    let placements = ExpertPlaces::decode(&bytes[..]).map_err(io::Error::other)?;
    let mut holding_ranks = placements.low.iter().zip(&placements.high);
    let mut sets = Vec::new();
    for holders in placements
        .holders
        .chunks(placements.experts.max(1) as usize)
    {
        let mut ranks = vec![Vec::new(); placements.ranks as usize];
        for (expert, count) in holders.iter().enumerate() {
            for _ in 0..*count {
                let (low, high) = holding_ranks
                    .next()
                    .ok_or_else(|| invalid("too few ranks"))?;
                let rank = u16::from_le_bytes([*low, *high]);
                let rank = ranks.get_mut(usize::from(rank));
                rank.ok_or_else(|| invalid("a rank outside the group"))?
                    .push(expert as u32);
            }
        }
        sets.push(ranks);
    }
    Ok(sets)
}

fn invalid(reason: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}
