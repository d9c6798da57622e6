//! A small system of separate processes on its own loopback network.

use super::proxy::{self, SharedPartitions};
use bn_fake::Line;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;

const INBOX_PORT: u16 = 7000;
const LISTEN_PORT: u16 = 7001;
const CALLER_PORT: u16 = 7100;
const OPERATOR_PORT: u16 = 7200;
const FAKE_PORT: u16 = 7500;
/// Covers one second of steps, so that switches complete quickly.
const GRANT_STEPS: u64 = 200;
const DOMAINS: [&str; 3] = ["gulberg", "anarkali", "johar"];
/// Key of the client account that all scenarios use.
pub(crate) const KEY: &str = "key-a1";

static NEXT_NETWORK: AtomicU8 = AtomicU8::new(1);

/// Number and kind of the processes of a system.
#[derive(Debug, Clone)]
pub(crate) struct SystemSpec {
    pub(crate) entries: usize,
    pub(crate) control: usize,
    pub(crate) engines: usize,
    pub(crate) plain: usize,
    /// How long callers cache addresses, in milliseconds.
    pub(crate) ttl_ms: u64,
    pub(crate) capacity: usize,
    /// The engines are the ranks of one lock-step group.
    pub(crate) group: bool,
    /// Callers and operators connect over TLS.
    pub(crate) tls: bool,
}

impl Default for SystemSpec {
    fn default() -> SystemSpec {
        SystemSpec {
            entries: 3,
            control: 3,
            engines: 0,
            plain: 0,
            ttl_ms: 1000,
            capacity: 16,
            group: false,
            tls: false,
        }
    }
}

struct Process {
    arguments: Vec<String>,
    child: Option<Child>,
}

/// Finds a loopback network that no other test uses and reserves it by listening on it.
fn reserve_network() -> (String, TcpListener) {
    loop {
        let n = NEXT_NETWORK.fetch_add(1, Ordering::Relaxed);
        let ip = format!("127.{}.{n}", 64 + std::process::id() % 128);
        if let Ok(reservation) = TcpListener::bind(format!("{ip}.251:{LISTEN_PORT}")) {
            return (ip, reservation);
        }
    }
}

pub(crate) struct System {
    _reservation: TcpListener,
    pub(crate) dir: TempDir,
    ip: String,
    spec: SystemSpec,
    processes: BTreeMap<String, Process>,
    pub(crate) partitions: SharedPartitions,
}

/// Number in a process name: `e2` is entry 2, `g3` agent 3, `n3` the backend server of agent 3.
fn index(name: &str) -> usize {
    name[1..]
        .parse()
        .unwrap_or_else(|_| panic!("{name} is not a process name"))
}

impl System {
    pub(crate) fn new(spec: SystemSpec) -> System {
        let (ip, reservation) = reserve_network();
        let dir = tempfile::tempdir().unwrap();
        let mut system = System {
            _reservation: reservation,
            dir,
            ip,
            spec,
            processes: BTreeMap::new(),
            partitions: SharedPartitions::default(),
        };
        system.write_seed();
        for i in 1..=system.spec.entries {
            system.add_entry(i);
        }
        for i in 1..=system.spec.engines + system.spec.plain {
            system.add_backend(i);
        }
        system
    }

    fn host(&self, name: &str) -> String {
        let offset = match &name[..1] {
            "e" => 0,
            "g" => 100,
            _ => 200,
        };
        format!("{}.{}", self.ip, offset + index(name))
    }

    fn address(&self, name: &str, port: u16) -> String {
        format!("{}:{port}", self.host(name))
    }

    pub(crate) fn caller_addr(&self, entry: &str) -> String {
        self.address(entry, CALLER_PORT)
    }

    pub(crate) fn inbox_addr(&self, process: &str) -> String {
        self.address(process, INBOX_PORT)
    }

    /// An address that no process of the system uses.
    pub(crate) fn unused_addr(&self, i: usize) -> String {
        format!("{}.250:{}", self.ip, 7000 + 10 * i)
    }

    pub(crate) fn operator_addr(&self, process: &str) -> String {
        self.address(process, OPERATOR_PORT)
    }

    pub(crate) fn fake_addr(&self, backend: &str) -> String {
        self.address(backend, FAKE_PORT)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    fn write_seed(&self) {
        let mut text = String::from(
            "create service notice-gen engine=true;\n\
             create service kiosk-ctl engine=false repeatable=false;\n",
        );
        text += &format!("create account a1 key={KEY} rate=100000 top=urgent;\n");
        if self.spec.group {
            let ranks = self.spec.engines;
            text += &format!("create group ga service=notice-gen ranks={ranks} experts=8;\n");
        }
        for i in 1..=self.spec.entries {
            let name = format!("e{i}");
            let (callers, inbox) = (self.caller_addr(&name), self.address(&name, INBOX_PORT));
            let domain = DOMAINS[(i - 1) % DOMAINS.len()];
            text +=
                &format!("create entry {name} domain={domain} callers={callers} inbox={inbox};\n");
            if i <= self.spec.control {
                text += &format!("create member {name} inbox={inbox};\n");
            }
        }
        fs::write(self.path("seed.bn"), text).unwrap();
    }

    /// Path of the certificate that callers and operators trust.
    pub(crate) fn certificate(&self) -> PathBuf {
        self.path("cert.pem")
    }

    fn write_certificate(&self, name: &str) {
        let generated = rcgen::generate_simple_self_signed([self.host(name)]).unwrap();
        fs::write(self.certificate(), generated.cert.pem()).unwrap();
        fs::write(self.path("key.pem"), generated.signing_key.serialize_pem()).unwrap();
    }

    fn control_inboxes(&self) -> Vec<String> {
        (1..=self.spec.control)
            .map(|i| self.address(&format!("e{i}"), INBOX_PORT))
            .collect()
    }

    fn add_entry(&mut self, i: usize) {
        let name = format!("e{i}");
        let mut settings = self.settings(&name);
        settings["entry"] = json!({
            "callers": self.caller_addr(&name), "control": self.control_inboxes(),
            "addresses_ttl_ms": self.spec.ttl_ms,
        });
        if self.spec.tls {
            self.write_certificate(&name);
            settings["tls"] = json!({ "cert": self.certificate(), "key": self.path("key.pem") });
        }
        if i <= self.spec.control {
            let peer = |n: usize| {
                let id = format!("e{n}");
                json!({ "inbox": self.address(&id, INBOX_PORT), "id": id })
            };
            let peers: Vec<Value> = (1..=self.spec.control).map(peer).collect();
            settings["control"] = json!({
                "data": self.path(&format!("{name}.data")), "peers": peers,
                "seed": self.path("seed.bn"), "grant_steps": GRANT_STEPS,
            });
        }
        self.add_node(&name, &settings);
    }

    fn add_backend(&mut self, i: usize) {
        let (agent, backend) = (format!("g{i}"), format!("n{i}"));
        let mut settings = self.settings(&agent);
        let entries: Vec<String> = (1..=self.spec.entries)
            .map(|e| self.address(&format!("e{e}"), INBOX_PORT))
            .collect();
        settings["agent"] = json!({ "entries": entries });
        self.add_node(&agent, &settings);
        let engine = i <= self.spec.engines;
        let (kind, service) = if engine {
            ("engine", "notice-gen")
        } else {
            ("plain", "kiosk-ctl")
        };
        let mut arguments: Vec<String> = [
            "fake",
            "--kind",
            kind,
            "--service",
            service,
            "--name",
            &backend,
        ]
        .map(Into::into)
        .into();
        arguments.extend([
            format!("--listen={}", self.fake_addr(&backend)),
            format!("--agent={}", self.operator_addr(&agent)),
            format!("--record={}", self.record_path(&backend).display()),
            format!("--capacity={}", self.spec.capacity),
        ]);
        if engine && self.spec.group {
            arguments.extend(["--group=ga".into(), format!("--rank={}", i - 1)]);
            arguments.push("--record-steps".into());
        }
        self.processes.insert(
            backend,
            Process {
                arguments,
                child: None,
            },
        );
    }

    fn settings(&self, name: &str) -> Value {
        json!({
            "id": name, "domain": DOMAINS[(index(name) - 1) % DOMAINS.len()],
            "inbox": self.address(name, INBOX_PORT), "listen": self.address(name, LISTEN_PORT),
            "operators": self.operator_addr(name),
            "log": { "level": "info", "events": self.path(&format!("{name}.events")) },
        })
    }

    fn add_node(&mut self, name: &str, settings: &Value) {
        let file = self.path(&format!("{name}.json"));
        fs::write(&file, settings.to_string()).unwrap();
        let address = |port| self.address(name, port).parse().unwrap();
        proxy::start(
            name,
            address(INBOX_PORT),
            address(LISTEN_PORT),
            &self.partitions,
        );
        let arguments = vec![
            "run".into(),
            "--settings".into(),
            file.display().to_string(),
        ];
        self.processes.insert(
            name.into(),
            Process {
                arguments,
                child: None,
            },
        );
    }

    pub(crate) fn names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    pub(crate) fn entries(&self) -> Vec<String> {
        (1..=self.spec.entries).map(|i| format!("e{i}")).collect()
    }

    pub(crate) fn start(&mut self, name: &str) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.path(&format!("{name}.log")));
        let process = self
            .processes
            .get_mut(name)
            .unwrap_or_else(|| panic!("unknown process {name}"));
        assert!(process.child.is_none(), "{name} is already running");
        let child = Command::new(env!("CARGO_BIN_EXE_buckthornnotch"))
            .args(&process.arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.unwrap())
            .spawn();
        process.child = Some(child.unwrap());
    }

    fn child(&mut self, name: &str) -> &mut Child {
        let child = self.processes.get_mut(name).and_then(|p| p.child.as_mut());
        child.unwrap_or_else(|| panic!("{name} is not running"))
    }

    fn signal(&mut self, name: &str, signal: Signal) {
        let pid = Pid::from_raw(self.child(name).id() as i32);
        kill(pid, signal).unwrap();
    }

    pub(crate) fn kill(&mut self, name: &str) {
        self.signal(name, Signal::SIGKILL);
        self.child(name).wait().unwrap();
        self.processes.get_mut(name).unwrap().child = None;
    }

    pub(crate) fn freeze(&mut self, name: &str) {
        self.signal(name, Signal::SIGSTOP);
    }

    pub(crate) fn thaw(&mut self, name: &str) {
        self.signal(name, Signal::SIGCONT);
    }

    pub(crate) fn stop(&mut self, name: &str) {
        self.signal(name, Signal::SIGTERM);
    }

    /// Waits for a process to exit; fails unless its exit code is 0.
    pub(crate) fn wait_for_exit(&mut self, name: &str, within: Duration) -> Result<(), String> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child(name).try_wait().unwrap() {
                self.processes.get_mut(name).unwrap().child = None;
                return match status.success() {
                    true => Ok(()),
                    false => Err(format!("{name} exited with {status}")),
                };
            }
            if start.elapsed() > within {
                return Err(format!("{name} is still running after {within:?}"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub(crate) fn delete_data(&self, name: &str) {
        fs::remove_dir_all(self.path(&format!("{name}.data"))).unwrap();
    }

    pub(crate) fn is_running(&self, name: &str) -> bool {
        self.processes.get(name).is_some_and(|p| p.child.is_some())
    }

    fn record_path(&self, backend: &str) -> PathBuf {
        self.path(&format!("{backend}.record"))
    }

    /// Everything that a fake backend server recorded.
    pub(crate) fn record(&self, backend: &str) -> Vec<Line> {
        let text = fs::read_to_string(self.record_path(backend)).unwrap_or_default();
        text.lines()
            .filter_map(|l| serde_json::from_str(l).ok())
            .collect()
    }

    /// Records of all backend servers.
    pub(crate) fn records(&self) -> Vec<Line> {
        let backends = self.processes.keys().filter(|n| n.starts_with('n'));
        backends.flat_map(|n| self.record(n)).collect()
    }

    /// The last lines of every log, shown when a scenario fails.
    pub(crate) fn logs(&self) -> String {
        let tail = |name: &String| {
            let text = fs::read_to_string(self.path(&format!("{name}.log"))).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            let from = lines.len().saturating_sub(25);
            format!("== {name}\n{}\n", lines[from..].join("\n"))
        };
        self.processes.keys().map(tail).collect()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            if let Some(mut child) = process.child.take() {
                let _ = (child.kill(), child.wait());
            }
        }
    }
}
