//! Coordinators, gateways and scripted backend servers on this machine, as separate
//! processes on loopback.

// Each test program uses a part of these.
#[allow(dead_code)]
pub(crate) mod asking;
mod message;
#[allow(dead_code)]
pub(crate) mod mortal;
#[allow(dead_code)]
pub(crate) mod scripts;

pub(crate) use message::{Message, call, request};

use message::read_message;
use std::collections::HashMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const WITHIN: Duration = Duration::from_secs(20);

/// The example document, with its split route sent to one service alone.
pub(crate) fn document() -> String {
    let text = include_str!("../../../../platform/tests/document.json");
    text.replace("\"weight\": 10", "\"weight\": 0")
}

/// What a backend server does with a request: writes what it likes, then the connection
/// closes where it returns `false`.
#[allow(dead_code)]
pub(crate) type Script = fn(&Message, &mut TcpStream) -> bool;
/// The same with what it remembers.
type AnyScript = dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync;

/// A backend server that records what arrives.
#[derive(Clone)]
pub(crate) struct Backend {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) seen: Arc<Mutex<Vec<Message>>>,
}

impl Backend {
    pub(crate) fn start(
        id: &str,
        script: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Backend {
        let script: Arc<AnyScript> = Arc::new(script);
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let address = listener.local_addr().expect("address");
        let seen: Arc<Mutex<Vec<Message>>> = Arc::default();
        let record = seen.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, script) = (record.clone(), script.clone());
                thread::spawn(move || converse(stream, &record, &*script));
            }
        });
        Backend {
            id: id.into(),
            address,
            seen,
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.seen.lock().expect("seen").len()
    }
}

fn converse(mut stream: TcpStream, record: &Mutex<Vec<Message>>, script: &AnyScript) {
    let Ok(copy) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(copy);
    while let Some(request) = read_message(&mut reader, true) {
        // The coordinators ask engines for reports; only callers' requests count here.
        if request.headers.contains_key(bn_platform::header::ATTEMPT) {
            record.lock().expect("seen").push(request.clone());
        }
        if !script(&request, &mut stream) {
            return;
        }
    }
}

/// A running system. Its processes end with it.
pub(crate) struct Fleet {
    folder: TempDir,
    children: HashMap<String, Child>,
    ports: u16,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Fleet {
    /// Three coordinators and two gateways, ready, with the example document settled.
    /// `octet` keeps the loopback addresses of tests that run at once apart.
    pub(crate) fn start(octet: u8) -> Fleet {
        let fleet = Fleet::unsettled(octet);
        fleet.settle(&document());
        fleet.wait("gateways", |f| (4..=5).all(|n| f.ready(n)));
        fleet
    }

    /// The same before any document is settled.
    pub(crate) fn unsettled(octet: u8) -> Fleet {
        let mut fleet = Fleet {
            folder: TempDir::new().expect("folder"),
            children: HashMap::new(),
            ports: 20_000 + u16::from(octet) * 16,
        };
        for n in 1..=3 {
            fleet.run_coordinator(n, true);
        }
        for n in 4..=5 {
            fleet.run_gateway(n);
        }
        let listens = |f: &Fleet, n| f.read_document(n).is_some();
        fleet.wait("coordinators", |f| (1..=3).all(|n| listens(f, n)));
        fleet
    }

    /// Instances differ in their loopback address and share their ports.
    fn at(&self, n: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, 77, 0, n], self.ports + port))
    }

    fn seeds(&self) -> Vec<String> {
        (1..=3).map(|n| self.at(n, 2).to_string()).collect()
    }

    pub(crate) fn run_coordinator(&mut self, n: u8, first: bool) {
        let data = self.folder.path().join(format!("data{n}"));
        let settings = serde_json::json!({
            "id": format!("c{n}"), "domain": "d1", "inbox": self.at(n, 0).to_string(),
            "operators": self.at(n, 1).to_string(), "log": { "level": "info", "json": true },
            "coordinator": {
                "control": self.at(n, 2).to_string(), "directory": self.at(n, 3).to_string(),
                "seeds": self.seeds(), "first": first, "data": data, "losses": 1,
            },
        });
        self.run(&format!("c{n}"), &settings);
    }

    pub(crate) fn run_gateway(&mut self, n: u8) {
        let settings = serde_json::json!({
            "id": format!("g{n}"), "domain": "d1", "inbox": self.at(n, 0).to_string(),
            "operators": self.at(n, 1).to_string(), "log": { "level": "info", "json": true },
            "gateway": {
                "callers": self.at(n, 4).to_string(), "readiness": self.at(n, 5).to_string(),
                "directory": self.at(n, 6).to_string(),
                "seeds": self.seeds(), "grace_s": 4, "retry_ratio": 0.2, "retry_slack": 200,
                "retry_window_s": 10,
            },
        });
        self.run(&format!("g{n}"), &settings);
    }

    fn run(&mut self, id: &str, settings: &serde_json::Value) {
        let file = self.folder.path().join(format!("{id}.json"));
        std::fs::write(&file, settings.to_string()).expect("settings");
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.log(id))
            .expect("log");
        let child = Command::new(env!("CARGO_BIN_EXE_buckthornnotch"))
            .args(["run", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("start");
        self.children.insert(id.into(), child);
    }

    pub(crate) fn log(&self, id: &str) -> std::path::PathBuf {
        self.folder.path().join(format!("{id}.log"))
    }

    /// The last line that a process wrote of an event.
    #[allow(dead_code)]
    pub(crate) fn last_line(&self, id: &str, event: &str) -> String {
        let text = std::fs::read_to_string(self.log(id)).unwrap_or_default();
        let named = format!("\"event\":\"{event}\"");
        let line = text.lines().rev().find(|l| l.contains(&named));
        line.unwrap_or_default().to_string()
    }

    pub(crate) fn kill(&mut self, id: &str) {
        if let Some(mut child) = self.children.remove(id) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks a process to stop; it ends by itself.
    pub(crate) fn terminate(&mut self, id: &str) -> Option<Child> {
        let child = self.children.remove(id)?;
        let pid = nix::unistd::Pid::from_raw(child.id() as i32);
        nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGTERM).ok()?;
        Some(child)
    }

    pub(crate) fn empty_disk(&self, n: u8) {
        let _ = std::fs::remove_dir_all(self.folder.path().join(format!("data{n}")));
    }

    pub(crate) fn wait(&self, what: &str, reached: impl Fn(&Fleet) -> bool) {
        let until = Instant::now() + WITHIN;
        while !reached(self) {
            assert!(Instant::now() < until, "{what}: not within {WITHIN:?}");
            thread::sleep(Duration::from_millis(30));
        }
    }

    pub(crate) fn ready(&self, n: u8) -> bool {
        self.readiness(n) == Some(200)
    }

    /// A gateway answers, ready or not.
    #[allow(dead_code)]
    pub(crate) fn is_up(&self, n: u8) -> bool {
        self.readiness(n).is_some()
    }

    fn readiness(&self, n: u8) -> Option<u16> {
        let head = format!("GET {} HTTP/1.1\r\nhost: x", PATHS.ready);
        call(self.at(n, 5), &head, "").map(|m| m.status())
    }

    /// Sends a document until some coordinator takes it, as operators do.
    pub(crate) fn settle(&self, document: &str) {
        let put = |n| self.put_document(n, document) == 200;
        self.wait("document", |_| (1..=3).any(put));
    }

    pub(crate) fn put_document(&self, n: u8, document: &str) -> u16 {
        let head = format!("PUT {} HTTP/1.1\r\nhost: x", PATHS.document);
        call(self.at(n, 2), &head, document).map_or(0, |m| m.status())
    }

    pub(crate) fn read_document(&self, n: u8) -> Option<Message> {
        let head = format!("GET {} HTTP/1.1\r\nhost: x", PATHS.document);
        call(self.at(n, 2), &head, "")
    }

    /// What a coordinator, or a gateway, tells callers that ask where to connect.
    pub(crate) fn addresses(&self, n: u8) -> String {
        let head = format!("GET {}?name=x HTTP/1.1\r\nhost: x", PATHS.resolve);
        let port = if n <= 3 { 3 } else { 6 };
        call(self.at(n, port), &head, "").map_or(String::new(), |m| m.text())
    }

    /// Where a process shows its metrics and pages.
    #[allow(dead_code)]
    pub(crate) fn operators(&self, n: u8) -> SocketAddr {
        self.at(n, 1)
    }

    /// Where a coordinator takes documents and announcements.
    #[allow(dead_code)]
    pub(crate) fn control(&self, n: u8) -> SocketAddr {
        self.at(n, 2)
    }

    pub(crate) fn inbox(&self, n: u8) -> SocketAddr {
        self.at(n, 0)
    }

    pub(crate) fn callers(&self, n: u8) -> SocketAddr {
        self.at(n, 4)
    }

    /// Announces a backend server at a coordinator and waits until both gateways know.
    pub(crate) fn announce(&self, backend: &Backend, service: &str, state: &str, sequence: u64) {
        let head = format!("PUT {}{} HTTP/1.1\r\nhost: x", PATHS.backends, backend.id);
        let body = serde_json::json!({
            "service": service, "address": backend.address, "zone": "d1", "slots": 4,
            "state": state, "sequence": sequence,
        });
        let taken = call(self.at(2, 2), &head, &body.to_string());
        assert_eq!(taken.map(|m| m.status()), Some(200));
        self.knows(
            &backend.id,
            if state == "ready" {
                "Ready"
            } else {
                "Draining"
            },
        );
    }

    /// Sends an entry under an id to a coordinator; its status.
    pub(crate) fn put_entry(&self, n: u8, id: &str, entry: &str) -> u16 {
        let head = format!("PUT {}{id} HTTP/1.1\r\nhost: x", PATHS.backends);
        call(self.at(n, 2), &head, entry).map_or(0, |m| m.status())
    }

    pub(crate) fn leave(&self, backend: &Backend) {
        let head = format!(
            "DELETE {}{} HTTP/1.1\r\nhost: x",
            PATHS.backends, backend.id
        );
        let taken = call(self.at(1, 2), &head, "");
        assert_eq!(taken.map(|m| m.status()), Some(200));
        self.knows(&backend.id, "Gone");
    }

    fn knows(&self, id: &str, condition: &str) {
        let told = |log: &Path| {
            let text = std::fs::read_to_string(log).unwrap_or_default();
            text.lines()
                .any(|l| l.contains(id) && l.contains(condition))
        };
        self.wait(condition, |f| {
            ["g4", "g5"]
                .iter()
                .all(|g| !f.children.contains_key(*g) || told(&f.log(g)))
        });
    }

    /// A caller's request with the example account's key.
    pub(crate) fn ask(&self, n: u8, method: &str, path: &str, id: &str) -> Message {
        let head = request(method, path, id, "key-1");
        call(self.callers(n), &head, "body").unwrap_or_default()
    }
}

/// Paths of the calls that arrive at the system, as tests use them.
struct Paths {
    ready: String,
    document: String,
    resolve: String,
    backends: String,
}

static PATHS: std::sync::LazyLock<Paths> = std::sync::LazyLock::new(|| {
    let base = bn_platform::call::BASE;
    Paths {
        ready: format!("{base}readyz"),
        document: format!("{base}config"),
        resolve: format!("{base}resolve"),
        backends: format!("{base}replicas/"),
    }
});
