//! The processes of the system.

use crate::ledger::Ledger;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Command of the deploy file, in the root of the repository.
const PROGRAM: &str = "target/release/linnetdriftd";

pub const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// A relay process. It is killed when it is dropped.
pub struct Relay {
    pub node: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    ledger: Arc<Ledger>,
}

/// A port that is free at this moment.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("bound")
}

impl Relay {
    /// Prepares the settings of a relay, with the fields of the template and the bounds of the pages.
    pub fn new(folder: &Path, zone: usize, store: SocketAddr, ledger: &Arc<Ledger>) -> Relay {
        let node = format!("edge-{}-1", ZONES[zone]);
        let (front, ready) = (free_address(), free_address());
        let (metrics, peers) = (free_address(), free_address());
        let places = ZONES.map(|zone| format!(r#"{{"region":"khomas","domain":"{zone}"}}"#));
        let text = format!(
            r#"{{
  "id": "{node}",
  "place": {{ "region": "khomas", "domain": "{}" }},
  "places": [{}],
  "listen": "{front}", "ready": "{ready}", "metrics": "{metrics}", "peers": "{peers}",
  "key": "linnetdrift relays",
  "weight": 0.19, "first_start": true, "memory_mb": 260,
  "repeats": {{ "ratio": 0.2, "slack": 52, "window_s": 10 }},
  "drain_ms": 2000, "grace_s": 8,
  "store": "{store}"
}}
"#,
            ZONES[zone],
            places.join(", ")
        );
        let settings = folder.join(format!("{node}.jsonc"));
        fs::write(&settings, text).expect("a temporary folder");
        let log = folder.join(format!("{node}.log"));
        Relay { node, front, ready, settings, log, child: None, ledger: ledger.clone() }
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .arg("relay")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.ledger.note(&format!("started {} as process {}", self.node, child.id()));
        self.child = Some(child);
        Ok(())
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
        ended.is_some()
    }

    /// Sends a signal by its name, with the shell's command.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            self.ledger.note(&format!("signal {name} to {}", self.node));
            let id = child.id().to_string();
            let _ = Command::new("kill").args(["-s", name, &id]).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the relay says that it is ready.
    pub fn wait_ready(&self, most: Duration) -> bool {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if crate::client::is_ready(self.ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A temporary folder that is removed when it is dropped, unless the variable KEEP is set.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("linnetdrift-review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
