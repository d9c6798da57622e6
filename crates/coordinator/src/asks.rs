//! What a pilot asks, in the forms that engines and relays take, and their answers read.

use crate::relays::About;
use bn_group::ExpertMap;
use bn_group::pilot::{self, Ask, Command, Reply, View};
use bn_platform::engine::{self, Operation, RankedMap};
use bn_wire::messages::{EngineAsk, PrepareOrder};
use std::net::SocketAddr;
use std::sync::Arc;

/// Reads status and body of an answer.
pub(crate) type Read = fn(u16, &[u8]) -> Reply;

/// The last map that was ordered, as orders have it.
#[derive(Default)]
pub(crate) struct Written(Option<(Arc<ExpertMap>, RankedMap)>);

impl Written {
    /// Path and body of a call to an engine, and what reads its answer.
    pub(crate) fn call(&mut self, ask: Ask) -> (&'static str, Option<Vec<u8>>, Read) {
        match ask {
            Ask::Report | Ask::Look | Ask::Copied(_) => (engine::REPORT, None, read_report),
            Ask::Counts => (engine::PICKED, None, read_counts),
            Ask::List => (engine::LISTS, None, read_lists),
            Ask::Order(command, epoch, token) => {
                let operation = match command {
                    Command::Prepare(version, map) => self
                        .ranked(&map)
                        .map(|map| Operation::Prepare { version, map }),
                    other => operation(&other),
                };
                // An engine refuses an empty order.
                let body = operation.map(|o| engine::order(o, epoch, token));
                (engine::ORDER, Some(body.unwrap_or_default()), read_order)
            }
        }
    }

    /// A map as orders have it. It is written once for all ranks: it is some KB, and the
    /// leader has a small share of a core. Not measured apart.
    pub(crate) fn ranked(&mut self, map: &Arc<ExpertMap>) -> Option<RankedMap> {
        if let Some((known, ranked)) = &self.0
            && Arc::ptr_eq(known, map)
        {
            return Some(ranked.clone());
        }
        let ranked = RankedMap::new(&by_rank(map));
        let ranked = ranked.map_err(|e| log::error!("a map: {e}")).ok()?;
        self.0 = Some((map.clone(), ranked.clone()));
        Some(ranked)
    }
}

/// What a relay is asked, and what that is about.
pub(crate) fn engine_ask(number: u64, relay: SocketAddr, call: &pilot::Call) -> (EngineAsk, About) {
    let mut ask = EngineAsk {
        call: number,
        engine: call.engine.clone(),
        relay: relay.to_string(),
        ..EngineAsk::default()
    };
    let about = match &call.ask {
        Ask::Order(Command::Prepare(version, _), epoch, token) => {
            ask.prepare = Some(PrepareOrder {
                version: *version,
                epoch: *epoch,
                token: *token,
            });
            About::Order
        }
        Ask::Order(command, epoch, token) => {
            let body = operation(command).map(|o| engine::order(o, *epoch, *token));
            ask.order = body.unwrap_or_default();
            About::Order
        }
        Ask::Copied(version) => {
            ask.copied = *version;
            About::Copies
        }
        Ask::Look => {
            ask.counts = true;
            About::Look
        }
        Ask::Report | Ask::Counts | Ask::List => About::Look,
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

/// The experts of each rank, set by set.
fn by_rank(map: &ExpertMap) -> Vec<Vec<Vec<u32>>> {
    let ranks = map.layers.iter().flatten().flatten().max();
    let ranks = ranks.map_or(0, |r| *r as usize + 1);
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
    match (status, engine::report(body)) {
        (200, Ok(r)) => Reply::View(View {
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
            pace: r.pace,
            fresh: false,
            lately: None,
        }),
        _ => Reply::Odd,
    }
}

fn read_counts(status: u16, body: &[u8]) -> Reply {
    match (status, engine::counts(body)) {
        (200, Ok(c)) => Reply::Counts(c.epoch, c.counts),
        _ => Reply::Odd,
    }
}

fn read_lists(status: u16, body: &[u8]) -> Reply {
    match (status, engine::lists(body)) {
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
