//! Parses a scenario file and executes it statement by statement.

use super::calls::{CallOutcome, Load, Request, send};
use super::operators;
use super::system::{System, SystemSpec};
use pest::Parser;
use pest::iterators::Pair;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::fs;
use std::path::Path;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

#[derive(pest_derive::Parser)]
#[grammar = "tests/testbed/scenario.pest"]
struct Grammar;

pub(super) type StepResult<T = ()> = Result<T, String>;

pub(super) const TIMEOUT: Duration = Duration::from_secs(30);
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(super) struct Scenario {
    pub(super) system: System,
    pub(super) calls: HashMap<String, JoinHandle<CallOutcome>>,
    pub(super) finished: HashMap<String, CallOutcome>,
    pub(super) keys: HashMap<String, String>,
    pub(super) load: Option<Load>,
    pub(super) outcomes: Vec<(Request, CallOutcome)>,
    pub(super) last_number: u64,
}

/// Runs the scenario at `path`.
pub(crate) fn run(path: &Path) -> StepResult {
    let text = fs::read_to_string(path).map_err(|e| e.to_string())?;
    let mut scenario: Option<Scenario> = None;
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let at = |e: String| format!("line {}: {line}: {e}", i + 1);
        let mut pairs = Grammar::parse(Rule::line, line).map_err(|e| at(e.to_string()))?;
        let statement = pairs.next().and_then(|l| l.into_inner().next());
        let statement = statement
            .and_then(|s| s.into_inner().next())
            .ok_or("statement missing")?;
        match (&mut scenario, statement.as_rule()) {
            (None, Rule::system) => scenario = Some(Scenario::new(&settings(statement))),
            (None, _) => return Err(at("the first statement must be `system`".into())),
            (Some(scenario), _) => scenario
                .execute(statement)
                .map_err(|e| format!("{}\n{}", at(e), scenario.system.logs()))?,
        }
    }
    Ok(())
}

pub(super) fn settings(pair: Pair<'_, Rule>) -> HashMap<String, String> {
    let pairs = pair.into_inner().filter(|p| p.as_rule() == Rule::setting);
    pairs
        .map(|s| {
            let mut parts = s.into_inner().map(|p| p.as_str().to_string());
            (
                parts.next().unwrap_or_default(),
                parts.next().unwrap_or_default(),
            )
        })
        .collect()
}

pub(super) fn number(settings: &HashMap<String, String>, name: &str, default: u64) -> u64 {
    settings.get(name).map_or(default, |v| v.parse().unwrap())
}

pub(super) fn time(text: &str) -> Duration {
    match text.strip_suffix("ms") {
        Some(ms) => Duration::from_millis(ms.parse().unwrap()),
        None => Duration::from_secs(text.trim_end_matches('s').parse().unwrap()),
    }
}

/// Text of each direct part of a statement, in order.
pub(super) fn words(pair: Pair<'_, Rule>) -> Vec<String> {
    pair.into_inner()
        .map(|p| p.as_str().trim().to_string())
        .collect()
}

impl Scenario {
    fn new(settings: &HashMap<String, String>) -> Scenario {
        let count = |name: &str, default: u64| number(settings, name, default) as usize;
        let spec = SystemSpec {
            entries: count("entries", 3),
            control: count("control", 3),
            engines: count("engines", 1),
            plain: count("plain", 0),
            ttl_ms: number(settings, "ttl", 1000),
            capacity: count("capacity", 16),
            group: count("group", 0) == 1,
            tls: false,
        };
        Scenario {
            system: System::new(spec),
            calls: HashMap::new(),
            finished: HashMap::new(),
            keys: HashMap::new(),
            load: None,
            outcomes: Vec::new(),
            last_number: 1000,
        }
    }

    fn execute(&mut self, pair: Pair<'_, Rule>) -> StepResult {
        match pair.as_rule() {
            Rule::start => self.start(&words(pair)),
            Rule::signal => self.signal(&words(pair)),
            Rule::wait => {
                thread::sleep(time(&words(pair)[0]));
                Ok(())
            }
            Rule::cuts => self.partition(&words(pair)),
            Rule::alike => self.numbered_command(pair),
            Rule::refuse => {
                let w = words(pair);
                let refusal = self.command("", &w[1], None)?;
                check_refusal(&refusal, Some(w[0].trim_matches('"')))
            }
            Rule::repeat => self.repeat(&words(pair)),
            Rule::call => self.call(pair),
            Rule::load => self.start_load(pair),
            Rule::unload => {
                let load = self.load.take().ok_or("there is no load")?;
                self.outcomes.extend(load.finish());
                Ok(())
            }
            Rule::fake => self.fake(&words(pair)),
            Rule::expect => self.expect(pair.into_inner().next().ok_or("expectation missing")?),
            _ => {
                let refusal = self.command("", pair.as_str(), None)?;
                check_refusal(&refusal, None)
            }
        }
    }

    fn start(&mut self, names: &[String]) -> StepResult {
        let all = names == ["all"];
        let names = if all {
            self.system.names()
        } else {
            names.to_vec()
        };
        for name in &names {
            self.system.start(name);
        }
        if all { self.wait_until_ready() } else { Ok(()) }
    }

    /// Waits until every entry has all backend servers serving and accepts idempotency keys.
    fn wait_until_ready(&mut self) -> StepResult {
        let backends = self
            .system
            .names()
            .iter()
            .filter(|n| n.starts_with('n'))
            .count();
        for entry in self.system.entries() {
            let query = "show backends where state = serving";
            self.wait_for_rows(&entry, query, backends, TIMEOUT)?;
        }
        let start = Instant::now();
        let service = match self.system.names().iter().any(|n| n == "n1") {
            true => "notice-gen",
            false => return Ok(()),
        };
        loop {
            let key = uuid::Uuid::now_v7().to_string();
            let request = self.request("e1", service, "ready?".into(), Some(key), 1, None);
            match send(&request) {
                CallOutcome::Whole => return Ok(()),
                other if start.elapsed() > TIMEOUT => return Err(format!("not ready: {other:?}")),
                _ => thread::sleep(POLL_INTERVAL * 4),
            }
        }
    }

    fn request(
        &self,
        entry: &str,
        service: &str,
        prompt: String,
        key: Option<String>,
        tokens: usize,
        deadline_ms: Option<u64>,
    ) -> Request {
        let (entry, service) = (self.system.caller_addr(entry), service.to_string());
        Request {
            entry,
            service,
            prompt,
            key,
            tokens,
            deadline_ms,
        }
    }

    fn signal(&mut self, words: &[String]) -> StepResult {
        let (verb, name) = (words[0].as_str(), words[1].as_str());
        match verb {
            "kill" => self.system.kill(name),
            "freeze" => self.system.freeze(name),
            "thaw" => self.system.thaw(name),
            "stop" => self.system.stop(name),
            _ => self.system.delete_data(name),
        }
        Ok(())
    }

    fn partition(&mut self, words: &[String]) -> StepResult {
        let mut partitions = self.system.partitions.lock().unwrap();
        match words {
            [] => {
                partitions.senders.clear();
                partitions.receivers.clear();
                partitions.pairs.clear();
            }
            [verb, a, b] if verb == "part" => {
                partitions.pairs.insert((a.clone(), b.clone()));
                partitions.pairs.insert((b.clone(), a.clone()));
            }
            [verb, name, ..] => {
                partitions.senders.insert(name.clone());
                if verb == "cut" {
                    partitions.receivers.insert(name.clone());
                }
            }
            _ => return Err("process name missing".into()),
        }
        Ok(())
    }

    /// Sends a command with a given operator, number and token, and checks its outcome.
    fn numbered_command(&mut self, pair: Pair<'_, Rule>) -> StepResult {
        let parts: Vec<_> = pair.into_inner().collect();
        let names: Vec<&str> = parts
            .iter()
            .filter(|p| p.as_rule() == Rule::name)
            .map(Pair::as_str)
            .collect();
        let part = |rule| {
            parts
                .iter()
                .find(|p| p.as_rule() == rule)
                .map_or("", |p| p.as_str())
        };
        let number = part(Rule::number).parse().map_err(|_| "invalid number")?;
        let entry = names.get(2).copied().unwrap_or("");
        let refusal = self.command(entry, part(Rule::order), Some((names[0], number, names[1])))?;
        let outcome = part(Rule::outcome);
        let reason = outcome.split('"').nth(1);
        check_refusal(&refusal, reason)
    }

    fn repeat(&mut self, words: &[String]) -> StepResult {
        let times: u64 = words[0].parse().map_err(|_| "invalid repeat count")?;
        for i in 1..=times {
            let refusal = self.command("", &words[1].replace("{i}", &i.to_string()), None)?;
            check_refusal(&refusal, None)?;
        }
        Ok(())
    }

    /// Sends a command; returns the reason of the refusal, `None` if accepted.
    fn command(
        &mut self,
        entry: &str,
        text: &str,
        numbered: Option<(&str, u64, &str)>,
    ) -> StepResult<Option<String>> {
        self.last_number += 1;
        let fresh = format!("t{}", self.last_number);
        let (operator, number, token) = numbered.unwrap_or(("scenario", self.last_number, &fresh));
        let body = json!({ "operator": operator, "number": number, "token": token, "text": text });
        let start = Instant::now();
        loop {
            let entry = match entry {
                "" => self.any_entry()?,
                named => named.to_string(),
            };
            match operators::post(&self.system, &entry, &body) {
                Ok((200, _)) => return Ok(None),
                Ok((409 | 400, value)) => {
                    let reason = value.get("reason").or(value.get("error"));
                    return Ok(Some(reason.map(Value::to_string).unwrap_or_default()));
                }
                // Outcome unknown: repeats the same command, as an operator would.
                _ if start.elapsed() < TIMEOUT => thread::sleep(POLL_INTERVAL),
                other => return Err(format!("command has no outcome: {other:?}")),
            }
        }
    }

    fn any_entry(&self) -> StepResult<String> {
        let entries = self.system.entries();
        let running: Vec<_> = entries
            .into_iter()
            .filter(|e| self.system.is_running(e))
            .collect();
        let next = self.last_number as usize % running.len().max(1);
        running
            .get(next)
            .cloned()
            .ok_or_else(|| "no entry runs".into())
    }

    /// Polls a query at one entry, or at any running entry, until it returns `count` rows.
    pub(super) fn wait_for_rows(
        &mut self,
        entry: &str,
        query: &str,
        count: usize,
        within: Duration,
    ) -> StepResult {
        let start = Instant::now();
        loop {
            let at = match entry {
                "" => self.any_entry()?,
                named => named.to_string(),
            };
            let left = within.saturating_sub(start.elapsed());
            let timeout = if entry.is_empty() {
                left.min(POLL_INTERVAL * 20)
            } else {
                left
            };
            let result = operators::wait_for_rows(&self.system, &at, query, count, timeout);
            if result.is_ok() || start.elapsed() >= within {
                return result;
            }
            self.last_number += 1;
        }
    }

    fn call(&mut self, pair: Pair<'_, Rule>) -> StepResult {
        let opts = settings(pair.clone());
        let w = words(pair);
        let (id, service, entry) = (w[0].clone(), w[1].clone(), w[2].clone());
        let key = opts.get("key").map(|name| {
            let fresh = || uuid::Uuid::now_v7().to_string();
            self.keys.entry(name.clone()).or_insert_with(fresh).clone()
        });
        let prompt = opts.get("prompt").cloned().unwrap_or_else(|| id.clone());
        let tokens = number(&opts, "tokens", 8) as usize;
        let deadline = opts.get("deadline").map(|d| d.parse().unwrap());
        let request = self.request(&entry, &service, prompt, key, tokens, deadline);
        self.calls.insert(id, thread::spawn(move || send(&request)));
        Ok(())
    }

    fn start_load(&mut self, pair: Pair<'_, Rule>) -> StepResult {
        let opts = settings(pair.clone());
        let names: Vec<String> = pair
            .into_inner()
            .filter(|p| p.as_rule() == Rule::name)
            .map(|p| p.as_str().to_string())
            .collect();
        let entries = names[1..]
            .iter()
            .map(|e| self.system.caller_addr(e))
            .collect();
        let (rate, tokens) = (
            number(&opts, "rate", 20),
            number(&opts, "tokens", 8) as usize,
        );
        let keyed = number(&opts, "keyed", 0) == 1;
        self.load = Some(Load::start(&names[0], entries, rate, tokens, keyed));
        Ok(())
    }

    fn fake(&mut self, words: &[String]) -> StepResult {
        let url = format!(
            "http://{}/fake/{}",
            self.system.fake_addr(&words[0]),
            words[1]
        );
        let body = words.get(2).cloned().unwrap_or_default();
        ureq::post(url)
            .send(body)
            .map(drop)
            .map_err(|e| e.to_string())
    }
}

fn check_refusal(refusal: &Option<String>, reason: Option<&str>) -> StepResult {
    match (refusal, reason) {
        (None, None) => Ok(()),
        (Some(got), Some(expected)) if got.contains(expected) => Ok(()),
        (Some(got), _) => Err(format!("refused: {got}")),
        (None, Some(_)) => Err("accepted, expected a refusal".into()),
    }
}
