//! Runs an entry host as a child process: picks its ports, starts and signals the daemon, waits for
//! its readiness, and reads its processor time and memory from `/proc`.

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

/// Limit on the time from a daemon's start until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two readiness checks.
const READY_POLL: Duration = Duration::from_millis(100);

/// Ports for daemons. They lie below the ephemeral range from which the system takes ports for
/// outgoing connections.
const PORTS: std::ops::Range<u16> = 20_000..32_000;

/// Distance between the first ports of two processes with neighbouring ids, so that test processes
/// that run at the same time rarely try the same ports.
const PORTS_PER_PROCESS: u16 = 120;

/// Index of the user time among the fields of `/proc/PID/stat` after the program's name.
const USER_TICKS_FIELD: usize = 11;

/// Clock ticks in a second, the unit of times in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Settings that become the command line and environment of a daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// Name of the host.
    pub name: String,
    /// Region of the host.
    pub region: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Address of its configuration service.
    pub platform: SocketAddr,
    /// File that its log is appended to.
    pub log: PathBuf,
    /// Its log filter.
    pub log_filter: String,
    /// Number of its worker threads; absent, Tokio's default.
    pub workers: Option<usize>,
}

/// A daemon process and its addresses, which stay the same over restarts.
#[derive(Debug)]
pub struct Daemon {
    /// Settings for each start.
    pub settings: Settings,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other hosts.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    child: Option<Child>,
}

/// A signal that the testbed sends to a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM, on which the daemon drains and exits.
    Term,
    /// SIGSTOP, which pauses the process.
    Stop,
    /// SIGCONT, which resumes the process.
    Cont,
}

impl Daemon {
    /// Picks addresses for a daemon and does not start it yet.
    pub fn new(settings: Settings) -> io::Result<Self> {
        Ok(Self {
            settings,
            listen: free_address()?,
            peer: free_address()?,
            admin: free_address()?,
            child: None,
        })
    }

    /// Starts the process and appends its log to the file in the settings.
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

    /// The process id; absent when it has not started or has been waited for.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref()?.id()
    }

    /// Waits until the daemon's `/readyz` succeeds; fails when the process exits or the limit
    /// passes.
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

    /// Kills the process and waits for its end.
    pub async fn kill(&mut self) -> io::Result<()> {
        match &mut self.child {
            Some(child) => child.kill().await,
            None => Ok(()),
        }
    }

    /// Sends a signal to the process, if it runs.
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

    /// Waits until the process exits; returns its exit status, or none when a signal ended it.
    pub async fn wait(&mut self) -> io::Result<Option<i32>> {
        match &mut self.child {
            Some(child) => Ok(child.wait().await?.code()),
            None => Ok(None),
        }
    }

    /// User and system time that the process has used, in seconds.
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

/// A loopback address with a free port outside of the ephemeral range.
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
    Err(io::Error::other(
        "no free port on 127.0.0.1 in the range of daemon ports",
    ))
}

/// Builds the daemon from this workspace, in the profile of the running program, and returns the
/// path of its executable.
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
        return Err(io::Error::other("`cargo build` of the daemon failed"));
    }
    let own = std::env::current_exe()?;
    Ok(own.with_file_name("greengagecleat"))
}
