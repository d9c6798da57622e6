//! A map on its way to relays, in few bytes.
//!
//! Every relay gets the whole map, passed on by others over links of 6 Mbit/s and more. As engines
//! read it, a map of 384 experts in 10 sets on 192 ranks has some 28 KB; passing that on to a dozen
//! others takes such a link so long that relays seem silent, and the leader calls their engines
//! itself. Packed it has some 5 KB.

use bn_wire::messages::ExpertPlaces;
use prost::Message;
use std::io;

/// Packs who holds each expert, by set and expert.
pub fn pack_places(ranks: usize, sets: &[Vec<Vec<u32>>]) -> io::Result<Vec<u8>> {
    let experts = sets.first().map_or(0, Vec::len);
    let holders = sets.iter().flatten().map(Vec::len);
    let holders: Result<Vec<u8>, _> = holders.map(u8::try_from).collect();
    let held: Result<Vec<u16>, _> = sets
        .iter()
        .flatten()
        .flatten()
        .map(|r| (*r).try_into())
        .collect();
    let (Ok(holders), Ok(held)) = (holders, held) else {
        return Err(odd("more ranks, or more of one expert, than can be told"));
    };
    if sets.iter().any(|s| s.len() != experts) {
        return Err(odd("sets of different sizes"));
    }
    let places = ExpertPlaces {
        ranks: ranks as u32,
        experts: experts as u32,
        holders,
        low: held.iter().map(|r| r.to_le_bytes()[0]).collect(),
        high: held.iter().map(|r| r.to_le_bytes()[1]).collect(),
    };
    bn_wire::compress(&places.encode_to_vec())
}

/// Experts by set and rank, of what [`pack_places`] made.
pub fn unpack_places(packed: &[u8]) -> io::Result<Vec<Vec<Vec<u32>>>> {
    let bytes = bn_wire::decompress(packed)?;
    let places = ExpertPlaces::decode(&bytes[..]).map_err(io::Error::other)?;
    let mut held = places.low.iter().zip(&places.high);
    let mut sets = Vec::new();
    for holders in places.holders.chunks(places.experts.max(1) as usize) {
        let mut ranks = vec![Vec::new(); places.ranks as usize];
        for (expert, count) in holders.iter().enumerate() {
            for _ in 0..*count {
                let (low, high) = held.next().ok_or_else(|| odd("fewer ranks than told"))?;
                let rank = u16::from_le_bytes([*low, *high]);
                let rank = ranks.get_mut(usize::from(rank));
                rank.ok_or_else(|| odd("a rank that the group lacks"))?
                    .push(expert as u32);
            }
        }
        sets.push(ranks);
    }
    Ok(sets)
}

fn odd(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}
