//! Memory and descriptors of this process: their limits, what a host may use of them, and what it uses.
//!
//! The kernel or a supervisor ends a process that is over its memory, and one without a free descriptor
//! can neither take a connection nor open one. So everything that callers and other hosts can make grow
//! has a share of the limits, see [`Limits::shares`].

use {
    crate::{metric::Metrics, proxy::memory},
    derive_more::Display,
    prometheus_client::{
        collector::Collector,
        encoding::{DescriptorEncoder, EncodeMetric},
        metrics::{MetricType, gauge::ConstGauge},
    },
    rustix::process::{Resource, getrlimit},
    std::{
        fmt, fs, io,
        time::{Duration, SystemTime},
    },
};

/// Where the system tells the machine's memory.
const MEMORY_INFO: &str = "/proc/meminfo";
/// Where it tells the process's memory.
const PROCESS_STATUS: &str = "/proc/self/status";
/// Where it lists the process's open descriptors.
const DESCRIPTORS: &str = "/proc/self/fd";
/// Where it names the process's control group.
const CONTROL_GROUP: &str = "/proc/self/cgroup";
/// Where control groups are mounted.
const CONTROL_GROUPS: &str = "/sys/fs/cgroup";

/// Memory that is assumed where no limit can be read.
const DEFAULT_MEMORY: u64 = 160_000_000;
/// Descriptors that are assumed where no limit can be read: the usual soft limit.
const DEFAULT_DESCRIPTORS: u64 = 1_024;
/// Descriptors of the process itself: standard streams, the runtime's, listeners, calls to the platform.
const OWN_DESCRIPTORS: u64 = 24;
/// Least number of descriptors that are shared out.
const MIN_SHARED_DESCRIPTORS: u64 = 16;
/// Most memory that a connection from outside takes besides the leases of a ledger: 58 KB with half a
/// head, 66 KB with a part of a body, 50 KB with a stream whose caller doesn't read, as measured.
const CONNECTION_BYTES: u64 = 64 << 10;
/// Part of the memory that callers' connections may take.
const CONNECTIONS_SHARE: u64 = 3;
/// Part of the memory that other hosts' messages may take, and its bounds. A forwarded request of 4 MB takes
/// 8 MB until its answer ends.
const MESSAGES_SHARE: u64 = 4;
const MESSAGES_RANGE: (u64, u64) = (8 << 20, 256 << 20);
/// Most connections of callers, whatever the limits are.
const MAX_CALLERS: u64 = 60_000;

/// What sets a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Source {
    /// The settings of the host.
    #[display("settings")]
    Settings,
    /// The memory of the machine.
    #[display("machine")]
    Machine,
    /// The control group of the process.
    #[display("control group")]
    ControlGroup,
    /// The kernel's limit on the process's address space.
    #[display("address space")]
    AddressSpace,
    /// The kernel's limit on the process's data.
    #[display("data")]
    Data,
    /// The kernel's limit on the process's open files.
    #[display("open files")]
    OpenFiles,
    /// Nothing tells it.
    #[display("assumed")]
    Assumed,
}

/// A limit and what sets it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{value} ({source})")]
pub struct Limit {
    /// Bytes or number.
    pub value: u64,
    /// What sets it.
    pub source: Source,
}

impl Limit {
    /// The least of the limits that are known, else an assumed one.
    pub fn least(known: impl IntoIterator<Item = (Source, Option<u64>)>, assumed: u64) -> Self {
        let known = known.into_iter().filter_map(|(source, value)| {
            Some(Self {
                value: value?,
                source,
            })
        });
        known.min_by_key(|limit| limit.value).unwrap_or(Self {
            value: assumed,
            source: Source::Assumed,
        })
    }
}

/// Limits that the settings of a host name.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Setting {
    /// Most bytes of memory.
    pub memory: Option<u64>,
    /// Most descriptors.
    pub descriptors: Option<u64>,
}

/// The limits in force for this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of resident memory.
    pub memory: Limit,
    /// Most open descriptors.
    pub descriptors: Limit,
}

/// What parts of a host may use, which together is within its [`Limits`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shares {
    /// Most bytes of one ledger, of answers or of requests.
    pub ledger: usize,
    /// Most bytes of other hosts' messages.
    pub messages: usize,
    /// Most connections of callers.
    pub callers: usize,
    /// Most connections of other hosts.
    pub peers: usize,
    /// Most connections for directory lookups.
    pub directory: usize,
    /// Most connections to each page of the host itself, such as its health and its metrics.
    pub pages: usize,
}

impl Limits {
    /// The least limits that the settings, the kernel and the machine set.
    pub fn read(setting: Setting) -> Self {
        let memory = [
            (Source::Settings, setting.memory),
            (Source::Machine, machine_memory()),
            (Source::ControlGroup, control_group_memory()),
            (Source::AddressSpace, getrlimit(Resource::As).current),
            (Source::Data, getrlimit(Resource::Data).current),
        ];
        let descriptors = [
            (Source::Settings, setting.descriptors),
            (Source::OpenFiles, getrlimit(Resource::Nofile).current),
        ];
        Self {
            memory: Limit::least(memory, DEFAULT_MEMORY),
            descriptors: Limit::least(descriptors, DEFAULT_DESCRIPTORS),
        }
    }

    /// Logs the limits, what sets them, and what follows from them.
    pub fn log(&self) {
        let shares = self.shares();
        tracing::info!(event = "limits", memory = self.memory.value, memory_of = %self.memory.source,
            descriptors = self.descriptors.value, descriptors_of = %self.descriptors.source,
            ledger = shares.ledger, messages = shares.messages, callers = shares.callers,
            peers = shares.peers, directory = shares.directory, pages = shares.pages);
    }

    /// The shares of what a host accepts. A caller's connection may need another one to an upstream or to
    /// another host, so no fewer descriptors are left for these than callers' connections may take.
    pub fn shares(&self) -> Shares {
        let own = self.descriptors.value.saturating_sub(OWN_DESCRIPTORS);
        let sixteenth = own.max(MIN_SHARED_DESCRIPTORS) / 16;
        let by_memory = self.memory.value / CONNECTIONS_SHARE / CONNECTION_BYTES;
        let callers = by_memory.min(5 * sixteenth).clamp(4, MAX_CALLERS);
        let messages = self.memory.value / MESSAGES_SHARE;
        let messages = messages.clamp(MESSAGES_RANGE.0, MESSAGES_RANGE.1);
        Shares {
            ledger: memory::limit(self.memory.value),
            messages: messages as usize,
            callers: callers as usize,
            peers: (3 * sixteenth).clamp(3, MAX_CALLERS) as usize,
            directory: sixteenth.clamp(2, 512) as usize,
            pages: (sixteenth / 2).clamp(2, 64) as usize,
        }
    }

    /// Registers metrics of the process's limits and of what it uses, which are read as the page is
    /// rendered.
    pub fn register(self, metrics: &Metrics, started_at: SystemTime) {
        let since = started_at.duration_since(SystemTime::UNIX_EPOCH);
        let usage = Usage {
            limits: self,
            started_at: since.unwrap_or_default(),
        };
        metrics.register(|registry| registry.register_collector(Box::new(usage)));
    }
}

/// The machine's memory in bytes, as the system tells it.
fn machine_memory() -> Option<u64> {
    kibibytes_field(MEMORY_INFO, "MemTotal:")
        .inspect_err(|error| {
            tracing::warn!(event = "limits", %error, "the machine's memory is not known");
        })
        .ok()
}

/// The least limit of the process's control group and of those above it, if the kernel tells one.
fn control_group_memory() -> Option<u64> {
    let page = fs::read_to_string(CONTROL_GROUP).ok()?;
    let group = page.lines().find_map(|line| line.strip_prefix("0::/"))?;
    let ancestors = std::path::Path::new(group).ancestors();
    let limit = |group| {
        let path = std::path::Path::new(CONTROL_GROUPS).join(group);
        let text = fs::read_to_string(path.join("memory.max")).ok()?;
        text.trim().parse().ok()
    };
    ancestors.filter_map(limit).min()
}

/// A field of a page of the system in KiB, as bytes.
fn kibibytes_field(path: &str, name: &str) -> io::Result<u64> {
    let page = fs::read_to_string(path)?;
    let line = page.lines().find_map(|line| line.strip_prefix(name));
    let kibibytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kibibytes
        .map(|kibibytes| kibibytes.saturating_mul(1_024))
        .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, format!("no {name} in {path}")))
}

/// Metrics of what the process uses.
#[derive(Debug)]
struct Usage {
    limits: Limits,
    started_at: Duration,
}

impl Collector for Usage {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let resident = kibibytes_field(PROCESS_STATUS, "VmRSS:").ok();
        let peak = kibibytes_field(PROCESS_STATUS, "VmHWM:").ok();
        // Reading the list takes a descriptor itself.
        let open = fs::read_dir(DESCRIPTORS).map(|list| list.count().saturating_sub(1) as u64);
        let gauges = [
            ("resident_bytes", "Resident memory of the process", resident),
            (
                "resident_bytes_peak",
                "Most resident memory since the start",
                peak,
            ),
            (
                "resident_bytes_limit",
                "Most resident memory that the process may have",
                Some(self.limits.memory.value),
            ),
            (
                "open_descriptors",
                "Open descriptors of the process",
                open.ok(),
            ),
            (
                "open_descriptors_limit",
                "Most descriptors that the process may open",
                Some(self.limits.descriptors.value),
            ),
            (
                "start_time_seconds",
                "When the process started, as seconds of the epoch",
                Some(self.started_at.as_secs()),
            ),
        ];
        // What the system doesn't tell is left out.
        for (name, help, value) in gauges {
            let Some(value) = value else { continue };
            let metric = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
            ConstGauge::new(i64::try_from(value).unwrap_or(i64::MAX)).encode(metric)?;
        }
        Ok(())
    }
}
