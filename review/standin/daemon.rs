//! The platform's part: fills the settings template and starts the program of the deploy file.

use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// Settings that are the same on all machines of a case.
pub struct Site {
    /// Zones, each with its region.
    pub zones: Vec<(&'static str, &'static str)>,
    /// Bounds as the settings hold them.
    pub bounds: Vec<(&'static str, &'static str)>,
    pub memory_mb: u64,
    pub descriptors: u64,
}

/// A machine with its process, which ends with this value.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn value(text: &str) -> String {
    match text.parse::<f64>() {
        Ok(_) => text.to_owned(),
        Err(_) => format!("\"{text}\""),
    }
}

/// Lowest port that is tried, and number of ports. They lie below those that the system gives
/// to outgoing connections.
const PORTS: (u32, u32) = (20_000, 10_000);

/// Returns a port that is free for TCP and UDP.
fn free_port() -> io::Result<u16> {
    static TRIED: AtomicU32 = AtomicU32::new(0);
    for _ in 0..PORTS.1 {
        let next = std::process::id() * 97 + TRIED.fetch_add(1, Ordering::SeqCst);
        let address = ("127.0.0.1", (PORTS.0 + next % PORTS.1) as u16);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address.1);
        }
    }
    Err(io::Error::other("no port is free"))
}

impl Daemon {
    /// Writes the settings of a machine into `folder`, by the template of the deploy file.
    pub fn new(
        folder: &Path,
        site: &Site,
        name: &str,
        zone: &str,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let (front, ready, peer) = (free_port()?, free_port()?, free_port()?);
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let mut text = std::fs::read_to_string("platform/settings.json")?;
        let zones: Vec<String> = site
            .zones
            .iter()
            .map(|(zone, region)| format!("\"{zone}\":\"{region}\""))
            .collect();
        let mut fields = vec![
            ("{{Node|json}}".to_owned(), format!("\"{name}\"")),
            ("{{Zone|json}}".to_owned(), format!("\"{zone}\"")),
            (
                "{{Zones|json}}".to_owned(),
                format!("{{{}}}", zones.join(",")),
            ),
            (
                "{{Listen.Front|json}}".to_owned(),
                format!("\"{}\"", address(front)),
            ),
            (
                "{{Listen.Ready|json}}".to_owned(),
                format!("\"{}\"", address(ready)),
            ),
            ("{{Ip}}".to_owned(), "127.0.0.1".to_owned()),
            ("{{InternalPorts.0}}".to_owned(), peer.to_string()),
            (
                "{{Platform.Address|json}}".to_owned(),
                format!("\"{store}\""),
            ),
            (
                "{{Limits.MemoryMb|json}}".to_owned(),
                site.memory_mb.to_string(),
            ),
            (
                "{{Limits.MaxFds|json}}".to_owned(),
                site.descriptors.to_string(),
            ),
        ];
        for (bound, text) in &site.bounds {
            fields.push((format!("{{{{Bounds.{bound}|json}}}}"), value(text)));
        }
        for (field, value) in fields {
            text = text.replace(&field, &value);
        }
        if let Some(at) = text.find("{{") {
            let rest: String = text[at..].chars().take(40).collect();
            return Err(io::Error::other(format!(
                "the template has a field without a value: {rest}"
            )));
        }
        let settings = folder.join(format!("{name}.json"));
        std::fs::write(&settings, text)?;
        Ok(Self {
            name: name.to_owned(),
            front: address(front),
            ready: address(ready),
            settings,
            child: None,
        })
    }

    /// Starts the program with the words of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        let deploy = std::fs::read_to_string("deploy/system.toml")?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""));
        let run = run.and_then(|line| line.strip_suffix('"'));
        let run = run.ok_or_else(|| io::Error::other("the deploy file has no run line"))?;
        let mut words = run.split(' ');
        let program = words.next().unwrap_or_default();
        let log = File::create(self.settings.with_extension("log"))?;
        let child = Command::new(program)
            .args(words)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("PISTACHIOMOOR_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let status = self.child.as_mut().map(Child::try_wait);
        !matches!(status, Some(Ok(None)))
    }

    fn is_ready(&self) -> bool {
        let request = Message {
            start: "GET /api/readiness HTTP/1.1".to_owned(),
            ..Message::default()
        };
        let request = request.with("Host", self.ready);
        let response = http::call(self.ready, &request, Duration::from_secs(1));
        response.is_ok_and(|response| response.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> io::Result<()> {
        let end = Instant::now() + limit;
        while !self.is_ready() {
            if Instant::now() > end {
                return Err(io::Error::other(format!(
                    "{} does not get ready",
                    self.name
                )));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }
}
