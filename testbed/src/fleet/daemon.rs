//! An entry host of the fleet: the real daemon as a child process.

use {
    crate::client::{Call, Caller},
    std::{
        fs::File,
        io,
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        path::{Path, PathBuf},
        process::Stdio,
        sync::atomic::{AtomicU16, Ordering},
        time::Duration,
    },
    tokio::{
        process::{Child, Command},
        time::{Instant, sleep},
    },
};

/// Longest time from a daemon's start until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two looks at a daemon's readiness.
const READY_POLL: Duration = Duration::from_millis(100);

/// Ports are picked here, below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 20_000..32_000;

/// Ports that lie between the first choices of two processes with neighbouring ids.
const PORTS_PER_PROCESS: u16 = 120;

/// Place of the user time among the fields of `/proc/PID/stat` that follow the program's name.
const USER_TICKS_FIELD: usize = 11;

/// Unit of the times in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// What a daemon is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The daemon's program.
    pub program: PathBuf,
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub domain: String,
    /// Its configuration service.
    pub platform: SocketAddr,
    /// Where its log goes.
    pub log: PathBuf,
    /// What it logs.
    pub log_filter: String,
    /// Its worker threads; absent, as many as it likes.
    pub workers: Option<usize>,
}

/// A daemon with its addresses, which hold over restarts.
#[derive(Debug)]
pub struct Daemon {
    /// What it is told at its start.
    pub settings: Settings,
    /// For callers.
    pub listen: SocketAddr,
    /// For peers.
    pub peer: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    child: Option<Child>,
}

/// A signal by its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Drain.
    Term,
    /// Pause.
    Stop,
    /// Go on.
    Cont,
}

impl Daemon {
    /// A daemon that does not run yet.
    pub fn new(settings: Settings) -> io::Result<Self> {
        Ok(Self {
            settings,
            listen: free_address()?,
            peer: free_address()?,
            admin: free_address()?,
            child: None,
        })
    }

    /// Starts the process; its log is appended to.
    pub fn start(&mut self) -> io::Result<()> {
        let settings = &self.settings;
        let log = File::options()
            .create(true)
            .append(true)
            .open(&settings.log)?;
        let mut command = Command::new(&settings.program);
        command
            .arg("serve")
            .args(["--name", &settings.name])
            .args(["--region", &settings.region])
            .args(["--domain", &settings.domain])
            .args(["--listen", &self.listen.to_string()])
            .args(["--peer-listen", &self.peer.to_string()])
            .args(["--admin-listen", &self.admin.to_string()])
            .args(["--platform", &settings.platform.to_string()])
            .args(["--log-filter", &settings.log_filter])
            .env("GREENGAGECLEAT_PEER_SECRET", "demo-peers")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true);
        if let Some(workers) = settings.workers {
            command.env("TOKIO_WORKER_THREADS", workers.to_string());
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// The process's id while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref()?.id()
    }

    /// Waits until the daemon says that it is ready.
    pub async fn wait_until_ready(&mut self) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let caller = Caller::new(None);
        while Instant::now() < deadline {
            let answer = caller.whole(self.admin, &Call::get("/readyz")).await;
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                return Ok(());
            }
            if let Some(child) = &mut self.child
                && let Some(status) = child.try_wait()?
            {
                return Err(self.start_error(&format!("ended with {status}")));
            }
            sleep(READY_POLL).await;
        }
        Err(self.start_error("did not become ready"))
    }

    fn start_error(&self, what: &str) -> io::Error {
        let settings = &self.settings;
        io::Error::other(format!(
            "host {} {what}; its log is {}",
            settings.name,
            settings.log.display()
        ))
    }

    /// Kills the process at once.
    pub async fn kill(&mut self) -> io::Result<()> {
        match &mut self.child {
            Some(child) => child.kill().await,
            None => Ok(()),
        }
    }

    /// Sends the process a signal.
    pub async fn signal(&self, signal: Signal) -> io::Result<()> {
        let Some(id) = self.id() else {
            return Ok(());
        };
        let name = match signal {
            Signal::Term => "-TERM",
            Signal::Stop => "-STOP",
            Signal::Cont => "-CONT",
        };
        Command::new("kill")
            .args([name, &id.to_string()])
            .status()
            .await?;
        Ok(())
    }

    /// Waits for the process's end after a drain; returns its exit status.
    pub async fn wait(&mut self) -> io::Result<Option<i32>> {
        match &mut self.child {
            Some(child) => Ok(child.wait().await?.code()),
            None => Ok(None),
        }
    }

    /// Processor time that the process has used, in seconds.
    pub fn processor_seconds(&self) -> Option<f64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id()?)).ok()?;
        let (_, fields) = stat.rsplit_once(')')?;
        let mut fields = fields.split_whitespace().skip(USER_TICKS_FIELD);
        let user: f64 = fields.next()?.parse().ok()?;
        let system: f64 = fields.next()?.parse().ok()?;
        Some((user + system) / TICKS_PER_SECOND)
    }

    /// Resident memory of the process in KiB.
    pub fn resident_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()?)).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.trim().split(' ').next()?.parse().ok()
    }
}

/// A loopback address whose port is free and stays out of the way of outgoing connections.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let count = PORTS.end - PORTS.start;
    let first = (std::process::id() % u32::from(count / PORTS_PER_PROCESS)) as u16;
    let first = first * PORTS_PER_PROCESS;
    for _ in 0..count {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + (first + offset) % count;
        let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no free port on loopback"))
}

/// Builds the daemon from this workspace as `cargo` does and returns its program.
pub async fn build() -> io::Result<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.current_dir(&root).args([
        "build",
        "--locked",
        "--package",
        "greengagecleat",
        "--bin",
        "greengagecleat",
    ]);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    if !command.status().await?.success() {
        return Err(io::Error::other("building the daemon failed"));
    }
    let own = std::env::current_exe()?;
    Ok(own.with_file_name("greengagecleat"))
}
