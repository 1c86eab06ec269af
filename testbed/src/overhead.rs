//! Measures what one host adds: latency against the same load sent directly to an engine stand-in,
//! requests a second of one core, and memory for each connection.

use {
    crate::{
        client::{Call, Caller},
        engine::{self, Engine},
        fleet::daemon::{self, Daemon},
        load::{self, Measurement, Summary},
        platform::{self, Platform},
        seen::KEY_PREFIX,
    },
    futures::future::try_join_all,
    greengagecleat::key::Digest,
    serde::{Deserialize, Serialize},
    serde_json::json,
    std::{
        fmt::{self, Display, Formatter},
        io,
        net::SocketAddr,
        path::PathBuf,
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        time::{Instant, sleep},
    },
};

/// Measured rounds of each load, after one round for warm-up. Rounds with and without the host
/// alternate.
const ROUNDS: usize = 10;

/// Requests in a round, and connections over which they are sent.
const ROUND_REQUESTS: usize = 2_000;
const ROUND_CONNECTIONS: usize = 4;

/// Requests and connections of the throughput measurement.
const THROUGHPUT_REQUESTS: usize = 40_000;
const THROUGHPUT_CONNECTIONS: usize = 64;

/// Idle connections and open streams that memory is measured with.
const IDLE_CONNECTIONS: usize = 10_000;
const STREAMS: usize = 1_000;

/// File descriptors that a process needs besides those of the connections.
const SPARE_FILES: usize = 500;

/// Tokens of an answer whose latency is measured, and of a stream that is kept open.
const ANSWER_TOKENS: u32 = 16;
const OPEN_STREAM_TOKENS: u32 = 1_000_000;

/// Time between tokens of a stream that is kept open.
const OPEN_STREAM_STEP: Duration = Duration::from_millis(500);

/// Limit on the time until the host serves its customer.
const SERVE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time that connections stay open before memory is read.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Settings of a measurement.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// File that the host's log is appended to.
    pub log: PathBuf,
    /// Log filter of the host.
    pub log_filter: String,
}

/// Results of the measurement.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Overhead {
    /// Number of processors available to this process.
    pub processors: usize,
    /// One-minute load average when the measurement began; NaN if unknown.
    pub load_average: f64,
    /// Latency of answers in one piece.
    pub plain: Compared,
    /// Latency of streams.
    pub streamed: Compared,
    /// Throughput of a host with one worker thread.
    pub rush: Throughput,
    /// Memory of the host with idle connections.
    pub idle: Memory,
    /// Memory of the host with open streams.
    pub streams: Memory,
}

/// The same load sent directly to the engine and through the host.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Compared {
    /// Directly to the engine stand-in.
    pub straight: Summary,
    /// Through the host to the same engine.
    pub through: Summary,
}

/// Throughput of a host with one worker thread under a closed loop.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Throughput {
    /// Requests a second through the host.
    pub per_second: f64,
    /// Requests for each second of the host's processor time.
    pub per_core_second: f64,
    /// Requests a second directly to the engine stand-in.
    pub straight_per_second: f64,
}

/// The host's memory without and with a number of connections.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Memory {
    /// Number of connections; fewer than asked for where the limit on open files requires it.
    pub connections: usize,
    /// Resident memory before they were opened, in KiB.
    pub before_kib: u64,
    /// Resident memory while they are open, in KiB.
    pub with_kib: u64,
}

impl Memory {
    /// Additional resident memory for each connection, in KiB.
    pub fn each_kib(&self) -> f64 {
        self.with_kib.saturating_sub(self.before_kib) as f64 / self.connections.max(1) as f64
    }
}

/// One host with a platform and an engine stand-in.
#[derive(Debug)]
struct Bench {
    host: Daemon,
    engine: engine::Running,
    _platform: platform::Running,
}

/// Runs all measurements and prints which one is running. Latency, throughput, idle connections
/// and streams each have a new host.
pub async fn measure(settings: &Settings) -> io::Result<Overhead> {
    let mut overhead = Overhead {
        processors: std::thread::available_parallelism().map_or(0, usize::from),
        load_average: load_average(),
        ..Overhead::default()
    };
    println!("added time: {ROUNDS} rounds of {ROUND_REQUESTS} requests each way");
    let bench = Bench::start(settings, engine::Settings::instant(), None).await?;
    overhead.plain = bench.compare(&chat_call(false, ANSWER_TOKENS)).await;
    overhead.streamed = bench.compare(&chat_call(true, ANSWER_TOKENS)).await;
    drop(bench);
    println!("requests a second: one worker thread, {THROUGHPUT_CONNECTIONS} connections");
    let bench = Bench::start(settings, engine::Settings::instant(), Some(1)).await?;
    overhead.rush = bench.measure_throughput().await;
    drop(bench);
    println!("memory: {IDLE_CONNECTIONS} idle connections");
    let bench = Bench::start(settings, engine::Settings::instant(), None).await?;
    overhead.idle = bench.measure_idle().await?;
    drop(bench);
    println!("memory: {STREAMS} streams");
    let held = engine::Settings {
        step: OPEN_STREAM_STEP,
        ..engine::Settings::instant()
    };
    let bench = Bench::start(settings, held, None).await?;
    overhead.streams = bench.measure_streams().await?;
    Ok(overhead)
}

fn chat_call(stream: bool, max_tokens: u32) -> Call {
    let body = json!({
        "model": "small", "stream": stream, "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": "What does a host add?"}],
    });
    Call::post("/v1/chat/completions", &body)
        .header("authorization", &format!("Bearer {KEY_PREFIX}overhead"))
}

impl Bench {
    async fn start(
        settings: &Settings,
        engine: engine::Settings,
        workers: Option<usize>,
    ) -> io::Result<Self> {
        let engine = Engine::start(engine).await?;
        let platform = Platform::start(platform::Settings::default()).await?;
        let mut host = Daemon::new(daemon::Settings {
            program: settings.program.clone(),
            name: "alone-1".to_owned(),
            region: "alone".to_owned(),
            domain: "alone-a".to_owned(),
            platform: platform.address,
            log: settings.log.clone(),
            log_filter: settings.log_filter.clone(),
            workers,
        })?;
        publish(&platform, &host, engine.address);
        host.start()?;
        host.wait_until_ready().await?;
        let bench = Self {
            host,
            engine,
            _platform: platform,
        };
        bench.wait_until_served().await?;
        Ok(bench)
    }

    /// Waits until the host answers a call of its customer.
    async fn wait_until_served(&self) -> io::Result<()> {
        let deadline = Instant::now() + SERVE_TIMEOUT;
        while Instant::now() < deadline {
            let once = load::closed_loop(self.host.listen, &chat_call(false, 1), 1, 1).await;
            if once.good == 1 {
                return Ok(());
            }
            sleep(Duration::from_millis(200)).await;
        }
        Err(io::Error::other(
            "the host does not serve its customer; see its log",
        ))
    }

    async fn compare(&self, call: &Call) -> Compared {
        let (mut straight, mut through) = (Measurement::default(), Measurement::default());
        for round in 0..=ROUNDS {
            let one = self.round(self.engine.address, call).await;
            let other = self.round(self.host.listen, call).await;
            if round > 0 {
                straight.add(&one);
                through.add(&other);
            }
        }
        Compared {
            straight: straight.summary(),
            through: through.summary(),
        }
    }

    async fn round(&self, to: SocketAddr, call: &Call) -> Measurement {
        load::closed_loop(to, call, ROUND_CONNECTIONS, ROUND_REQUESTS).await
    }

    async fn measure_throughput(&self) -> Throughput {
        let call = chat_call(false, 1);
        let rush = |to: SocketAddr| {
            let call = call.clone();
            async move {
                load::closed_loop(to, &call, THROUGHPUT_CONNECTIONS, THROUGHPUT_REQUESTS).await
            }
        };
        let straight = rush(self.engine.address).await;
        let before = self.host.processor_seconds().unwrap_or_default();
        let through = rush(self.host.listen).await;
        let after = self.host.processor_seconds().unwrap_or_default();
        Throughput {
            per_second: through.summary().per_second,
            per_core_second: through.good as f64 / (after - before).max(f64::EPSILON),
            straight_per_second: straight.summary().per_second,
        }
    }

    async fn measure_idle(&self) -> io::Result<Memory> {
        let connections = IDLE_CONNECTIONS.min(allowed_files().saturating_sub(SPARE_FILES));
        let before_kib = self.resident_kib();
        let mut open = Vec::new();
        for _ in 0..connections {
            open.push(open_idle_connection(self.host.listen).await?);
        }
        sleep(SETTLE_TIME).await;
        Ok(Memory {
            connections,
            before_kib,
            with_kib: self.resident_kib(),
        })
    }

    async fn measure_streams(&self) -> io::Result<Memory> {
        let connections = STREAMS.min(allowed_files().saturating_sub(SPARE_FILES) / 2);
        let before_kib = self.resident_kib();
        let call = chat_call(true, OPEN_STREAM_TOKENS);
        let caller = Caller::new(None);
        let opening = (0..connections).map(|_| caller.send(self.host.listen, &call));
        let open = try_join_all(opening).await?;
        for response in &open {
            let status = response.status();
            if !status.is_success() {
                return Err(io::Error::other(format!(
                    "a stream was answered with status {status}"
                )));
            }
        }
        sleep(SETTLE_TIME).await;
        Ok(Memory {
            connections,
            before_kib,
            with_kib: self.resident_kib(),
        })
    }

    fn resident_kib(&self) -> u64 {
        self.host.resident_kib().unwrap_or_default()
    }
}

/// Opens a connection, sends one small request and returns the connection still open.
async fn open_idle_connection(to: SocketAddr) -> io::Result<TcpStream> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = TcpStream::connect(to).await?;
    let request = format!("GET /v1/hosts HTTP/1.1\r\nhost: {to}\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut answer = [0; 2048];
    if stream.read(&mut answer).await? == 0 {
        return Err(io::Error::other("the host closed an idle connection"));
    }
    Ok(stream)
}

fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split(' ').next();
    first.and_then(|word| word.parse().ok()).unwrap_or(f64::NAN)
}

/// Limit on open files of this process; the host inherits it.
fn allowed_files() -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"));
    let soft = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    soft.unwrap_or(1024)
}

fn publish(platform: &platform::Running, host: &Daemon, engine: SocketAddr) {
    let digest = Digest::of(format!("{KEY_PREFIX}overhead").as_bytes());
    platform.publish(
        "routes",
        "[[route]]\nname = \"small\"\nkind = \"model\"\nmodel = \"small\"\npools = [\"only\"]\ndeadline_ms = 600000\n",
    );
    platform.publish(
        "pools",
        &format!("[[pool]]\nname = \"only\"\nregion = \"alone\"\nslots = 4096\nresume = true\nupstream = [{{ name = \"engine-1\", address = \"{engine}\", domain = \"alone-a\" }}]\n"),
    );
    platform.publish(
        "customers",
        &format!(
            "[[customer]]\nname = \"overhead\"\nkeys = [\"{digest}\"]\nrate = 1e12\nburst = 1e12\n"
        ),
    );
    let entry = platform::Host {
        name: host.settings.name.clone(),
        kind: platform::Kind::Entry,
        address: host.listen,
        peer_address: Some(host.peer),
        region: host.settings.region.clone(),
        domain: host.settings.domain.clone(),
        pool: None,
        state: platform::State::Live,
    };
    platform.hosts(platform::Hosts { hosts: vec![entry] });
}

impl Display for Overhead {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (processors, load) = (self.processors, self.load_average);
        writeln!(f, "Machine: {processors} processors, load average {load}")?;
        writeln!(
            f,
            "Added time, ms            straight     through       added   ratio"
        )?;
        for (name, compared) in [("one piece", self.plain), ("stream", self.streamed)] {
            let (straight, through) = (compared.straight.whole_ms, compared.through.whole_ms);
            write_comparison(f, &format!("{name}, 50 in 100"), straight.p50, through.p50)?;
            write_comparison(f, &format!("{name}, 99 in 100"), straight.p99, through.p99)?;
            let failed = compared.straight.bad + compared.through.bad;
            if failed > 0 {
                writeln!(f, "  {failed} requests failed")?;
            }
        }
        let rush = self.rush;
        writeln!(
            f,
            "\nRequests a second, one worker thread: {:.0}; for each second of its processor time: {:.0}; straight to the stand-in: {:.0} (ratio {:.2})",
            rush.per_second,
            rush.per_core_second,
            rush.straight_per_second,
            rush.per_second / rush.straight_per_second.max(f64::EPSILON)
        )?;
        for (name, memory) in [
            ("idle connections", self.idle),
            ("open streams", self.streams),
        ] {
            writeln!(
                f,
                "Memory with {} {name}: {} KiB, {} KiB before; {:.1} KiB each",
                memory.connections,
                memory.with_kib,
                memory.before_kib,
                memory.each_kib()
            )?;
        }
        Ok(())
    }
}

fn write_comparison(f: &mut Formatter<'_>, name: &str, straight: f64, through: f64) -> fmt::Result {
    let (added, ratio) = (through - straight, through / straight.max(f64::EPSILON));
    writeln!(
        f,
        "  {name:<22} {straight:>9.3}   {through:>9.3}   {added:>9.3}   {ratio:>5.2}"
    )
}
