//! Requests that terminate backend servers: every coordinator keeps the cases; the leader grants
//! trials of suspect requests, one at a time.
//!
//! Gateways report each termination to all coordinators, so that a new leader knows what its
//! predecessor knew. Refused requests are also on the disk of each coordinator: after a common stop
//! of all processes they would otherwise be forgotten, and each would terminate three backend
//! servers again.

use crate::core::Core;
use bn_quarantine::{
    Case, CaseStatus, CaseUpdate, Digest, Kind, Start, Table, Termination, Trials, part_text,
    read_digest, to_text,
};
use bn_quorum::Role;
use bn_store::{AtomicFile, Disk};
use bn_wire::messages::envelope::Body;
use bn_wire::messages::{self as wire};
use indexmap::IndexMap;
use prost::Message;
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// File with the refused requests, in the data directory.
const FILE: &str = "refused";
/// Interval between checks for expired cases, which also retry a failed write.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Time within which several gateways report the same termination: ranks that wait for another one
/// are abandoned after some seconds.
const REPORT_WINDOW: Duration = Duration::from_secs(15);

/// Cases of a coordinator.
pub(crate) struct Cases {
    pub(crate) table: Table,
    trials: Trials,
    file: AtomicFile,
    /// Terminations that have been pushed to gateways.
    pushed: IndexMap<Start, Duration>,
    /// Content of the file.
    stored: Vec<CaseUpdate>,
    due: Duration,
    /// Cursor up to which cases have been pushed to gateways.
    pushed_cursor: u64,
}

impl Cases {
    /// Loads the refused requests from disk. If they cannot be read, these requests terminate
    /// backend servers until they are detected again; the coordinator starts all the same.
    pub(crate) fn open(data: &Path) -> Cases {
        let file = AtomicFile::new(data, FILE, Disk::default());
        let mut table = Table::default();
        let stored = file.read().map_err(|e| e.to_string()).and_then(decode);
        match stored {
            Ok(stored) => {
                for update in &stored {
                    table.merge(Duration::ZERO, update);
                }
            }
            Err(e) => log::error!("cannot load refused requests from disk: {e}"),
        }
        Cases {
            stored: table.refused(),
            table,
            trials: Trials::default(),
            file,
            pushed: IndexMap::new(),
            due: Duration::ZERO,
            pushed_cursor: 0,
        }
    }

    /// Takes over the cases that were known before the disk failed.
    pub(crate) fn inherit(&mut self, now: Duration, before: Cases) {
        for update in before.table.since(0) {
            self.table.merge(now, &update);
        }
        self.trials = before.trials;
    }

    /// Cases that changed after `cursor`. Gateways only get those that affect them.
    pub(crate) fn updates_since(&self, cursor: u64, gateway: bool) -> Vec<wire::Case> {
        let updates = self.table.since(cursor);
        let updates = updates
            .iter()
            .filter(|u| !gateway || affects_gateways(u.digest, &u.case));
        updates.map(Into::into).collect()
    }
}

/// Decodes the content of the file; no cases if there is no file.
fn decode(content: Option<Vec<u8>>) -> std::result::Result<Vec<CaseUpdate>, String> {
    let Some(content) = content else {
        return Ok(Vec::new());
    };
    let stored = wire::News::decode(&content[..]).map_err(|e| e.to_string())?;
    let updates = stored.cases.into_iter().map(CaseUpdate::try_from);
    updates
        .collect::<std::result::Result<_, _>>()
        .map_err(|e| e.to_string())
}

/// Whether the case changes what a gateway does. A single termination is counted against a dozen
/// requests and proves nothing yet; of what many requests share, gateways tell at once if it is
/// harmless.
fn affects_gateways(digest: Digest, case: &Case) -> bool {
    let kind = Kind::of(digest);
    let is_watched = kind.is_shared() && case.is_open();
    is_watched || case.status_as(kind) != CaseStatus::Free || case.round > 0
}

impl Core {
    /// A gateway reports that a backend server terminated.
    pub(crate) fn on_ended(&mut self, now: Duration, inbox: SocketAddr, raw: wire::Ended) {
        let termination = match Termination::try_from(raw) {
            Ok(termination) => termination,
            Err(e) => return log::warn!("an end from {inbox}: {e}"),
        };
        let digests: Vec<String> = termination.runs.iter().map(|(d, _)| to_text(*d)).collect();
        self.lines.put(
            "end_heard",
            json!({ "id": termination.start.id, "began": termination.start.start_time, "gateway": inbox, "digests": digests }),
        );
        self.push_termination(now, &termination.start);
        self.blame_joint_trial(now, &termination);
        for (digest, sole_trial) in &termination.runs {
            if self
                .cases
                .table
                .add_termination(now, *digest, &termination.start, *sole_trial)
            {
                self.log_case(*digest, &inbox.to_string());
            }
        }
    }

    /// If the termination was in a trial of several suspects, requests with all of them are refused:
    /// which of them is the cause is not known. Only the leader knows the trial.
    fn blame_joint_trial(&mut self, now: Duration, termination: &Termination) {
        let digests: Vec<Digest> = termination.runs.iter().map(|(d, _)| *d).collect();
        let Some(suspects) = self.cases.trials.joint_of(&digests) else {
            return;
        };
        let suspects = suspects.to_vec();
        self.cases.table.refuse_jointly(now, &suspects);
    }

    /// Pushes a termination to gateways once: those that had no request on that backend server
    /// would otherwise go on sending requests to its group, or try to connect to it.
    fn push_termination(&mut self, now: Duration, start: &Start) {
        self.cases.pushed.retain(|_, at| now < *at + REPORT_WINDOW);
        if self.cases.pushed.insert(start.clone(), now).is_some() {
            return;
        }
        let update = wire::News {
            ended: vec![start.into()],
            ..self.base_update()
        };
        self.push_to_assigned(&update);
    }

    /// Merges the cases of another coordinator.
    pub(crate) fn merge_cases(&mut self, now: Duration, inbox: SocketAddr, raw: Vec<wire::Case>) {
        for update in raw.into_iter().map(CaseUpdate::try_from) {
            match update {
                Ok(update) => {
                    if self.cases.table.merge(now, &update) {
                        self.log_case(update.digest, &inbox.to_string());
                    }
                }
                Err(e) => log::warn!("invalid case from {inbox}: {e}"),
            }
        }
    }

    /// A gateway asks to try a suspect request. Only the leader answers: two coordinators could
    /// grant two trials at once.
    pub(crate) fn on_trial_request(
        &mut self,
        now: Duration,
        inbox: SocketAddr,
        request: &wire::TrialAsk,
    ) {
        let digests = std::iter::once(&request.digest).chain(&request.others);
        let digests: Result<Vec<Digest>, _> = digests.map(|d| read_digest(d)).collect();
        let Ok(digests) = digests else {
            return;
        };
        if self.quorum.role() != Role::Leader {
            return;
        }
        let time = Duration::from_millis(request.time_ms);
        let verdict = self.cases.table.verdict(digests.iter().copied());
        let is_refused = verdict.refused.is_some();
        let tried = self.cases.table.all_tried(&digests);
        let is_settled = self.cases.table.is_settled(now, &digests);
        let trials = &mut self.cases.trials;
        let granted =
            !is_refused && is_settled && trials.grant_all(now, Some(inbox), &digests, time, tried);
        let texts: Vec<String> = digests.iter().map(|d| to_text(*d)).collect();
        self.lines.put(
            "trial_asked",
            json!({
                "digest": texts.first(), "digests": texts, "gateway": inbox, "granted": granted,
            }),
        );
        let answer = wire::TrialAnswer {
            call: request.call,
            granted,
        };
        self.net.send(inbox, Body::TrialAnswer(answer));
    }

    /// A trial of a suspect request is over.
    pub(crate) fn on_run_done(&mut self, now: Duration, inbox: SocketAddr, run: &wire::RunDone) {
        let Ok(digest) = read_digest(&run.digest) else {
            return;
        };
        self.cases.trials.finish(now, digest, run.whole);
        if run.whole && self.cases.table.close(now, digest) {
            self.log_case(digest, &inbox.to_string());
        }
    }

    /// An operator declares a request harmless.
    pub(crate) fn pardon(&mut self, now: Duration, digest: Digest) -> bool {
        let closed = self.cases.table.pardon(now, digest);
        for digest in &closed {
            self.log_case(*digest, "operator");
        }
        !closed.is_empty()
    }

    /// Lists refused and suspect requests for operators.
    pub(crate) fn show_cases(&self) -> String {
        let updates = self.cases.table.since(0).into_iter();
        let table = &self.cases.table;
        let status = |u: &CaseUpdate| u.case.status_as(Kind::of(u.digest));
        let updates = updates.filter(|u| status(u) != CaseStatus::Free);
        let rows = updates.map(|u| {
            let terminations: Vec<&str> =
                u.case.terminations.iter().map(|s| s.id.as_str()).collect();
            let partners = table.partners(u.digest, &u.case).into_iter().map(to_text);
            json!({
                "digest": to_text(u.digest), "part": part_text(u.digest),
                "standing": format!("{:?}", status(&u)), "ended": terminations,
                "only_with": partners.collect::<Vec<_>>(),
            })
        });
        json!({ "requests": rows.collect::<Vec<_>>() }).to_string()
    }

    fn log_case(&self, digest: Digest, source: &str) {
        let case = self.cases.table.get(digest);
        let Some(case) = case.filter(|c| affects_gateways(digest, c)) else {
            return;
        };
        let terminations: Vec<&str> = case.terminations.iter().map(|s| s.id.as_str()).collect();
        let partners = self.cases.table.partners(digest, case);
        let partners = partners.into_iter().map(to_text);
        self.lines.put(
            "request_case",
            json!({
                "digest": to_text(digest), "part": part_text(digest),
                "standing": format!("{:?}", case.status_as(Kind::of(digest))),
                "only_with": partners.collect::<Vec<_>>(),
                "ended": terminations, "round": case.round, "source": source,
            }),
        );
    }

    /// Pushes changed cases that affect gateways at once, and writes refused requests to disk.
    pub(crate) fn maintain_cases(&mut self, now: Duration) {
        if now >= self.cases.due {
            self.cases.due = now + EXPIRY_INTERVAL;
            self.cases.table.expire(now);
            // Retries a write that failed.
            self.write_refused();
        }
        let cursor = self.cases.table.cursor();
        if cursor == self.cases.pushed_cursor {
            return;
        }
        let cases = self.cases.updates_since(self.cases.pushed_cursor, true);
        self.cases.pushed_cursor = cursor;
        if !cases.is_empty() {
            let update = wire::News {
                cases,
                ..self.base_update()
            };
            self.push_to_assigned(&update);
        }
        self.write_refused();
    }

    /// A failed write is only logged: the other coordinators have the cases as well.
    fn write_refused(&mut self) {
        let refused = self.cases.table.refused();
        if refused == self.cases.stored {
            return;
        }
        let content = wire::News {
            cases: refused.iter().map(Into::into).collect(),
            ..wire::News::default()
        };
        match self.cases.file.write(&content.encode_to_vec()) {
            Ok(()) => self.cases.stored = refused,
            Err(e) => log::error!("which requests are refused is not on disk: {e}"),
        }
    }
}
