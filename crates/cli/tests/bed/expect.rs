//! What a scenario expects: ends of calls, the records' judgement, rows, maps.

use super::calls::{Ask, Fate};
use super::run::{Done, PAUSE, Play, READY, Rule, number, settings, time, words};
use pest::iterators::Pair;
use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

impl Play {
    pub(super) fn expect(&mut self, pair: Pair<'_, Rule>) -> Done {
        let rule = pair.as_rule();
        let set = settings(pair.clone());
        let names: Vec<String> = words(pair.clone());
        match rule {
            Rule::called => self.called(&names),
            Rule::runs => self.runs(&names[0], names[1].parse().unwrap()),
            Rule::rows => {
                let count = names[0].parse().unwrap();
                let (entry, rest) = match names.len() {
                    4 => (names[1].as_str(), &names[2..]),
                    _ => ("", &names[1..]),
                };
                self.rows(entry, &rest[1], count, time(&rest[0]))
            }
            Rule::stopped => self.system.stopped(&names[0], time(&names[1])),
            Rule::idle => self.idle(&names[0], time(&names[1])),
            Rule::judged => self.judged(&set),
            _ => self.maps(&names[0], time(&names[1])),
        }
    }

    fn called(&mut self, words: &[String]) -> Done {
        let (id, wanted) = (&words[0], words[1].as_str());
        if let Some(call) = self.calls.remove(id) {
            let start = Instant::now();
            let within = words.get(2).map_or(READY, |t| time(t));
            while !call.is_finished() {
                if start.elapsed() > within {
                    return Err(format!("no end within {within:?}"));
                }
                thread::sleep(Duration::from_millis(5));
            }
            self.ended.insert(id.clone(), call.join().unwrap());
        }
        let fate = self.ended.get(id).ok_or("there is no such call")?;
        let fits = matches!(
            (wanted, fate),
            ("whole", Fate::Whole)
                | ("not-run", Fate::NotRun(_))
                | ("may-have-run", Fate::MayHaveRun(_))
                | ("cut", Fate::Cut(_))
        );
        if fits {
            Ok(())
        } else {
            Err(format!("it is {fate:?}"))
        }
    }

    /// How often the backend servers started work under a key.
    fn runs(&self, key: &str, count: usize) -> Done {
        let key = self.keys.get(key).ok_or("no call had this key")?;
        let lines = self.system.records();
        let runs = lines
            .iter()
            .filter(|l| l.event == "start" && l.key == *key)
            .count();
        if runs == count {
            Ok(())
        } else {
            Err(format!("it ran {runs} times"))
        }
    }

    /// A backend server starts nothing for a while.
    fn idle(&self, backend: &str, during: Duration) -> Done {
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
            n => Err(format!("{n} new requests")),
        }
    }

    /// The records judge every outcome of the load: nothing refused as not run ran,
    /// no key ran twice, nobody got another's answer; `cut=` and `refused=` bound how
    /// many answers were cut and refused, `least=` and `most=` how many were whole.
    fn judged(&mut self, bounds: &HashMap<String, String>) -> Done {
        let lines = self.system.records();
        let runs = |a: &Ask| {
            let its = |p: &str| p == a.prompt;
            lines
                .iter()
                .filter(|l| l.event == "start" && its(&l.prompt))
                .count()
        };
        let (mut cut, mut refused, mut whole) = (0, 0, 0);
        for (ask, fate) in &self.outcomes {
            let ran = runs(ask);
            let wrong = match fate {
                Fate::Wrong(text) => Some(format!("it got another answer: {text}")),
                Fate::NotRun(_) if ran > 0 => Some("it was told not-run and ran".into()),
                Fate::Whole if ran == 0 => Some("it was answered and never ran".into()),
                _ if ask.key.is_some() && ran > 1 => Some(format!("it ran {ran} times")),
                _ => None,
            };
            if let Some(wrong) = wrong {
                return Err(format!("{}: {wrong}: {fate:?}", ask.prompt));
            }
            match fate {
                Fate::Cut(_) => cut += 1,
                Fate::Whole => whole += 1,
                _ => refused += 1,
            }
        }
        let bound = |name| number(bounds, name, u64::MAX);
        let (least, most) = (number(bounds, "least", 1), bound("most"));
        if whole < least || whole > most {
            return Err(format!("{whole} whole, {refused} refused, {cut} cut"));
        }
        if cut > bound("cut") || refused > bound("refused") {
            let others = self
                .outcomes
                .iter()
                .filter(|(_, f)| *f != Fate::Whole)
                .take(3);
            let shown: Vec<_> = others.map(|(_, f)| format!("{f:?}")).collect();
            return Err(format!(
                "{whole} whole, {refused} refused, {cut} cut: {shown:?}"
            ));
        }
        self.outcomes.clear();
        Ok(())
    }

    /// No step of a group ran on two maps, and its latest steps ran on `version`.
    fn maps(&self, version: &str, within: Duration) -> Done {
        let version: u64 = version.parse().map_err(|_| "which version?")?;
        let start = Instant::now();
        loop {
            let mut maps: HashMap<u64, u64> = HashMap::new();
            let mut latest: HashMap<String, u64> = HashMap::new();
            for line in self.system.records().iter().filter(|l| l.event == "step") {
                let first = *maps.entry(line.step).or_insert(line.map);
                if first != line.map {
                    return Err(format!(
                        "step {} ran on {first} and {}",
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
            thread::sleep(PAUSE);
        }
    }
}
