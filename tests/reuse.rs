//! Connections to upstreams that carry one call after another, under random schedules: ids repeat, and
//! upstreams refuse calls and write answers once more at any time. Upstreams number the call that they
//! answer in a header that the client doesn't know, which shows what each answer belongs to.

use {
    futures::FutureExt,
    greengagecleat::{
        failure::Ran,
        net::{Memory, Network, Stream},
        upstream::{Call, Client},
    },
    http::{HeaderMap, Request},
    http_body_util::Full,
    quickcheck::{Gen, QuickCheck},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::BTreeMap,
        future::pending,
        mem::take,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    testbed::raw,
    tokio::{
        io::{AsyncWriteExt, BufReader, WriteHalf, split},
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Ids of requests, which callers use again.
const IDS: [&str; 6] = ["a", "A", "aa", "b", "c", "d"];
const ADDRESSES: usize = 2;
/// Clients that send to the same upstreams, as two hosts do.
const CLIENTS: usize = 2;
/// Longest wait for a body.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(100);
const CALLERS: u64 = 6;
/// Requests of each caller, one after another.
const REQUESTS: usize = 12;
/// Requests of one caller on a connection that nothing disturbs.
const STEADY_REQUESTS: usize = 600;
/// Most sends of one request.
const MAX_SENDS: usize = 4;
/// Most calls with an id that a connection may carry.
const MAX_CARRIED: usize = 256;
/// A body larger than the buffers of a connection.
const LARGE_BODY_BYTES: usize = 100_000;
/// Header with the number of a send, and with that of the send which an answer belongs to.
const SEND: &str = "x-send";
const ID: &str = "x-request-id";
const NOT_RUN: &str = "x-not-executed";

/// Deliberate faults, to show that the checks catch them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// Connections forget the calls that they have carried.
    Forget,
    /// An answer counts whatever its id.
    AnyId,
    /// An answer without an id counts on a connection that has carried calls before.
    AnyWithoutId,
}

/// What the sender of a call may conclude.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Conclusion {
    Answered,
    NotRun,
    Unknown,
}

/// A send of a request.
#[derive(Debug)]
struct Attempt {
    request: usize,
    conclusion: Conclusion,
    /// Number of the send that the answer taken for this one's belongs to.
    answered: Option<u64>,
    runs: usize,
}

/// What callers and upstreams have seen.
#[derive(Debug, Default)]
struct Log {
    /// Whether each request may be sent again when it may have run.
    requests: Vec<bool>,
    sends: BTreeMap<u64, Attempt>,
    /// The ids that each connection has carried, by upstream. Calls of the host's own have neither an id
    /// nor a number, and are left out.
    carried: BTreeMap<usize, Vec<String>>,
    violations: Vec<String>,
}

/// A connection, as its upstream sees it.
#[derive(Debug)]
struct Connection {
    writer: tokio::sync::Mutex<WriteHalf<Stream>>,
    /// The answers written so far.
    answers: Mutex<Vec<Vec<u8>>>,
    rng: Mutex<StdRng>,
    upstream: SocketAddr,
}

/// Callers, hosts and upstreams under one schedule.
#[derive(Debug)]
struct World {
    mutant: Mutant,
    is_steady: bool,
    seed: u64,
    clients: Vec<Client>,
    upstreams: Vec<SocketAddr>,
    log: Mutex<Log>,
    connections: Mutex<Vec<Arc<Connection>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Mostly a time in which others happen at the same instant, at times one that idle connections outlast.
fn pause(rng: &mut StdRng) -> Duration {
    let millis = match rng.random_range(0..40) {
        0 => rng.random_range(500..20_000),
        _ => rng.random_range(0..4),
    };
    Duration::from_millis(millis)
}

impl Connection {
    fn chance(&self, share: f64) -> bool {
        lock(&self.rng).random_bool(share)
    }

    fn pause(&self) -> Duration {
        pause(&mut lock(&self.rng))
    }

    /// An answer that was written before.
    fn copy(&self) -> Vec<u8> {
        let answers = lock(&self.answers);
        match answers.len() {
            0 => Vec::new(),
            count => answers[lock(&self.rng).random_range(0..count)].clone(),
        }
    }

    /// None, one or two answers that were written before, each at times cut anywhere.
    fn copies(&self) -> Vec<u8> {
        let count = lock(&self.rng).random_range(0..6_usize).saturating_sub(3);
        let mut copies = Vec::new();
        for _ in 0..count {
            let copy = self.copy();
            let end = if self.chance(0.3) {
                lock(&self.rng).random_range(0..=copy.len())
            } else {
                copy.len()
            };
            copies.extend_from_slice(&copy[..end]);
        }
        copies
    }

    /// Writes bytes; the client may have closed the connection.
    async fn write(&self, bytes: &[u8]) {
        self.writer.lock().await.write_all(bytes).await.ok();
    }

    /// Writes a part of an answer and ends the connection.
    async fn cut(&self) {
        let bytes = self.copy();
        let end = lock(&self.rng).random_range(0..=bytes.len());
        self.write(&bytes[..end]).await;
        self.writer.lock().await.shutdown().await.ok();
    }

    /// The answer to a send. Returns it with whether the call runs.
    fn answer(&self, id: &str, send: &str) -> (Vec<u8>, bool) {
        let mut rng = lock(&self.rng);
        let body = format!("{send} {}", "x".repeat(rng.random_range(0..40)));
        let (status, is_run) = match rng.random_range(0..10) {
            0..3 => ("503 No", false),
            3 => ("429 No", false),
            4 => ("421 No", false),
            5 => ("500 Failed", true),
            _ => ("200 OK", true),
        };
        let mut lines = vec![format!("{SEND}: {send}")];
        if !is_run {
            lines.push(format!("{NOT_RUN}: 1"));
        }
        if !id.is_empty() && !rng.random_bool(0.1) {
            lines.push(format!("{ID}: {id}"));
        }
        let first = rng.random_range(0..lines.len());
        lines.rotate_left(first);
        let body = if rng.random_bool(0.5) {
            format!("content-length: {}\r\n\r\n{body}", body.len())
        } else {
            let chunk = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
            format!("transfer-encoding: chunked\r\n\r\n{chunk}")
        };
        let head = lines.join("\r\n");
        let answer = format!("HTTP/1.1 {status}\r\n{head}\r\n{body}");
        (answer.into_bytes(), is_run)
    }
}

impl World {
    async fn start(seed: u64, mutant: Mutant) -> Arc<Self> {
        let memory = Network::Memory(Memory::new());
        let mut listeners = Vec::new();
        for _ in 0..ADDRESSES {
            let address = SocketAddr::from(([127, 0, 0, 1], 0));
            listeners.push(memory.bind(address).await.unwrap());
        }
        let world = Arc::new(Self {
            mutant,
            is_steady: seed.is_multiple_of(8),
            seed,
            clients: (0..CLIENTS).map(|_| Client::new(memory.clone())).collect(),
            upstreams: listeners
                .iter()
                .map(|listener| listener.local_addr().unwrap())
                .collect(),
            log: Mutex::default(),
            connections: Mutex::default(),
        });
        for mut listener in listeners {
            let world = world.clone();
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let upstream = listener.local_addr().unwrap();
                    tokio::spawn(world.clone().serve(stream, upstream));
                }
            });
        }
        world
    }

    /// Answers the calls on a connection.
    async fn serve(self: Arc<Self>, stream: Stream, upstream: SocketAddr) {
        let (reader, writer) = split(stream);
        let mut reader = BufReader::new(reader);
        let number = lock(&self.connections).len();
        let rng = StdRng::seed_from_u64(self.seed.rotate_left(20) ^ number as u64);
        let connection = Arc::new(Connection {
            writer: writer.into(),
            answers: Mutex::default(),
            rng: Mutex::new(rng),
            upstream,
        });
        lock(&self.connections).push(connection.clone());
        while let Ok(Some(request)) = raw::read_request(&mut reader).await {
            let (id, send) = (request.header(ID), request.header(SEND));
            if self.is_steady {
                self.record_arrival(number, id, send, true);
                let head = format!(
                    "{ID}: {id}\r\n{SEND}: {send}\r\ncontent-length: {}",
                    send.len() + 1
                );
                let answer = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{send} ");
                connection.write(answer.as_bytes()).await;
                continue;
            }
            let (answer, is_run) = connection.answer(id, send);
            self.record_arrival(number, id, send, is_run);
            sleep(connection.pause()).await;
            if connection.chance(0.1) {
                connection.write(&connection.copies()).await;
                sleep(connection.pause()).await;
            }
            if connection.chance(0.02) {
                connection.cut().await;
            }
            let mut bytes = connection.copies();
            bytes.extend_from_slice(&answer);
            lock(&connection.answers).push(answer);
            if connection.chance(0.3) {
                bytes.extend(connection.copies());
            }
            connection.write(&bytes).await;
            let late = connection.clone();
            tokio::spawn(async move {
                sleep(late.pause()).await;
                late.write(&late.copies()).await;
                if late.chance(0.05) {
                    late.cut().await;
                }
            });
            if connection.chance(0.2) {
                // A large body fills the connection meanwhile.
                sleep(connection.pause()).await;
            }
        }
    }

    fn record_arrival(&self, connection: usize, id: &str, send: &str, is_run: bool) {
        let Ok(send) = send.parse::<u64>() else {
            return;
        };
        let log = &mut *lock(&self.log);
        if let Some(send) = log.sends.get_mut(&send) {
            send.runs += usize::from(is_run);
        }
        let carried = log.carried.entry(connection).or_default();
        if id.is_empty() {
            if !carried.is_empty() {
                log.violations
                    .push(format!("{send} has no id, on a used connection"));
            }
            return;
        }
        if carried.iter().any(|earlier| earlier == id) {
            log.violations
                .push(format!("{connection} carries {id} twice"));
        }
        carried.push(id.to_owned());
        if carried.len() > MAX_CARRIED {
            log.violations
                .push(format!("{connection} carries too many calls"));
        }
    }

    /// Sends requests one after another, each until it is answered or may not be sent again.
    async fn call(self: Arc<Self>, caller: u64) {
        let mut rng = StdRng::seed_from_u64(self.seed ^ (caller + 1) << 40);
        let count = if self.is_steady {
            STEADY_REQUESTS
        } else {
            REQUESTS
        };
        for number in 0..count {
            let id = match rng.random_range(0..10) {
                _ if self.is_steady => Some(format!("{caller}-{number}")),
                0 => None,
                _ => Some(IDS[rng.random_range(0..IDS.len())].to_owned()),
            };
            let is_repeatable = rng.random_bool(0.3);
            let request = {
                let mut log = lock(&self.log);
                log.requests.push(is_repeatable);
                log.requests.len() - 1
            };
            for _ in 0..MAX_SENDS {
                if !self.is_steady {
                    sleep(pause(&mut rng)).await;
                }
                let conclusion = self
                    .send(&mut rng, request, id.as_deref(), is_repeatable)
                    .await;
                let is_sent_again = match conclusion {
                    Conclusion::Answered => false,
                    Conclusion::NotRun => true,
                    Conclusion::Unknown => is_repeatable,
                };
                if !is_sent_again {
                    break;
                }
            }
            if !self.is_steady && rng.random_bool(0.1) {
                self.call_unmatched(&mut rng).await;
            }
        }
    }

    /// Makes a call of the host's own, which has no id, on the same connections.
    async fn call_unmatched(&self, rng: &mut StdRng) {
        let (client, address) = self.choose(rng);
        let request = Request::get("/healthz").body(Full::default()).unwrap();
        let calling = async {
            let response = client.send(address, request).await?;
            response.into_body().collect(1_024).await
        };
        timeout(COLLECT_TIMEOUT, calling).await.ok();
    }

    fn choose(&self, rng: &mut StdRng) -> (&Client, SocketAddr) {
        if self.is_steady {
            return (&self.clients[0], self.upstreams[0]);
        }
        let client = &self.clients[rng.random_range(0..CLIENTS)];
        (client, self.upstreams[rng.random_range(0..ADDRESSES)])
    }

    async fn send(
        &self,
        rng: &mut StdRng,
        request: usize,
        id: Option<&str>,
        is_repeatable: bool,
    ) -> Conclusion {
        let number = {
            let mut log = lock(&self.log);
            let number = log.sends.len() as u64;
            let send = Attempt {
                request,
                conclusion: Conclusion::Unknown,
                answered: None,
                runs: 0,
            };
            log.sends.insert(number, send);
            number
        };
        let (conclusion, answered) = self.exchange(rng, number, id, is_repeatable).await;
        if let Some(send) = lock(&self.log).sends.get_mut(&number) {
            (send.conclusion, send.answered) = (conclusion, answered);
        }
        conclusion
    }

    /// Sends a call and concludes from its answer as both request paths do. Returns the conclusion and the
    /// number of the send that the answer belongs to.
    async fn exchange(
        &self,
        rng: &mut StdRng,
        number: u64,
        id: Option<&str>,
        is_repeatable: bool,
    ) -> (Conclusion, Option<u64>) {
        let (client, address) = self.choose(rng);
        let mut request = Request::post("/").header(SEND, number);
        if let Some(id) = id {
            request = request.header(ID, id);
        }
        let is_large = !self.is_steady && rng.random_bool(0.05);
        let body = vec![b'x'; if is_large { LARGE_BODY_BYTES } else { 4 }];
        let request = request.body(Full::from(body)).unwrap();
        let is_copied = !self.is_steady && rng.random_bool(0.1);
        let is_withdrawn = !self.is_steady && rng.random_bool(0.02);
        // Between the choice of a connection and the first byte on it.
        let may_send = || {
            if is_copied {
                self.write_copies(address);
            }
            !is_withdrawn
        };
        let limit = Duration::from_millis(rng.random_range(1..60));
        // Another name for each send: the connections can't tell that they have carried the request.
        let unique = format!("send-{number}");
        let call = Call {
            address,
            request,
            id: match self.mutant {
                Mutant::Forget => Some(unique.as_str()),
                _ => id,
            },
            is_repeatable,
        };
        let called = timeout(limit, client.send_unless(call, pending(), may_send)).await;
        let response = match called {
            Ok(Ok(response)) => response,
            Ok(Err(failure)) if failure.ran == Ran::No => return (Conclusion::NotRun, None),
            Ok(Err(_)) | Err(_) => return (Conclusion::Unknown, None),
        };
        let (head, body) = response.into_parts();
        let is_own = match text(&head.headers, ID) {
            Some(answered) => Some(answered) == id || self.mutant == Mutant::AnyId,
            None => body.exchange().is_first() || self.mutant == Mutant::AnyWithoutId,
        };
        if !is_own {
            return (Conclusion::Unknown, None);
        }
        let answered = text(&head.headers, SEND).and_then(|send| send.parse().ok());
        let has_run = !head.headers.contains_key(NOT_RUN);
        if !has_run && rng.random_bool(0.3) {
            return (Conclusion::NotRun, answered);
        }
        if !self.is_steady && rng.random_bool(0.2) {
            sleep(pause(rng)).await;
        }
        match timeout(COLLECT_TIMEOUT, body.collect(1_024)).await {
            _ if !has_run => (Conclusion::NotRun, answered),
            Ok(Ok(bytes)) if bytes.starts_with(format!("{number} ").as_bytes()) => {
                (Conclusion::Answered, answered)
            }
            Ok(Ok(bytes)) => {
                let violation = format!("{number} got the body {bytes:?}");
                lock(&self.log).violations.push(violation);
                (Conclusion::Answered, answered)
            }
            Ok(Err(_)) | Err(_) => (Conclusion::Unknown, answered),
        }
    }

    /// Writes earlier answers of an upstream on its connections, as far as none is written now.
    fn write_copies(&self, upstream: SocketAddr) {
        for connection in lock(&self.connections).iter() {
            if connection.upstream == upstream {
                connection.write(&connection.copy()).now_or_never();
            }
        }
    }

    /// What must not have happened, and what the upstreams saw of it.
    fn violations(&self) -> Vec<String> {
        let log = &mut *lock(&self.log);
        let mut violations = take(&mut log.violations);
        let mut runs = vec![0; log.requests.len()];
        for (number, send) in &log.sends {
            runs[send.request] += send.runs;
            if send.answered.is_some_and(|answered| answered != *number) {
                violations.push(format!("{number} took the answer to {:?}", send.answered));
            }
            if send.conclusion == Conclusion::NotRun && send.runs > 0 {
                violations.push(format!("{number} ran and counts as not run"));
            }
            if send.runs > 1 {
                violations.push(format!("{number} arrived twice"));
            }
        }
        for (request, runs) in runs.iter().enumerate() {
            if !log.requests[request] && *runs > 1 {
                violations.push(format!(
                    "request {request} may run once and ran {runs} times"
                ));
            }
        }
        violations
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Runs one schedule; returns what must not have happened.
fn find_violations(seed: u64, mutant: Mutant) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let world = World::start(seed, mutant).await;
        let callers = if world.is_steady { 1 } else { CALLERS };
        let mut calling: JoinSet<()> = (0..callers)
            .map(|caller| world.clone().call(caller))
            .collect();
        while let Some(called) = calling.join_next().await {
            called.unwrap();
        }
        // What is still on its way may run.
        sleep(Duration::from_secs(60)).await;
        world.violations()
    })
}

/// An answer that belonged to another send of the same request was taken for that to this one.
#[test]
fn an_answer_that_is_taken_belongs_to_the_send_under_any_schedule() {
    fn property(seed: u64) -> Result<(), String> {
        match find_violations(seed, Mutant::None) {
            violations if violations.is_empty() => Ok(()),
            violations => Err(violations.join("; ")),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 3))
        .tests(100)
        .quickcheck(property as fn(u64) -> Result<(), String>);
}

#[test]
fn schedules_catch_each_mutant() {
    for (mutant, message) in [
        (Mutant::Forget, "twice"),
        (Mutant::Forget, "took the answer to"),
        (Mutant::Forget, "ran and counts as not run"),
        (Mutant::Forget, "may run once and ran"),
        (Mutant::Forget, "on a used connection"),
        (Mutant::AnyId, "ran and counts as not run"),
        (Mutant::AnyWithoutId, "ran and counts as not run"),
        (Mutant::AnyWithoutId, "may run once and ran"),
    ] {
        let is_caught = (0..512).any(|seed| {
            let violations = find_violations(seed, mutant);
            violations.iter().any(|one| one.contains(message))
        });
        assert!(is_caught, "{mutant:?}: {message}");
    }
}
