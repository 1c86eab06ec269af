//! Runs hosts on an in-memory network under paused time, with scripted upstreams, and keeps a
//! transcript of the session.

use {
    crate::platform,
    greengagecleat::{
        clock::Clock,
        entry::Entry,
        limit::Timing,
        net::{Listener, Memory, Network, Stream},
        settings::Settings,
    },
    std::{
        collections::VecDeque,
        io::{self, Write},
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, SystemTime},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        time::{Instant, sleep},
    },
    tracing::subscriber::DefaultGuard,
    tracing_subscriber::fmt::MakeWriter,
};

/// Time in which a host reads its configuration and the host list.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Start of a request for a load report. These requests come every second and are left out of
/// transcripts.
const LOAD_REQUEST: &str = "GET /load ";
/// Response of scripted upstreams to a request for a load report.
const LOAD_ANSWER: &[u8] = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";

/// A clock whose wall time is constant.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FixedClock {
    origin: Instant,
}

impl Clock for FixedClock {
    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_secs(1_790_000_000)
    }
}

/// One step of a scripted upstream's response.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    /// Sends text, with `{id}` replaced by the request's id.
    Send(&'static str),
    /// Waits for a time.
    Wait(Duration),
    /// Closes the connection.
    Cut,
}

/// The text of the golden file: titled sections of bytes and the log.
#[derive(Debug, Clone, Default)]
pub(crate) struct Transcript(Arc<Mutex<String>>);

impl Transcript {
    pub(crate) fn section(&self, title: &str, text: &str) {
        let mut whole = self.0.lock().unwrap();
        whole.push_str(&format!("== {title}\n"));
        for line in text.replace("\r\n", "\n").lines() {
            let line = if line.starts_with("date: ") {
                "date: [now]"
            } else {
                line
            };
            whole.push_str(&format!("{line}\n"));
        }
        whole.push('\n');
    }
}

/// A log writer that collects lines in memory.
#[derive(Debug, Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Write for Log {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Log {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// One session: the network, the platform and the transcript.
pub(crate) struct Bench {
    pub(crate) network: Network,
    pub(crate) transcript: Transcript,
    pub(crate) platform: platform::Script,
    log: Log,
    _logging: DefaultGuard,
}

impl Bench {
    pub(crate) async fn start() -> Self {
        let log = Log::default();
        let subscriber = tracing_subscriber::fmt()
            .with_writer(log.clone())
            .with_ansi(false)
            .without_time()
            .with_max_level(tracing::Level::INFO)
            .finish();
        let network = Network::Memory(Memory::new());
        let platform = platform::Script::start(&network).await;
        Self {
            network,
            transcript: Transcript::default(),
            platform,
            log,
            _logging: tracing::subscriber::set_default(subscriber),
        }
    }

    /// Starts a host and adds it to the host list.
    pub(crate) async fn host(&self, name: &str, region: &str, octet: u8) -> Entry<FixedClock> {
        let at = |port| SocketAddr::from(([10, 0, 0, octet], port));
        let settings = Settings {
            name: name.into(),
            region: region.into(),
            domain: format!("{region}-1").into(),
            listen: at(80),
            peer_listen: at(90),
            advertise: None,
            peer_advertise: None,
            admin_listen: at(100),
            platform: platform::ADDRESS,
            peer_secret: "a test's secret".into(),
            region_hosts: 1,
            limit: Timing::default(),
            drain_limit: Duration::from_secs(30),
            drain_grace: Duration::from_secs(3),
            body_limit: 64 * 1024,
        };
        self.platform.list_entry(name, region, at(80), at(90));
        let clock = FixedClock {
            origin: Instant::now(),
        };
        Entry::start_on(self.network.clone(), self.network.clone(), settings, clock)
            .await
            .expect("the host starts")
    }

    /// Waits until every host has read its configuration.
    pub(crate) async fn settle(&self) {
        sleep(SETTLE_TIME).await;
    }

    /// Starts an upstream that follows a script with one list of steps for each request.
    pub(crate) async fn upstream(
        &self,
        name: &'static str,
        address: SocketAddr,
        script: Vec<Vec<Step>>,
    ) {
        let listener = self.network.bind(address).await.expect("a free address");
        let script = Arc::new(Mutex::new(VecDeque::from(script)));
        tokio::spawn(serve(name, listener, script, self.transcript.clone()));
    }

    /// Sends a caller's bytes and records what it receives until the host closes the connection.
    pub(crate) async fn call(&self, title: &str, to: SocketAddr, bytes: &str) -> String {
        self.transcript
            .section(&format!("{title}: caller's bytes in"), bytes);
        let mut stream = self.network.connect(to).await.expect("the host listens");
        stream.write_all(bytes.as_bytes()).await.expect("sent");
        let mut answer = Vec::new();
        let ended = stream.read_to_end(&mut answer).await;
        let mut answer = String::from_utf8(answer).expect("text");
        if let Err(error) = ended {
            answer.push_str(&format!("\n[connection: {error}]"));
        }
        self.transcript
            .section(&format!("{title}: caller's bytes out"), &answer);
        answer
    }

    /// Ends the session and returns its transcript with the log.
    pub(crate) fn finish(self) -> String {
        let log = String::from_utf8(self.log.0.lock().unwrap().clone()).expect("text");
        self.transcript.section("log", &log);
        self.transcript.0.lock().unwrap().clone()
    }
}

type Script = Arc<Mutex<VecDeque<Vec<Step>>>>;

async fn serve(name: &'static str, mut listener: Listener, script: Script, transcript: Transcript) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(answer_requests(
            name,
            stream,
            script.clone(),
            transcript.clone(),
        ));
    }
}

/// Responds to the requests of one connection as the script says.
async fn answer_requests(
    name: &'static str,
    mut stream: Stream,
    script: Script,
    transcript: Transcript,
) {
    while let Some(request) = read_request(&mut stream).await {
        if request.starts_with(LOAD_REQUEST) {
            stream.write_all(LOAD_ANSWER).await.ok();
            continue;
        }
        transcript.section(&format!("{name}: bytes seen"), &request);
        let moves = script.lock().unwrap().pop_front();
        let Some(moves) = moves else {
            return transcript.section(name, "[no more script: closes]");
        };
        let id = header(&request, "x-request-id")
            .unwrap_or_default()
            .to_owned();
        for step in moves {
            match step {
                Step::Send(text) => {
                    let text = text.replace("{id}", &id);
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return transcript.section(name, "[the host had closed]");
                    }
                }
                Step::Wait(time) => sleep(time).await,
                Step::Cut => return,
            }
        }
    }
}

/// Reads one request as text; `None` when the connection closed.
pub(crate) async fn read_request(stream: &mut Stream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(head) = text.find("\r\n\r\n") {
            let length = header(&text, "content-length")
                .and_then(|length| length.parse::<usize>().ok())
                .unwrap_or(0);
            if bytes.len() >= head + 4 + length {
                return Some(text);
            }
        }
        let mut piece = [0; 4096];
        match stream.read(&mut piece).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => bytes.extend_from_slice(&piece[..read]),
        }
    }
}

/// The value of a header, if the request has it.
pub(crate) fn header<'a>(request: &'a str, name: &str) -> Option<&'a str> {
    request
        .lines()
        .take_while(|line| !line.is_empty())
        .filter_map(|line| line.split_once(": "))
        .find(|(found, _)| found.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim())
}
