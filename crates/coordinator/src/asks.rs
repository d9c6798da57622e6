//! What a pilot asks, in the forms that engines and relays take, and their answers read.

use crate::relays::About;
use bn_group::ExpertMap;
use bn_group::switch_controller::{self, Command, EngineReport, EngineRequest, Reply};
use bn_platform::engine::{self, Operation, RankedMap};
use bn_wire::messages::{EngineAsk, PrepareOrder};
use std::net::SocketAddr;
use std::sync::Arc;

/// Reads status and body of an answer.
pub(crate) type Read = fn(u16, &[u8]) -> Reply;

/// The last map that was ordered, as orders have it.
#[derive(Default)]
pub(crate) struct Written {
    ranked: Option<(Arc<ExpertMap>, RankedMap)>,
    packed: Option<(Arc<ExpertMap>, Vec<u8>)>,
}

impl Written {
    /// Path and body of a call to an engine, and what reads its answer.
    pub(crate) fn call(&mut self, ask: EngineRequest) -> (&'static str, Option<Vec<u8>>, Read) {
        match ask {
            EngineRequest::Report | EngineRequest::Poll | EngineRequest::ReportWhenCopied(_) => {
                (engine::REPORT, None, read_report)
            }
            EngineRequest::Counts => (engine::COUNTS, None, read_counts),
            EngineRequest::List => (engine::LISTS, None, read_lists),
            EngineRequest::Order(command, epoch, token) => {
                let operation = match command {
                    Command::Prepare(version, map) => self
                        .ranked(&map)
                        .map(|map| Operation::Prepare { version, map }),
                    other => operation(&other),
                };
                // An engine refuses an empty order.
                let body = operation.map(|o| engine::encode_order(o, epoch, token));
                (engine::ORDER, Some(body.unwrap_or_default()), read_order)
            }
        }
    }

    /// The same as relays are sent it.
    pub(crate) fn packed(&mut self, map: &Arc<ExpertMap>) -> Vec<u8> {
        if let Some((known, packed)) = &self.packed
            && Arc::ptr_eq(known, map)
        {
            return packed.clone();
        }
        let packed = bn_engine::compress_placements(ranks(map), &map.layers);
        // A relay refuses an empty map, and its engine is then called straight.
        let packed = packed.unwrap_or_else(|e| {
            log::error!("a map: {e}");
            Vec::new()
        });
        self.packed = Some((map.clone(), packed.clone()));
        packed
    }

    /// A map as orders have it. It is written once for all ranks: it is some KB, and the
    /// leader has a small share of a core.
    fn ranked(&mut self, map: &Arc<ExpertMap>) -> Option<RankedMap> {
        if let Some((known, ranked)) = &self.ranked
            && Arc::ptr_eq(known, map)
        {
            return Some(ranked.clone());
        }
        let ranked = RankedMap::new(&by_rank(map));
        let ranked = ranked.map_err(|e| log::error!("a map: {e}")).ok()?;
        self.ranked = Some((map.clone(), ranked.clone()));
        Some(ranked)
    }
}

/// What a relay is asked, and what that is about; `counts` where a look takes them, too.
pub(crate) fn engine_ask(
    number: u64,
    relay: SocketAddr,
    call: &switch_controller::Call,
    counts: bool,
) -> (EngineAsk, About) {
    let mut ask = EngineAsk {
        call: number,
        engine: call.engine.clone(),
        relay: relay.to_string(),
        ..EngineAsk::default()
    };
    let about = match &call.request {
        EngineRequest::Order(Command::Prepare(version, _), epoch, token) => {
            ask.prepare = Some(PrepareOrder {
                version: *version,
                epoch: *epoch,
                token: *token,
            });
            About::Order
        }
        EngineRequest::Order(command, epoch, token) => {
            let body = operation(command).map(|o| engine::encode_order(o, *epoch, *token));
            ask.order = body.unwrap_or_default();
            About::Held
        }
        EngineRequest::ReportWhenCopied(version) => {
            ask.copied = *version;
            About::Copies
        }
        EngineRequest::Poll => {
            ask.counts = counts;
            About::Look
        }
        EngineRequest::Report | EngineRequest::Counts | EngineRequest::List => About::Look,
    };
    (ask, about)
}

/// An order without a map.
fn operation(command: &Command) -> Option<Operation> {
    Some(match *command {
        Command::Prepare(..) => return None,
        Command::Arm(version, pass) => Operation::Arm { version, pass },
        Command::Disarm(version) => Operation::Disarm { version },
        Command::Hold(pass) => Operation::Hold { pass },
        Command::Go(pass) => Operation::Go { pass },
    })
}

fn ranks(map: &ExpertMap) -> usize {
    let last = map.layers.iter().flatten().flatten().max();
    last.map_or(0, |r| *r as usize + 1)
}

/// The experts of each rank, set by set.
fn by_rank(map: &ExpertMap) -> Vec<Vec<Vec<u32>>> {
    let ranks = ranks(map);
    let layer = |layer: &Vec<Vec<u32>>| {
        let mut held = vec![Vec::new(); ranks];
        for (expert, holders) in layer.iter().enumerate() {
            for rank in holders {
                if let Some(held) = held.get_mut(*rank as usize) {
                    held.push(expert as u32);
                }
            }
        }
        held
    };
    map.layers.iter().map(layer).collect()
}

fn read_report(status: u16, body: &[u8]) -> Reply {
    match (status, engine::parse_report(body)) {
        (200, Ok(r)) => Reply::Report(EngineReport {
            group: r.group,
            epoch: r.epoch,
            rank: r.rank,
            open: r.open,
            size: r.size,
            pass: r.pass,
            map: r.map,
            prepared: r.prepared,
            armed: r.armed,
            held: r.held,
            slowdown: r.slowdown,
            fresh: false,
            recent_counts: None,
        }),
        _ => Reply::Odd,
    }
}

fn read_counts(status: u16, body: &[u8]) -> Reply {
    match (status, engine::parse_counts(body)) {
        (200, Ok(c)) => Reply::Counts(c.epoch, c.counts),
        _ => Reply::Odd,
    }
}

fn read_lists(status: u16, body: &[u8]) -> Reply {
    match (status, engine::parse_lists(body)) {
        (200, Ok(l)) => Reply::List(l.version, l.experts),
        _ => Reply::Odd,
    }
}

fn read_order(status: u16, _: &[u8]) -> Reply {
    read_status(u32::from(status))
}

/// What the status of an order's answer says.
pub(crate) fn read_status(status: u32) -> Reply {
    match status {
        200 | 202 => Reply::Done,
        409 => Reply::Conflict,
        412 => Reply::Fenced,
        _ => Reply::Odd,
    }
}
