//! Tests that a running `greengagecleat serve` ends only when it is told to, and then in time: with
//! real processes, whose log and signals are disturbed from outside.

use {
    greengagecleat::log::{MAX_BUFFERED_LINES, Writer},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        process::{Child, Command, ExitStatus, Stdio},
        thread::sleep,
        time::{Duration, Instant},
    },
    testbed::serve::own_address,
};

/// Longest time until a process has started, or has ended after a signal.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time until the answer to an operator's request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a process is watched that must go on.
const WATCH_TIME: Duration = Duration::from_millis(500);
/// More lines than a log of 8 blocks holds.
const LINES_TO_LIMIT: usize = 100;
/// More lines than a pipe and the queue of lines hold.
const FLOOD: usize = 8_000;

/// A running host without a platform, which is killed when the value is dropped.
struct Daemon {
    child: Child,
    admin: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Daemon {
    /// Starts a host through a shell, which first runs `setup`, and redirects as told.
    fn start(setup: &str, redirections: &str) -> Self {
        let own = own_address();
        let [callers, peers, admin] = [8301, 8302, 8303].map(|port| SocketAddr::from((own, port)));
        let child = Command::new("sh")
            .args(["-c", &format!("{setup}exec \"$0\" \"$@\" {redirections}")])
            .arg(env!("CARGO_BIN_EXE_greengagecleat"))
            .args([
                "serve", "--name", "south-a", "--region", "south", "--domain", "south-1",
            ])
            .args(["--listen", &callers.to_string()])
            .args(["--peer-listen", &peers.to_string()])
            .args(["--admin-listen", &admin.to_string()])
            .args(["--platform", "127.0.0.1:1", "--region-hosts", "1"])
            .args(["--drain-grace", "0.1", "--drain-limit", "2"])
            .args(["--log-filter", "trace"])
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program runs");
        Self { child, admin }
    }

    fn status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a child")
    }

    /// Asks for a page of the operators' address.
    fn page(&self, path: &str) -> std::io::Result<String> {
        let mut stream = TcpStream::connect(self.admin)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        let head = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    }

    /// Sends what is no request, of which the host logs a line, and waits until it is refused.
    fn send_nonsense(&self) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(self.admin)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        stream.write_all(b"nonsense\r\n\r\n")?;
        stream.read_to_end(&mut Vec::new())?;
        Ok(())
    }

    /// Waits until the host serves its operators, or has ended.
    fn wait_until_started(&mut self) {
        let started = Instant::now();
        while self.status().is_none() && self.page("/metrics").is_err() {
            assert!(started.elapsed() < TIMEOUT, "the host does not answer");
            sleep(Duration::from_millis(10));
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// The exit status, once the process has ended.
    fn wait(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.status() {
                return status;
            }
            assert!(started.elapsed() < TIMEOUT, "the process does not end");
            sleep(Duration::from_millis(10));
        }
    }

    /// Asserts that the process goes on and answers, and that it drains on SIGTERM.
    fn assert_runs_and_drains(mut self, case: &str) {
        self.wait_until_started();
        sleep(WATCH_TIME);
        assert_eq!(self.status(), None, "{case}: it ended by itself");
        self.page("/metrics").expect(case);
        self.signal("TERM");
        assert_eq!(self.wait().code(), Some(0), "{case}");
    }
}

/// A log that can't be written aborted the process: the error was printed with `eprintln!`, which
/// panicked on the same output, and so did the hook of panics.
#[test]
fn a_log_that_cannot_be_written_does_not_end_the_host() {
    for redirections in ["2>/dev/full", "2>&-", "0<&- 1>&- 2>&-"] {
        Daemon::start("", redirections).assert_runs_and_drains(redirections);
    }
    let mut daemon = Daemon::start("", "");
    drop(daemon.child.stderr.take());
    daemon.assert_runs_and_drains("the reader of the log is gone");
}

/// A limit of the size of files ended the process by SIGXFSZ when its log reached it.
#[test]
fn a_log_at_the_limit_of_file_sizes_does_not_end_the_host() {
    let path = std::env::temp_dir().join(format!("greengagecleat-ends-{}", std::process::id()));
    let redirections = format!("2>{}", path.display());
    let mut daemon = Daemon::start("ulimit -f 8; ", &redirections);
    daemon.wait_until_started();
    for _ in 0..LINES_TO_LIMIT {
        daemon.send_nonsense().ok();
    }
    daemon.assert_runs_and_drains("the log is at its limit");
    std::fs::remove_file(&path).ok();
}

/// A log that nobody reads blocked the threads that wrote it, so that the host neither answered nor
/// drained.
#[test]
fn a_log_that_nobody_reads_blocks_neither_the_host_nor_its_end() {
    let mut daemon = Daemon::start("", "");
    daemon.wait_until_started();
    for n in 0..FLOOD {
        let answer = daemon.send_nonsense();
        answer.unwrap_or_else(|error| panic!("request {n}: {error}"));
    }
    let page = daemon.page("/metrics").expect("an answer");
    let lost = page.lines().find_map(|line| {
        let value = line.strip_prefix("greengagecleat_log_lines_lost ")?;
        value.parse::<u64>().ok()
    });
    assert!(lost.is_some_and(|lost| lost > 0), "lines lost: {lost:?}");
    daemon.assert_runs_and_drains("nobody reads the log");
}

/// An output that takes nothing.
struct Stuck;

impl Write for Stuck {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        loop {
            std::thread::park();
        }
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Lines with long ids of requests took 129 MB while nobody read the log.
#[test]
fn long_lines_that_wait_are_bounded_in_bytes() {
    const LINE: usize = 30 << 10;
    const LINES: usize = 4_000;
    let mut log = Writer::start(MAX_BUFFERED_LINES, Stuck);
    for _ in 0..LINES {
        log.write_all(&[b'x'; LINE]).expect("the log takes lines");
    }
    let kept = LINES - usize::try_from(log.lost().get()).expect("a count");
    assert!(kept * LINE <= 16 << 20, "{kept} lines are kept");
}

/// A panic was logged and not counted, so that a part that fails again and again showed in no metric.
#[test]
fn panics_are_counted_by_place() {
    greengagecleat::panic::log_all();
    for _ in 0..2 {
        std::thread::spawn(|| panic!("injected"))
            .join()
            .unwrap_err();
    }
    let page = greengagecleat::metric::Metrics::new().render();
    let counted = page.lines().any(|line| {
        line.starts_with("greengagecleat_panics_total{place=\"tests/ends.rs:")
            && line.ends_with("\"} 2")
    });
    assert!(counted, "{page}");
}
