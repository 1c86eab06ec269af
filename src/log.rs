//! Writes a program's log lines from a thread of its own, so that a reader of the log which is slow,
//! stuck or gone neither blocks nor ends the program.
//!
//! The macros `println!` and `eprintln!` panic if their output can't be written, and block while its
//! reader doesn't read. Programs that log through [`Writer`] use [`report`] instead.

use {
    prometheus_client::metrics::gauge::Gauge,
    rustix::{
        event::{PollFd, PollFlags, Timespec, poll},
        io::write,
        pipe::PIPE_BUF,
        process::Signal,
        stdio::stderr,
    },
    std::{
        collections::VecDeque,
        io::{self, Write},
        mem,
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread,
        time::Duration,
    },
    tokio::signal::unix::{SignalKind, signal},
    tracing_subscriber::fmt::MakeWriter,
};

/// Lines that may wait to be written; further ones are dropped, so that a slow reader of the log
/// doesn't block the host.
pub const MAX_BUFFERED_LINES: usize = 4_096;
/// Bytes of lines that may wait. Lines hold what callers send, such as long ids of requests, so that their
/// number alone doesn't bound the memory that they take.
const MAX_BUFFERED_BYTES: usize = 8 << 20;
/// Longest time that [`report`] waits until standard error takes a line.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);

/// The writer of a `tracing` subscriber. Clones share one queue of lines.
#[derive(Debug, Clone)]
pub struct Writer(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    capacity: usize,
    queue: Mutex<Queue>,
    /// Notified when lines wait for an idle thread.
    filled: Condvar,
    /// Notified when the thread has nothing to write and a flush waits for that.
    emptied: Condvar,
    lost: Gauge,
}

#[derive(Debug, Default)]
struct Queue {
    lines: VecDeque<Vec<u8>>,
    /// Sum of the lengths of the lines.
    bytes: usize,
    /// Whether the thread waits for lines.
    is_idle: bool,
    /// Whether a flush waits.
    is_flushing: bool,
    /// Whether no thread writes the lines.
    is_dead: bool,
}

impl Writer {
    /// Starts a thread that writes each line to `output`. If no thread can be started, lines are
    /// dropped and counted.
    pub fn start(capacity: usize, output: impl Write + Send + 'static) -> Self {
        let shared = Arc::new(Shared {
            capacity,
            queue: Mutex::default(),
            filled: Condvar::new(),
            emptied: Condvar::new(),
            lost: Gauge::default(),
        });
        let writing = shared.clone();
        let thread = thread::Builder::new().name("log".into());
        if let Err(error) = thread.spawn(move || writing.write_to(output)) {
            shared.queue().is_dead = true;
            report(&format!(
                "the log is not written, its thread can't be started: {error}"
            ));
        }
        Self(shared)
    }

    /// Lines that were dropped, because the queue was full or the output failed.
    pub fn lost(&self) -> Gauge {
        self.0.lost.clone()
    }

    /// Waits until the lines that were queued are written, but at most for `limit`. Returns whether
    /// they are.
    pub fn flush(&self, limit: Duration) -> bool {
        let is_pending = |queue: &mut Queue| !queue.is_dead && !queue.is_flushed();
        let mut queue = self.0.queue();
        queue.is_flushing = true;
        let waited = self.0.emptied.wait_timeout_while(queue, limit, is_pending);
        let (queue, _) = waited.unwrap_or_else(PoisonError::into_inner);
        queue.is_flushed()
    }
}

impl Queue {
    fn is_flushed(&self) -> bool {
        self.is_idle && self.lines.is_empty()
    }
}

impl Shared {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &[u8]) {
        let mut queue = self.queue();
        let has_room = queue.lines.len() < self.capacity
            && queue.bytes.saturating_add(line.len()) <= MAX_BUFFERED_BYTES;
        if queue.is_dead || !has_room {
            self.lost.inc();
            return;
        }
        queue.bytes += line.len();
        queue.lines.push_back(line.to_vec());
        // Waking a thread costs a system call, so a busy one isn't woken.
        let is_idle = mem::take(&mut queue.is_idle);
        drop(queue);
        if is_idle {
            self.filled.notify_one();
        }
    }

    fn next(&self) -> Vec<u8> {
        let mut queue = self.queue();
        loop {
            if let Some(line) = queue.lines.pop_front() {
                queue.bytes -= line.len();
                queue.is_idle = false;
                return line;
            }
            queue.is_idle = true;
            if queue.is_flushing {
                self.emptied.notify_all();
            }
            queue = self
                .filled
                .wait(queue)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn write_to(&self, mut output: impl Write) {
        loop {
            let line = self.next();
            if output
                .write_all(&line)
                .and_then(|()| output.flush())
                .is_err()
            {
                self.lost.inc();
            }
        }
    }
}

/// One line of the subscriber, which it writes at once.
impl Write for Writer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.0.push(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Writer {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Writes a line to standard error. Returns soon and does not panic, whatever standard error is: a
/// line that can't be written is dropped.
pub fn report(line: &str) {
    let output = stderr();
    let mut ready = [PollFd::new(&output, PollFlags::OUT)];
    let limit = Timespec::try_from(REPORT_TIMEOUT).ok();
    if !matches!(poll(&mut ready, limit.as_ref()), Ok(1..)) {
        return;
    }
    // A pipe that is ready takes so many bytes without blocking.
    let end = line.floor_char_boundary(PIPE_BUF - 1);
    let text = format!("{}\n", &line[..end]);
    write(output, text.as_bytes()).ok();
}

/// Keeps the system from ending the process when a file that it writes, its log, reaches the limit
/// of file sizes; writing to it then fails. Called within a runtime.
///
/// # Errors
///
/// The signal's handler can't be installed.
pub fn ignore_file_size_signal() -> io::Result<()> {
    // The handler stays when the stream is dropped.
    signal(SignalKind::from_raw(Signal::XFSZ.as_raw())).map(drop)
}
