//! The `expect` statements of a scenario: call outcomes, recorded work, query rows, expert maps.

use super::calls::{CallOutcome, Request};
use super::run::{
    POLL_INTERVAL, Rule, Scenario, StepResult, TIMEOUT, number, settings, time, words,
};
use pest::iterators::Pair;
use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

impl Scenario {
    pub(super) fn expect(&mut self, pair: Pair<'_, Rule>) -> StepResult {
        let rule = pair.as_rule();
        let opts = settings(pair.clone());
        let args: Vec<String> = words(pair.clone());
        match rule {
            Rule::called => self.expect_call(&args),
            Rule::runs => self.expect_runs(&args[0], args[1].parse().unwrap()),
            Rule::rows => {
                let count = args[0].parse().unwrap();
                let (entry, rest) = match args.len() {
                    4 => (args[1].as_str(), &args[2..]),
                    _ => ("", &args[1..]),
                };
                self.wait_for_rows(entry, &rest[1], count, time(&rest[0]))
            }
            Rule::stopped => self.system.wait_for_exit(&args[0], time(&args[1])),
            Rule::idle => self.expect_idle(&args[0], time(&args[1])),
            Rule::judged => self.check_outcomes(&opts),
            _ => self.expect_map(&args[0], time(&args[1])),
        }
    }

    fn expect_call(&mut self, args: &[String]) -> StepResult {
        let (id, expected) = (&args[0], args[1].as_str());
        if let Some(call) = self.calls.remove(id) {
            let start = Instant::now();
            let within = args.get(2).map_or(TIMEOUT, |t| time(t));
            while !call.is_finished() {
                if start.elapsed() > within {
                    return Err(format!("call {id} has no outcome after {within:?}"));
                }
                thread::sleep(Duration::from_millis(5));
            }
            self.finished.insert(id.clone(), call.join().unwrap());
        }
        let outcome = self.finished.get(id).ok_or("there is no such call")?;
        let matches = matches!(
            (expected, outcome),
            ("whole", CallOutcome::Whole)
                | ("not-run", CallOutcome::NotRun(_))
                | ("may-have-run", CallOutcome::MayHaveRun(_))
                | ("cut", CallOutcome::Cut(_))
        );
        if matches {
            Ok(())
        } else {
            Err(format!("expected {expected}, got {outcome:?}"))
        }
    }

    /// Checks how often the backend servers started a request with this key.
    fn expect_runs(&self, key: &str, count: usize) -> StepResult {
        let key = self.keys.get(key).ok_or("no call used this key")?;
        let lines = self.system.records();
        let runs = lines
            .iter()
            .filter(|l| l.event == "start" && l.key == *key)
            .count();
        if runs == count {
            Ok(())
        } else {
            Err(format!("started {runs} times, expected {count}"))
        }
    }

    /// Checks that a backend server starts no request for a while.
    fn expect_idle(&self, backend: &str, during: Duration) -> StepResult {
        let starts = || {
            self.system
                .record(backend)
                .iter()
                .filter(|l| l.event == "start")
                .count()
        };
        let before = starts();
        thread::sleep(during);
        match starts() - before {
            0 => Ok(()),
            n => Err(format!("{backend} started {n} requests")),
        }
    }

    /// Compares every outcome of the load with the records: no request refused as not run was
    /// started, no key was started twice, no caller got another's answer. `cut=` and `refused=` are
    /// upper limits for interrupted and refused answers, `least=` and `most=` bound complete ones.
    fn check_outcomes(&mut self, bounds: &HashMap<String, String>) -> StepResult {
        let lines = self.system.records();
        let runs = |r: &Request| {
            let same_prompt = |p: &str| p == r.prompt;
            lines
                .iter()
                .filter(|l| l.event == "start" && same_prompt(&l.prompt))
                .count()
        };
        let (mut cut, mut refused, mut whole) = (0, 0, 0);
        for (request, outcome) in &self.outcomes {
            let ran = runs(request);
            let violation = match outcome {
                CallOutcome::Wrong(text) => Some(format!("wrong answer: {text}")),
                CallOutcome::NotRun(_) if ran > 0 => Some("refused as not-run but started".into()),
                CallOutcome::Whole if ran == 0 => Some("answered but never started".into()),
                _ if request.key.is_some() && ran > 1 => Some(format!("started {ran} times")),
                _ => None,
            };
            if let Some(violation) = violation {
                return Err(format!("{}: {violation}: {outcome:?}", request.prompt));
            }
            match outcome {
                CallOutcome::Cut(_) => cut += 1,
                CallOutcome::Whole => whole += 1,
                _ => refused += 1,
            }
        }
        let bound = |name| number(bounds, name, u64::MAX);
        let (least, most) = (number(bounds, "least", 1), bound("most"));
        if whole < least || whole > most {
            return Err(format!("{whole} whole, {refused} refused, {cut} cut"));
        }
        if cut > bound("cut") || refused > bound("refused") {
            let failures = self
                .outcomes
                .iter()
                .filter(|(_, f)| *f != CallOutcome::Whole)
                .take(3);
            let examples: Vec<_> = failures.map(|(_, f)| format!("{f:?}")).collect();
            return Err(format!(
                "{whole} whole, {refused} refused, {cut} cut: {examples:?}"
            ));
        }
        self.outcomes.clear();
        Ok(())
    }

    /// Waits until the latest steps of a group use map `version`; fails if any step used two maps.
    fn expect_map(&self, version: &str, within: Duration) -> StepResult {
        let version: u64 = version.parse().map_err(|_| "map version is not a number")?;
        let start = Instant::now();
        loop {
            let mut maps: HashMap<u64, u64> = HashMap::new();
            let mut latest: HashMap<String, u64> = HashMap::new();
            for line in self.system.records().iter().filter(|l| l.event == "step") {
                let first = *maps.entry(line.step).or_insert(line.map);
                if first != line.map {
                    return Err(format!(
                        "step {} used maps {first} and {}",
                        line.step, line.map
                    ));
                }
                latest.insert(line.attempt.clone(), line.map);
            }
            if !latest.is_empty() && latest.values().all(|m| *m == version) {
                return Ok(());
            }
            if start.elapsed() > within {
                return Err(format!("maps in use: {latest:?}"));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}
