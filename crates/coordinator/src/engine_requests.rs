//! Encodes the requests of switch controllers for engines and relays, and decodes the responses.

use crate::relays::RequestKind;
use bn_group::ExpertMap;
use bn_group::switch_controller::{self, Command, EngineReport, EngineRequest, Reply};
use bn_platform::engine::{self, Operation, RankedMap};
use bn_wire::messages::{EngineAsk, PrepareOrder};
use std::net::SocketAddr;
use std::sync::Arc;

/// Decodes status and body of a response.
pub(crate) type ReplyDecoder = fn(u16, &[u8]) -> Reply;

/// The last ordered map, encoded for HTTP orders and for relays.
#[derive(Default)]
pub(crate) struct MapEncodings {
    ranked: Option<(Arc<ExpertMap>, RankedMap)>,
    compressed: Option<(Arc<ExpertMap>, Vec<u8>)>,
}

impl MapEncodings {
    /// Path and body of a request to an engine, and the decoder of its response.
    pub(crate) fn http_request(
        &mut self,
        request: EngineRequest,
    ) -> (&'static str, Option<Vec<u8>>, ReplyDecoder) {
        match request {
            EngineRequest::Report | EngineRequest::Poll | EngineRequest::ReportWhenCopied(_) => {
                (engine::REPORT, None, decode_report)
            }
            EngineRequest::Counts => (engine::COUNTS, None, decode_counts),
            EngineRequest::List => (engine::LISTS, None, decode_lists),
            EngineRequest::Order(command, epoch, token) => {
                let operation = match command {
                    Command::Prepare(version, map) => self
                        .ranked(&map)
                        .map(|map| Operation::Prepare { version, map }),
                    other => operation(&other),
                };
                // Engines refuse an empty order.
                let body = operation.map(|o| engine::encode_order(o, epoch, token));
                (
                    engine::ORDER,
                    Some(body.unwrap_or_default()),
                    decode_order_reply,
                )
            }
        }
    }

    /// The map as it is sent to relays.
    pub(crate) fn compressed(&mut self, map: &Arc<ExpertMap>) -> Vec<u8> {
        if let Some((known, compressed)) = &self.compressed
            && Arc::ptr_eq(known, map)
        {
            return compressed.clone();
        }
        let compressed = bn_engine::compress_placements(rank_count(map), &map.layers);
        // A relay refuses an empty map, and its engine is then called directly.
        let compressed = compressed.unwrap_or_else(|e| {
            log::error!("cannot encode expert map: {e}");
            Vec::new()
        });
        self.compressed = Some((map.clone(), compressed.clone()));
        compressed
    }

    /// The map as orders contain it. It is encoded once for all ranks: it has some KB, and the
    /// leader has a small share of a core.
    fn ranked(&mut self, map: &Arc<ExpertMap>) -> Option<RankedMap> {
        if let Some((known, ranked)) = &self.ranked
            && Arc::ptr_eq(known, map)
        {
            return Some(ranked.clone());
        }
        let ranked = RankedMap::new(&by_rank(map));
        let ranked = ranked
            .map_err(|e| log::error!("cannot encode expert map: {e}"))
            .ok()?;
        self.ranked = Some((map.clone(), ranked.clone()));
        Some(ranked)
    }
}

/// Builds the request to a relay, and its kind; `counts` asks a poll to include token counts.
pub(crate) fn relay_request(
    id: u64,
    relay: SocketAddr,
    call: &switch_controller::Call,
    counts: bool,
) -> (EngineAsk, RequestKind) {
    let mut request = EngineAsk {
        call: id,
        engine: call.engine.clone(),
        relay: relay.to_string(),
        ..EngineAsk::default()
    };
    let kind = match &call.request {
        EngineRequest::Order(Command::Prepare(version, _), epoch, token) => {
            request.prepare = Some(PrepareOrder {
                version: *version,
                epoch: *epoch,
                token: *token,
            });
            RequestKind::Order
        }
        EngineRequest::Order(command, epoch, token) => {
            let body = operation(command).map(|o| engine::encode_order(o, *epoch, *token));
            request.order = body.unwrap_or_default();
            RequestKind::Held
        }
        EngineRequest::ReportWhenCopied(version) => {
            request.copied = *version;
            RequestKind::Copies
        }
        EngineRequest::Poll => {
            request.counts = counts;
            RequestKind::Look
        }
        EngineRequest::Report | EngineRequest::Counts | EngineRequest::List => RequestKind::Look,
    };
    (request, kind)
}

/// Builds an order that carries no map.
fn operation(command: &Command) -> Option<Operation> {
    Some(match *command {
        Command::Prepare(..) => return None,
        Command::Arm(version, pass) => Operation::Arm { version, pass },
        Command::Disarm(version) => Operation::Disarm { version },
        Command::Hold(pass) => Operation::Hold { pass },
        Command::Go(pass) => Operation::Go { pass },
    })
}

fn rank_count(map: &ExpertMap) -> usize {
    let last = map.layers.iter().flatten().flatten().max();
    last.map_or(0, |r| *r as usize + 1)
}

/// The experts of each rank, layer by layer.
fn by_rank(map: &ExpertMap) -> Vec<Vec<Vec<u32>>> {
    let ranks = rank_count(map);
    let layer = |layer: &Vec<Vec<u32>>| {
        let mut per_rank = vec![Vec::new(); ranks];
        for (expert, holders) in layer.iter().enumerate() {
            for rank in holders {
                if let Some(experts) = per_rank.get_mut(*rank as usize) {
                    experts.push(expert as u32);
                }
            }
        }
        per_rank
    };
    map.layers.iter().map(layer).collect()
}

fn decode_report(status: u16, body: &[u8]) -> Reply {
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

fn decode_counts(status: u16, body: &[u8]) -> Reply {
    match (status, engine::parse_counts(body)) {
        (200, Ok(c)) => Reply::Counts(c.epoch, c.counts),
        _ => Reply::Odd,
    }
}

fn decode_lists(status: u16, body: &[u8]) -> Reply {
    match (status, engine::parse_lists(body)) {
        (200, Ok(l)) => Reply::List(l.version, l.experts),
        _ => Reply::Odd,
    }
}

fn decode_order_reply(status: u16, _: &[u8]) -> Reply {
    decode_status(u32::from(status))
}

/// Interprets the status of the response to an order.
pub(crate) fn decode_status(status: u32) -> Reply {
    match status {
        200 | 202 => Reply::Done,
        409 => Reply::Conflict,
        412 => Reply::Fenced,
        _ => Reply::Odd,
    }
}
