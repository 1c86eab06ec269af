//! What a script needs besides the stand-ins: its clock, the record, the hosts as processes of their
//! own, and callers.

use crate::{http, replica::Run};
use std::{
    fs::{self, File},
    io::{self, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// Ports of each host, as on the platform.
const FRONT: u16 = 8221;
const READY: u16 = 8224;
const CONTROL: u16 = 8229;
const DIRECTORY: u16 = 8220;

/// A request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Sent {
    pub at: Duration,
    pub ended_at: Duration,
    pub id: String,
    pub label: String,
    pub host: String,
    /// Status; 0 where no whole answer came.
    pub status: u16,
}

#[derive(Debug, Default)]
struct Seen {
    runs: Vec<Run>,
    sent: Vec<Sent>,
    notes: Vec<(Duration, String)>,
}

#[derive(Debug, Clone)]
pub struct Trial {
    began: Instant,
    seen: Arc<Mutex<Seen>>,
    ids: Arc<AtomicU64>,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    net: (u8, u8),
    folder: PathBuf,
}

impl Sent {
    /// Whether a whole answer with success came.
    pub fn is_whole(&self) -> bool {
        self.status == 200
    }
}

impl Trial {
    /// A trial on a free range of loopback addresses.
    pub fn new() -> io::Result<Self> {
        let process = std::process::id();
        // `run.sh` makes this folder, and removes it.
        let folder = std::env::var_os("REVIEW_TMP")
            .ok_or_else(|| io::Error::other("REVIEW_TMP is not set"))?;
        let folder = PathBuf::from(folder);
        let mut net = None;
        for step in 0..200 {
            let number = process.wrapping_mul(31).wrapping_add(step * 97);
            let candidate = (20 + (number % 200) as u8, (number / 200 % 250) as u8);
            let is_free = (1..12).all(|host| {
                let ip = IpAddr::V4(Ipv4Addr::new(127, candidate.0, candidate.1, host));
                TcpListener::bind((ip, FRONT)).is_ok()
            });
            if is_free {
                net = Some(candidate);
                break;
            }
        }
        Ok(Self {
            began: Instant::now(),
            seen: Arc::default(),
            ids: Arc::default(),
            has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
            net: net.ok_or_else(|| io::Error::other("no free loopback addresses"))?,
            folder,
        })
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net.0, self.net.1, host))
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }

    pub fn sleep_until(&self, at: Duration) {
        thread::sleep(at.saturating_sub(self.now()));
    }

    pub fn note(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:8.3} {text}", self.now().as_secs_f64());
        self.seen.lock().unwrap().notes.push((self.now(), text));
    }

    pub fn record_run(&self, run: Run) {
        self.seen.lock().unwrap().runs.push(run);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.seen.lock().unwrap().runs.clone()
    }

    pub fn sent(&self) -> Vec<Sent> {
        self.seen.lock().unwrap().sent.clone()
    }

    /// Sends one request on a new connection and notes what came back.
    pub fn ask(
        &self,
        host: &Endpoint,
        label: &str,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        deadline: Duration,
    ) -> Sent {
        let number = self.ids.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", std::process::id());
        let millis = deadline.as_millis().to_string();
        let mut all = vec![
            ("Host", "calls.example"),
            ("X-Request-Id", &*id),
            ("X-Deadline-Ms", &*millis),
        ];
        all.extend_from_slice(headers);
        let at = self.now();
        let answer = http::call(host.front, method, target, &all, body, deadline);
        let sent = Sent {
            at,
            ended_at: self.now(),
            id,
            label: label.to_owned(),
            host: host.name.clone(),
            status: answer.map_or(0, |answer| answer.status()),
        };
        self.seen.lock().unwrap().sent.push(sent.clone());
        sent
    }

    /// Sends a request for a stream on a new connection, and reads it until its end or a break. Returns
    /// what was seen and the text of the whole events.
    pub fn ask_stream(
        &self,
        host: &Endpoint,
        label: &str,
        target: &str,
        headers: &[(&str, &str)],
        deadline: Duration,
    ) -> (Sent, String, bool) {
        let number = self.ids.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", std::process::id());
        let millis = deadline.as_millis().to_string();
        let mut all = vec![
            ("Host", "calls.example"),
            ("X-Request-Id", &*id),
            ("X-Deadline-Ms", &*millis),
        ];
        all.extend_from_slice(headers);
        let at = self.now();
        let (status, text, is_whole) = http::stream(host.front, target, &all, deadline);
        let whole_events = text
            .rfind("\n\n")
            .map_or("", |end| &text[..end + 2])
            .to_owned();
        let sent = Sent {
            at,
            ended_at: self.now(),
            id,
            label: label.to_owned(),
            host: host.name.clone(),
            status,
        };
        self.seen.lock().unwrap().sent.push(sent.clone());
        (sent, whole_events, is_whole)
    }

    /// Writes `record.txt` in the case's folder, which is the current one.
    pub fn write_record(&self) -> io::Result<()> {
        let seen = self.seen.lock().unwrap();
        let mut lines = Vec::new();
        for (at, text) in &seen.notes {
            lines.push((*at, format!("note {text}")));
        }
        for sent in &seen.sent {
            let Sent {
                id, label, host, ..
            } = sent;
            lines.push((sent.at, format!("sent {id} {label} to {host}")));
            let status = match sent.status {
                0 => "no whole answer".to_owned(),
                status => status.to_string(),
            };
            lines.push((sent.ended_at, format!("answered {id} {label}: {status}")));
        }
        for run in &seen.runs {
            let Run {
                id,
                replica,
                tenant,
                start,
                ..
            } = run;
            lines.push((
                run.at,
                format!("run {id} for {tenant} at {replica}, start {start}"),
            ));
        }
        lines.sort();
        let mut record = File::create("record.txt")?;
        for (at, line) in lines {
            writeln!(record, "{:8.3} {line}", at.as_secs_f64())?;
        }
        Ok(())
    }
}

/// Where callers reach a host.
#[derive(Debug, Clone)]
pub struct Endpoint {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

/// A host as a process of its own, killed when dropped.
#[derive(Debug)]
pub struct Host {
    pub endpoint: Endpoint,
    child: Child,
}

/// Bounds of the settings, as on the users' small site.
const BOUNDS: &str = "  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 5000\n  ack_ms: 6000\n  catchup_s: 4\n  \
    drain_ms: 3000\n  grace_s: 8\n  loss_slack_ms: 200\n  config_apply_ms: 3000\n  rollback_slack_ms: 250\n  \
    max_stretch_ms: 8000\n  revoke_strict: false\n  revoke_ms: 5000\n  retry_ratio: 0.2\n  retry_window_s: 10\n  \
    retry_slack: 52\n  quota_window_s: 8\n  quota_overage: 0.25\n  quota_slack: 110000\n  cold_overage: 1.5\n  \
    cold_slack: 3\n  evac_ms: 5000\n  recover_s: 12\n  pass_ms: 600\n  retry_after_s: 10\n  ttl_max_s: 5\n";

impl Host {
    /// Starts the host with this number in a zone. `zones` are all zones with their regions; `seeds`
    /// are numbers of hosts.
    pub fn start(
        trial: &Trial,
        number: u8,
        zone: &str,
        zones: &[(&str, &str)],
        seeds: &[u8],
        store: SocketAddr,
    ) -> io::Result<Self> {
        let region = zones.iter().find(|(name, _)| *name == zone);
        let region = region.map_or("", |(_, region)| *region);
        let name = format!("front-{zone}-{number}");
        let address = |port| trial.address(number, port);
        let endpoint = Endpoint {
            name: name.clone(),
            front: address(FRONT),
            ready: address(READY),
        };
        let zone_lines: String = zones
            .iter()
            .map(|(zone, region)| format!("  {zone}: \"{region}\"\n"))
            .collect();
        let seed_lines: String = seeds
            .iter()
            .map(|seed| format!("  - \"{}\"\n", trial.address(*seed, CONTROL)))
            .collect();
        let settings = format!(
            "node: \"{name}\"\nrole: \"entry\"\nclass: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\n  \
             - \"directory\"\nip: \"{}\"\nzone: \"{zone}\"\nregion: \"{region}\"\nzones:\n{zone_lines}\
             listen:\n  front: \"{}\"\n  ready: \"{}\"\n  control: \"{}\"\n  directory: \"{}\"\n\
             port_range:\n  - 7600\n  - 7615\nseeds:\n{seed_lines}bootstrap: true\nbeat_ms: 1200\n\
             bounds:\n{BOUNDS}platform:\n  addr: \"{store}\"\n  form: \"read\"\n  reads_per_s: 2000\n  \
             history_s: 20\n  value_bytes: 1048576\n",
            trial.ip(number),
            address(FRONT),
            address(READY),
            address(CONTROL),
            address(DIRECTORY),
        );
        let path = trial.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings)?;
        let log = File::create(trial.folder.join(format!("{name}.log")))?;
        let root = std::env::var_os("REVIEW_ROOT")
            .ok_or_else(|| io::Error::other("REVIEW_ROOT is not set"))?;
        // The command of the deploy file.
        let child = Command::new("target/release/greengagecleat-platform")
            .args(["--metrics", "7615/metrics"])
            .current_dir(root)
            .env("GREENGAGECLEAT_SETTINGS", path)
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()?;
        // `run.sh` ends what is left when it is stopped itself.
        let pids = trial.folder.join("pids");
        let mut pids = File::options().create(true).append(true).open(pids)?;
        writeln!(pids, "{}", child.id())?;
        Ok(Self { endpoint, child })
    }

    /// Waits until the host says that it is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> io::Result<()> {
        let until = Instant::now() + limit;
        let second = Duration::from_secs(1);
        while Instant::now() < until {
            let headers = [("Host", "ready")];
            let target = "/greengagecleat/readyz";
            let answer = http::call(self.endpoint.ready, "GET", target, &headers, b"", second);
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("a host is not ready"))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
