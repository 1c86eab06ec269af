//! Small stand-ins of the platform's store, of replicas and of clients, and a starter of the
//! project's host processes. Standard library only; everything listens on loopback addresses.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Exit status of a case that could not run.
pub const EXIT_NOT_RUN: i32 = 2;

/// Writes what was sent, answered and run to `record.txt`, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self(Arc::new((
            Mutex::new(File::create(path)?),
            Instant::now(),
        ))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let (file, start) = &*self.0;
        let at = start.elapsed().as_secs_f64();
        let mut file = file.lock().unwrap();
        writeln!(file, "{at:8.3} {}", text.as_ref()).ok();
    }
}

/// Headers with names in lower case.
pub type Headers = BTreeMap<String, String>;

/// A request as a stand-in received it.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value);
        percent_decode(found.last().unwrap_or(""))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match escaped {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Headers::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads one chunk of a chunked body; `None` after the last one.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader)?;
    let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok((size > 0).then_some(chunk))
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if let Some(length) = headers.get("content-length") {
        body = vec![0; length.parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
    } else if headers.contains_key("transfer-encoding") {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    }
    Ok(Request {
        method,
        target,
        headers,
        body,
    })
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves each connection in a thread of its own. `answer` says whether the connection goes on.
pub fn serve(
    listener: TcpListener,
    answer: impl Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                stream.set_nodelay(true).ok();
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(request) = read_request(&mut reader) {
                    match answer(&request, &mut writer) {
                        Ok(true) => {}
                        Ok(false) | Err(_) => return,
                    }
                }
            });
        }
    });
}

/// A replica's process as far as connections show it. Ending it resets them and closes its port.
#[derive(Clone, Default)]
pub struct Process {
    is_down: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Process {
    /// Serves as [`serve`] does until the process ends.
    pub fn serve(
        &self,
        listener: TcpListener,
        answer: impl Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
    ) {
        let (process, answer) = (self.clone(), Arc::new(answer));
        listener
            .set_nonblocking(true)
            .expect("a listener can be set");
        thread::spawn(move || {
            while !process.is_down() {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).ok();
                stream.set_nodelay(true).ok();
                let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
                    continue;
                };
                process.connections.lock().unwrap().push(kept);
                let answer = answer.clone();
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream);
                    while let Ok(request) = read_request(&mut reader) {
                        match answer(&request, &mut writer) {
                            Ok(true) => {}
                            Ok(false) | Err(_) => break,
                        }
                    }
                    writer.shutdown(std::net::Shutdown::Both).ok();
                });
            }
        });
    }

    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::Relaxed)
    }

    /// Ends the process.
    pub fn end(&self) {
        self.is_down.store(true, Ordering::Relaxed);
        for connection in self.connections.lock().unwrap().drain(..) {
            reset(&connection);
        }
    }
}

pub fn listen(ip: Ipv4Addr) -> TcpListener {
    TcpListener::bind((ip, 0)).expect("a free port on a loopback address")
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0_u32;
        for at in 0..3 {
            number = number << 8 | u32::from(*group.get(at).unwrap_or(&0));
        }
        for at in 0..4 {
            if at <= group.len() {
                let digit = number >> (18 - 6 * at) & 63;
                text.push(DIGITS[digit as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    removed: BTreeMap<String, u64>,
}

/// A stand-in of the platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    contents: Arc<(Mutex<Contents>, Condvar)>,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Self {
        let listener = listen(ip);
        let store = Self {
            address: listener.local_addr().unwrap(),
            contents: Arc::default(),
        };
        store.contents.0.lock().unwrap().revision = 100;
        let serving = store.clone();
        serve(listener, move |request, stream| {
            serving.answer(request, stream)
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut contents = self.contents.0.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        contents.removed.remove(key);
        contents
            .items
            .insert(key.to_owned(), (value.to_owned(), revision));
        self.contents.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut contents = self.contents.0.lock().unwrap();
        if contents.items.remove(key).is_some() {
            contents.revision += 1;
            let revision = contents.revision;
            contents.removed.insert(key.to_owned(), revision);
            self.contents.1.notify_all();
        }
    }

    fn item(key: &str, value: &str, revision: u64) -> String {
        let value = base64(value.as_bytes());
        format!(
            r#"{{"key":"{key}","value":"{value}","rev":{revision},"created":{revision},"lease":0}}"#
        )
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let prefix = request.query("prefix");
        let mut contents = self.contents.0.lock().unwrap();
        let body = match request.path() {
            "/greengagecleat/kv-range" => {
                let after = request.query("after");
                let items = contents.items.iter();
                let items =
                    items.filter(|(key, _)| key.starts_with(&prefix) && key.as_str() > &*after);
                let items: Vec<_> = items
                    .map(|(key, (value, revision))| Self::item(key, value, *revision))
                    .collect();
                format!(
                    r#"{{"items":[{}],"has_more":false,"store_revision":{}}}"#,
                    items.join(","),
                    contents.revision
                )
            }
            "/greengagecleat/kv-watch" => {
                let after: u64 = request.query("after").parse().unwrap_or(0);
                let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait.min(30_000));
                loop {
                    let mut events: Vec<(u64, String)> = Vec::new();
                    for (key, (value, revision)) in &contents.items {
                        if key.starts_with(&prefix) && *revision > after {
                            events.push((*revision, Self::item(key, value, *revision)));
                        }
                    }
                    for (key, revision) in &contents.removed {
                        if key.starts_with(&prefix) && *revision > after {
                            events.push((
                                *revision,
                                format!(r#"{{"key":"{key}","rev":{revision},"deleted":true}}"#),
                            ));
                        }
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        events.sort();
                        let events: Vec<_> = events.into_iter().map(|(_, text)| text).collect();
                        break format!(
                            r#"{{"events":[{}],"store_revision":{}}}"#,
                            events.join(","),
                            contents.revision
                        );
                    }
                    contents = self.contents.1.wait_timeout(contents, left).unwrap().0;
                }
            }
            _ => {
                drop(contents);
                write_answer(stream, 404, &[], b"")?;
                return Ok(true);
            }
        };
        drop(contents);
        let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
        write_answer(stream, 200, &headers, body.as_bytes())?;
        Ok(true)
    }
}

/// A replica's time between two status reports, in milliseconds.
const BEAT_MS: u64 = 1_200;

/// A replica's entry in the store, which it writes again every [`BEAT_MS`].
#[derive(Clone)]
pub struct Registration {
    store: Store,
    id: String,
    service: String,
    zone: String,
    version: String,
    address: SocketAddr,
    born: u64,
    sequence: Arc<AtomicU64>,
    state: Arc<Mutex<Option<&'static str>>>,
}

impl Registration {
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        version: &str,
        address: SocketAddr,
    ) -> Self {
        let registration = Self {
            store: store.clone(),
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            version: version.to_owned(),
            address,
            born: unix_millis(),
            sequence: Arc::default(),
            state: Arc::new(Mutex::new(Some("ready"))),
        };
        registration.write();
        let beating = registration.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(BEAT_MS));
            if !beating.write() {
                return;
            }
        });
        registration
    }

    /// Writes the entry; false once the replica has left.
    fn write(&self) -> bool {
        let state = self.state.lock().unwrap();
        let Some(state) = *state else {
            return false;
        };
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let Self {
            id,
            service,
            zone,
            version,
            address,
            born,
            ..
        } = self;
        let entry = format!(
            r#"{{"service":"{service}","addr":"{address}","zone":"{zone}","version":"{version}","slots":16,"state":"{state}","cold_left_ms":0,"stage":"mixed","models":[{{"name":"m","version":1,"adapters":[]}}],"born":{born},"seq":{sequence}}}"#
        );
        self.store.put(&format!("servers/{id}"), &entry);
        true
    }

    /// Removes the entry, as the replica has left.
    pub fn leave(&self) {
        *self.state.lock().unwrap() = None;
        self.store.remove(&format!("servers/{}", self.id));
    }
}

pub fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

/// Makes closing a connection reset it, as the end of a process with unread data does.
pub fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
    disconnect(stream);
}

/// Disconnects a socket, which sends a reset at once whoever else holds it.
fn disconnect(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    #[repr(C)]
    struct Address {
        family: u16,
        rest: [u8; 14],
    }
    extern "C" {
        fn connect(fd: i32, address: *const Address, length: u32) -> i32;
    }
    const AF_UNSPEC: u16 = 0;
    let nowhere = Address {
        family: AF_UNSPEC,
        rest: [0; 14],
    };
    unsafe { connect(stream.as_raw_fd(), &nowhere, 16) };
    stream.shutdown(std::net::Shutdown::Both).ok();
}

/// A new empty folder for the settings files and the logs of hosts.
pub fn temporary_folder() -> PathBuf {
    let name = format!("review-{}-{}", std::process::id(), unix_millis());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

/// Bounds that a settings file names; those of a small site unless a case sets others.
pub const BOUNDS: &str = "  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 5000\n  ack_ms: 6000\n  catchup_s: 4\n  drain_ms: 3000\n  grace_s: 8\n  loss_slack_ms: 200\n  config_apply_ms: 3000\n  rollback_slack_ms: 250\n  max_stretch_ms: 8000\n  revoke_strict: false\n  revoke_ms: 5000\n  retry_ratio: 0.2\n  retry_window_s: 10\n  retry_slack: 58\n  quota_window_s: 8\n  quota_overage: 0.25\n  quota_slack: 110000\n  cold_overage: 1.5\n  cold_slack: 3\n  evac_ms: 5000\n  recover_s: 12\n  pass_ms: 600\n  retry_after_s: 8.3\n  ttl_max_s: 5\n";

/// A host of the project, in a process of its own. It is killed on drop.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub health: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// Where a host stands.
#[derive(Clone, Copy)]
pub struct Place<'a> {
    pub zone: &'a str,
    pub region: &'a str,
    /// All zones with their regions.
    pub zones: &'a [(&'a str, &'a str)],
}

impl Host {
    /// Writes the settings of a host at an address of its own; `seeds` are added with
    /// [`Host::write_settings`].
    pub fn prepare(folder: &Path, name: &str, ip: Ipv4Addr) -> Self {
        let ports: Vec<_> = (0..4).map(|_| listen(ip)).collect();
        let addresses: Vec<_> = ports
            .iter()
            .map(|listener| listener.local_addr().unwrap())
            .collect();
        Self {
            name: name.to_owned(),
            callers: addresses[0],
            health: addresses[1],
            peers: addresses[2],
            settings: folder.join(format!("{name}.yaml")),
            log: folder.join(format!("{name}.log")),
            process: None,
        }
    }

    pub fn write_settings(&self, place: Place<'_>, store: SocketAddr, seeds: &[SocketAddr]) {
        let directory = listen(match self.callers.ip() {
            std::net::IpAddr::V4(ip) => ip,
            std::net::IpAddr::V6(_) => Ipv4Addr::LOCALHOST,
        });
        let directory = directory.local_addr().unwrap();
        let zones: String = place
            .zones
            .iter()
            .map(|(zone, region)| format!("  {zone}: \"{region}\"\n"))
            .collect();
        let seeds: String = seeds
            .iter()
            .map(|seed| format!("  - \"{seed}\"\n"))
            .collect();
        let Place { zone, region, .. } = place;
        let Self {
            name,
            callers,
            health,
            peers,
            ..
        } = self;
        let text = format!(
            "node: \"{name}\"\nrole: \"entry\"\nclass: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\n  - \"directory\"\nip: \"{}\"\nzone: \"{zone}\"\nregion: \"{region}\"\nzones:\n{zones}listen:\n  front: \"{callers}\"\n  ready: \"{health}\"\n  control: \"{peers}\"\n  directory: \"{directory}\"\nport_range:\n  - 7600\n  - 7615\nseeds:\n{seeds}bootstrap: true\nloss_counts: false\nlimits:\n  cpu_share: 0.25\n  cores: 1\n  ram_mb: 260\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\ndiscovery: \"platform\"\nentry: \"directory\"\nbeat_ms: 1200\ncontracts:\n  - \"base\"\nbounds:\n{BOUNDS}platform:\n  addr: \"{store}\"\n  form: \"read\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  min_ttl_ms: 1000\n",
            callers.ip()
        );
        fs::write(&self.settings, text).expect("the settings file can be written");
    }

    /// Starts the process with the command of the deploy file, in the repository's root.
    pub fn start(&mut self) {
        let root = repository();
        let deploy = fs::read_to_string(root.join("deploy/system.toml")).unwrap_or_default();
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'))
            .unwrap_or("target/release/greengagecleat-platform --metrics 7615/metrics");
        let mut words = run.split(' ');
        let program = root.join(words.next().unwrap_or_default());
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log can be written");
        let mut command = Command::new(program);
        // The host ends with the case, however that ends.
        unsafe { command.pre_exec(end_with_parent) };
        let process = command
            .args(words)
            .current_dir(&root)
            .env_clear()
            .env("GREENGAGECLEAT_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be written twice"))
            .stderr(log)
            .spawn();
        match process {
            Ok(process) => self.process = Some(process),
            Err(error) => {
                eprintln!("starting a host: {error}; was the project built?");
                std::process::exit(EXIT_NOT_RUN);
            }
        }
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().ok();
            process.wait().ok();
        }
    }

    /// Whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = Outgoing::new("GET", "/greengagecleat/readyz");
        request.send(self.health, Duration::from_secs(1)).status == Some(200)
    }

    /// Waits until the host is ready; ends the case if that takes too long.
    pub fn until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > until {
                eprintln!("{} has not become ready", self.name);
                std::process::exit(EXIT_NOT_RUN);
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Makes the kernel kill this process when the thread that has started it ends.
fn end_with_parent() -> io::Result<()> {
    extern "C" {
        fn prctl(option: i32, ...) -> i32;
    }
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The root of the repository: the case's script names it.
pub fn repository() -> PathBuf {
    std::env::var_os("REPOSITORY").map_or_else(|| PathBuf::from("."), PathBuf::from)
}

/// An address of the loopback network that few others use, from the process's number.
pub fn own_ip(last: u8) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(
        127,
        100 + (process / 62_500 % 100) as u8,
        (process / 250 % 250) as u8 + 1,
        (process % 25) as u8 * 10 + last,
    )
}

/// A request that a client sends.
#[derive(Debug, Clone)]
pub struct Outgoing {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// What came back on a connection.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    /// `None` if the connection ended before a head came.
    pub status: Option<u16>,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the body came to its end as the protocol marks it.
    pub is_whole: bool,
    /// Whether a connection could be opened.
    pub is_connected: bool,
}

impl Outgoing {
    pub fn new(method: &str, target: &str) -> Self {
        Self {
            method: method.to_owned(),
            target: target.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    pub fn header(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    fn bytes(&self, to: SocketAddr) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        if !self.headers.iter().any(|(name, _)| name == "Host") {
            head.push_str(&format!("Host: {to}\r\n"));
        }
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends the request on a new connection and reads the answer, for as long as `limit`.
    pub fn send(&self, to: SocketAddr, limit: Duration) -> Reply {
        self.send_watched(to, limit, |_| {})
    }

    /// The same; `watch` gets each piece of the body.
    pub fn send_watched(&self, to: SocketAddr, limit: Duration, watch: impl FnMut(&[u8])) -> Reply {
        let mut reply = Reply::default();
        let connect_limit = limit.min(Duration::from_secs(1));
        if connect_limit.is_zero() {
            return reply;
        }
        if let Ok(stream) = TcpStream::connect_timeout(&to, connect_limit) {
            reply.is_connected = true;
            // What came until the connection ended is kept.
            self.exchange(stream, to, Instant::now() + limit, &mut reply, watch)
                .ok();
        }
        reply
    }

    fn exchange(
        &self,
        mut stream: TcpStream,
        to: SocketAddr,
        until: Instant,
        reply: &mut Reply,
        mut watch: impl FnMut(&[u8]),
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.write_all(&self.bytes(to))?;
        let mut reader = BufReader::new(Timed { stream, until });
        let line = read_line(&mut reader)?;
        let headers = read_headers(&mut reader)?;
        reply.status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
        reply.headers = headers;
        if let Some(length) = reply.headers.get("content-length") {
            let mut left: usize = length.parse().unwrap_or(0);
            while left > 0 {
                let mut piece = vec![0; left.min(4_096)];
                let count = reader.read(&mut piece)?;
                if count == 0 {
                    return Ok(());
                }
                left -= count;
                watch(&piece[..count]);
                reply.body.extend_from_slice(&piece[..count]);
            }
        } else if reply.headers.contains_key("transfer-encoding") {
            while let Some(chunk) = read_chunk(&mut reader)? {
                watch(&chunk);
                reply.body.extend(chunk);
            }
        }
        reply.is_whole = true;
        Ok(())
    }
}

/// A connection that is read until a time only.
struct Timed {
    stream: TcpStream,
    until: Instant,
}

impl Read for Timed {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}

/// Whether the case is played with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Opens the record that `RECORD` names.
pub fn open_record() -> Record {
    let path = std::env::var_os("RECORD").unwrap_or_else(|| "record.txt".into());
    match Record::create(Path::new(&path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{}: {error}", Path::new(&path).display());
            std::process::exit(EXIT_NOT_RUN);
        }
    }
}
