//! Stand-in of a replica: writes its entry to the store, answers requests with the caller's id and a
//! seal, and notes what reaches it. It can end and start again under its id.

use crate::{http, store::Store, trial::Trial};
use std::{
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Time between two writes of the entry (`beat_ms`).
pub const BEAT: Duration = Duration::from_millis(1_200);

/// What a replica is.
#[derive(Debug, Clone)]
pub struct Profile {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Time that a request takes.
    pub work: Duration,
    /// Time for which it is cold after a start during traffic (`cold_s`).
    pub cold: Duration,
    /// Events of a stream; none for a plain answer.
    pub events: u32,
    /// Requests in one second at which it crashes while it is cold.
    pub crash_rate: usize,
    /// Version of its software (`version`), which its events name.
    pub build: String,
}

/// A request that reached a replica and was not turned away.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Duration,
    pub id: String,
    pub replica: String,
    pub tenant: String,
    /// Start of the process that runs it, by number.
    pub start: u32,
}

#[derive(Debug)]
struct State {
    /// Number of the process; zero while it is down.
    start: u32,
    born: u64,
    sequence: u64,
    cold_until: Option<Instant>,
    connections: Vec<TcpStream>,
    /// Whether it writes its entry.
    is_listed: bool,
    /// When it got the requests of its cold time.
    cold_requests: Vec<Instant>,
}

#[derive(Debug, Clone)]
pub struct Replica {
    pub profile: Profile,
    state: Arc<Mutex<State>>,
    store: Store,
    trial: Trial,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

impl Replica {
    pub fn start(profile: Profile, store: &Store, trial: &Trial) -> io::Result<Self> {
        let state = State {
            start: 1,
            born: unix_ms(),
            sequence: 0,
            cold_until: None,
            connections: Vec::new(),
            is_listed: true,
            cold_requests: Vec::new(),
        };
        let replica = Self {
            profile,
            state: Arc::new(Mutex::new(state)),
            store: store.clone(),
            trial: trial.clone(),
        };
        replica.listen()?;
        let beating = replica.clone();
        thread::spawn(move || loop {
            let is_listed = {
                let state = beating.state();
                state.start > 0 && state.is_listed
            };
            if is_listed {
                beating.write();
            }
            thread::sleep(BEAT);
        });
        Ok(replica)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Writes the entry.
    fn write(&self) {
        let profile = &self.profile;
        let value = {
            let mut state = self.state();
            state.sequence += 1;
            let now = Instant::now();
            let cold = state
                .cold_until
                .map_or(Duration::ZERO, |until| until - now.min(until));
            format!(
                "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\
                 \"state\":\"ready\",\"cold_left_ms\":{},\"stage\":\"mixed\",\"models\":[],\"seq\":{},\"born\":{}}}",
                profile.service,
                profile.address,
                profile.zone,
                profile.build,
                profile.slots,
                cold.as_millis(),
                state.sequence,
                state.born
            )
        };
        self.store.put(&format!("servers/{}", profile.id), &value);
    }

    fn listen(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.profile.address)?;
        listener.set_nonblocking(true)?;
        let replica = self.clone();
        let start = self.state().start;
        thread::spawn(move || loop {
            if replica.state().start != start {
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).ok();
                    stream.set_nodelay(true).ok();
                    let copy = stream.try_clone();
                    replica.state().connections.extend(copy);
                    let replica = replica.clone();
                    thread::spawn(move || replica.serve(stream, start));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        });
        Ok(())
    }

    /// Leaves without reporting `draining`: its entry is removed, and it serves on until
    /// [`Self::exit`].
    pub fn unlist(&self) {
        self.state().is_listed = false;
        self.store.remove(&format!("servers/{}", self.profile.id));
    }

    /// Ends the process, which closes its connections.
    pub fn exit(&self) {
        let mut state = self.state();
        state.start = 0;
        for connection in state.connections.drain(..) {
            connection.shutdown(Shutdown::Both).ok();
        }
    }

    /// Becomes cold, and writes that into its entry at once.
    pub fn become_cold(&self) {
        {
            let mut state = self.state();
            state.cold_until = Some(Instant::now() + self.profile.cold);
            state.cold_requests.clear();
        }
        self.write();
    }

    /// Notes a request. Returns whether a cold replica crashes under it.
    fn is_crashed_by_request(&self) -> bool {
        let now = Instant::now();
        let mut state = self.state();
        if state.cold_until.is_none_or(|until| now >= until) {
            return false;
        }
        state.cold_requests.push(now);
        let second = Duration::from_secs(1);
        let recent = state.cold_requests.iter().filter(|at| now - **at < second);
        recent.count() >= self.profile.crash_rate
    }

    /// Crashes, and starts again after a second under its id, cold.
    fn crash(&self) {
        let start = self.state().start;
        self.trial
            .note(format!("{} crashes, as it is cold", self.profile.id));
        self.exit();
        let replica = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(1));
            {
                let mut state = replica.state();
                state.start = start + 1;
                state.born = unix_ms();
                state.sequence = 0;
            }
            replica.listen().ok();
            replica.become_cold();
        });
    }

    fn serve(&self, stream: TcpStream, start: u32) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let request = http::read(&mut reader).ok()?;
            if self.state().start != start {
                return None;
            }
            let id = request.header("x-request-id").to_owned();
            let target = request.header("x-target-instance");
            if !target.is_empty() && target != self.profile.id {
                let headers = [("X-Replica-Id", &*self.profile.id)];
                http::answer(&mut writer, "421 Misdirected Request", &headers, b"").ok()?;
                continue;
            }
            self.trial.record_run(Run {
                at: self.trial.now(),
                id: id.clone(),
                replica: self.profile.id.clone(),
                tenant: request.header("x-tenant").to_owned(),
                start,
            });
            if self.is_crashed_by_request() {
                self.crash();
                return None;
            }
            if self.profile.events == 0 {
                thread::sleep(self.profile.work);
                let headers = [("X-Request-Id", &*id), ("X-Response-Seal", "seal")];
                http::answer(&mut writer, "200 OK", &headers, &[b'x'; 800]).ok()?;
                continue;
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
                 X-Request-Id: {id}\r\nX-Response-Seal: seal\r\n\r\n"
            );
            let after: u32 = request.header("last-event-id").parse().unwrap_or(0);
            let pause = self.profile.work / self.profile.events;
            thread::sleep(pause);
            writer.write_all(head.as_bytes()).ok()?;
            for number in after + 1..=self.profile.events {
                let event = format!(
                    "id: {number}\ndata: {} part {number}\n\n",
                    self.profile.build
                );
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                writer.write_all(chunk.as_bytes()).ok()?;
                if number < self.profile.events {
                    thread::sleep(pause);
                }
            }
            writer.write_all(b"0\r\n\r\n").ok()?;
        }
    }
}
