//! Tests of the program as operators run it: commands, settings, signals and exit statuses.

mod common;

use {
    common::{Bed, KOLLAM, chat, until},
    std::{
        io::Write,
        net::SocketAddr,
        process::{Child, Command, Output, Stdio},
        time::Duration,
    },
    testbed::{
        client::Answer,
        engine,
        platform::{Host, Hosts, Kind, State},
        serve::own_address,
    },
    tokio::{net::TcpStream, time::timeout},
};

/// Longest time for an answer beside idle connections.
const ANSWER_TIME: Duration = Duration::from_secs(3);
const PROGRAM: &str = env!("CARGO_BIN_EXE_greengagecleat");

fn run_program(arguments: &[&str], variables: &[(&str, &str)]) -> Output {
    Command::new(PROGRAM)
        .args(arguments)
        .env_clear()
        .envs(variables.iter().copied())
        .output()
        .expect("the program runs")
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("text")
}

#[test]
fn invalid_setting_prints_one_line_and_exits_with_status_2() {
    let good = [
        ("GREENGAGECLEAT_NAME", "south-a"),
        ("GREENGAGECLEAT_REGION", "south"),
        ("GREENGAGECLEAT_DOMAIN", "south-1"),
        ("GREENGAGECLEAT_LISTEN", "127.0.0.1:0"),
        ("GREENGAGECLEAT_PEER_LISTEN", "127.0.0.1:0"),
        ("GREENGAGECLEAT_ADMIN_LISTEN", "127.0.0.1:0"),
    ];
    type Case<'a> = (&'a [&'a str], &'a [(&'a str, &'a str)], [&'a str; 2]);
    let cases: [Case<'_>; 6] = [
        (&["serve"], &[], ["--platform", "GREENGAGECLEAT_PLATFORM"]),
        (
            &["serve", "--name", "two words"],
            &[],
            ["--name", "two words"],
        ),
        (
            &["serve", "--platform", "nowhere"],
            &[],
            ["--platform", "nowhere"],
        ),
        (
            &["serve", "--platform", "127.0.0.1:1"],
            &[("GREENGAGECLEAT_DRAIN_LIMIT", "-1")],
            ["--drain-limit", "GREENGAGECLEAT_DRAIN_LIMIT"],
        ),
        (
            &["serve", "--platform", "127.0.0.1:1", "--log-format", "xml"],
            &[],
            ["--log-format", "xml"],
        ),
        (
            &["serve", "--platform", "127.0.0.1:1"],
            &[("GREENGAGECLEAT_BODY_LIMIT", "12")],
            ["--body-limit", "GREENGAGECLEAT_BODY_LIMIT"],
        ),
    ];
    for (arguments, variables, wanted) in cases {
        let variables: Vec<_> = good.iter().chain(variables).copied().collect();
        let output = run_program(arguments, &variables);
        let errors = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {errors}");
        assert_eq!(errors.lines().count(), 1, "{errors}");
        for part in wanted {
            assert!(errors.contains(part), "{part} is not in {errors}");
        }
    }
}

#[test]
fn key_digest_prints_the_digest_for_the_customers_document() {
    let mut child = Command::new(PROGRAM)
        .args(["key", "digest"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program runs");
    let mut input = child.stdin.take().expect("a pipe");
    input.write_all(b"abc\n").expect("written");
    drop(input);
    let output = child.wait_with_output().expect("ended");
    let known = "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n";
    assert_eq!(text(&output.stdout), known);
}

#[test]
fn check_accepts_the_example_tables_and_reports_every_error() {
    for deployment in ["kerala", "egypt"] {
        let files: Vec<_> = ["routes", "pools", "customers"]
            .iter()
            .map(|name| format!("examples/tables/{deployment}/{name}.toml"))
            .collect();
        let arguments: Vec<_> = std::iter::once("check")
            .chain(files.iter().map(String::as_str))
            .collect();
        let output = run_program(&arguments, &[]);
        assert!(output.status.success(), "{}", text(&output.stdout));
    }
    let folder = std::env::temp_dir().join(format!("greengagecleat-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("routes.toml");
    std::fs::write(
        &file,
        "[[route]]\nname = \"a\"\nkind = \"plain\"\npools = []\ncolour = 1\n",
    )
    .expect("written");
    let output = run_program(&["check", file.to_str().expect("text")], &[]);
    std::fs::remove_dir_all(&folder).expect("removed");
    assert_eq!(output.status.code(), Some(2));
    let printed = text(&output.stdout);
    assert!(printed.contains("routes.toml:5: error"), "{printed}");
    assert!(printed.lines().count() > 2, "one line per error: {printed}");
}

/// A running daemon, which is killed when the value is dropped.
struct Daemon {
    child: Child,
    callers: SocketAddr,
    admin: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn start(bed: &Bed, drain_limit: &str) -> Daemon {
    start_with(Command::new(PROGRAM), bed, drain_limit)
}

/// Starts the daemon by a command that passes its arguments on.
fn start_with(mut command: Command, bed: &Bed, drain_limit: &str) -> Daemon {
    let own = own_address();
    let [callers, peers, admin] = [8301, 8302, 8303].map(|port| SocketAddr::from((own, port)));
    let child = command
        .args([
            "serve", "--name", "south-a", "--region", "south", "--domain", "south-1",
        ])
        .args(["--listen", &callers.to_string()])
        .args(["--peer-listen", &peers.to_string()])
        .args(["--admin-listen", &admin.to_string()])
        .args(["--platform", &bed.platform.address.to_string()])
        .args([
            "--region-hosts",
            "1",
            "--drain-grace",
            "0.1",
            "--drain-limit",
            drain_limit,
        ])
        .args(["--log-filter", "warn"])
        .spawn()
        .expect("the program runs");
    bed.platform.hosts(Hosts {
        hosts: vec![Host {
            name: "south-a".into(),
            kind: Kind::Entry,
            address: callers,
            peer_address: Some(peers),
            region: "south".into(),
            domain: "south-1".into(),
            pool: None,
            state: State::Live,
        }],
    });
    Daemon {
        child,
        callers,
        admin,
    }
}

async fn wait_until_ready(bed: &Bed, daemon: &Daemon) {
    let ask = testbed::client::Call::get("/readyz");
    until(async || {
        let answer = bed.caller.whole(daemon.admin, &ask).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
}

fn send_sigterm(daemon: &Daemon) {
    let sent = Command::new("kill")
        .args(["-TERM", &daemon.child.id().to_string()])
        .status()
        .expect("kill runs");
    assert!(sent.success());
}

async fn exit_code(daemon: &mut Daemon) -> Option<i32> {
    let mut code = None;
    until(async || {
        let ended = daemon.child.try_wait().expect("a child");
        code = ended.and_then(|status| status.code());
        ended.is_some()
    })
    .await;
    code
}

fn slow_engine() -> engine::Settings {
    engine::Settings {
        step: Duration::from_millis(20),
        ..engine::Settings::instant()
    }
}

async fn stream_answer(bed: &Bed, daemon: &Daemon, tokens: u32) -> std::io::Result<Answer> {
    let call =
        chat("a long answer", tokens, true).header("authorization", &format!("Bearer {KOLLAM}"));
    bed.caller.whole(daemon.callers, &call).await
}

#[tokio::test]
async fn sigterm_drains_and_exits_0() {
    let bed = Bed::with(slow_engine(), Default::default()).await;
    let mut daemon = start(&bed, "60");
    wait_until_ready(&bed, &daemon).await;
    let answering = stream_answer(&bed, &daemon, 40);
    let draining = async {
        until(async || bed.engine.count().requests == 1).await;
        send_sigterm(&daemon);
    };
    let (answer, ()) = tokio::join!(answering, draining);
    let whole = answer.expect("a whole answer").body;
    assert!(text(&whole).contains("[DONE]"));
    assert_eq!(exit_code(&mut daemon).await, Some(0));
}

#[tokio::test]
async fn drain_limit_and_second_sigterm_exit_with_status_3() {
    for (limit, signals) in [("0.5", 1), ("600", 2)] {
        let bed = Bed::with(slow_engine(), Default::default()).await;
        let mut daemon = start(&bed, limit);
        wait_until_ready(&bed, &daemon).await;
        let answering = stream_answer(&bed, &daemon, 100_000);
        let draining = async {
            until(async || bed.engine.count().requests == 1).await;
            for _ in 0..signals {
                send_sigterm(&daemon);
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        };
        let (answer, ()) = tokio::join!(answering, draining);
        let whole = answer.map(|answer| answer.body).unwrap_or_default();
        assert!(
            !text(&whole).contains("[DONE]"),
            "an aborted answer must not look complete"
        );
        assert_eq!(exit_code(&mut daemon).await, Some(3));
    }
}

#[tokio::test]
async fn status_prints_the_hosts_view() {
    let bed = Bed::start().await;
    let daemon = start(&bed, "60");
    wait_until_ready(&bed, &daemon).await;
    let output = run_program(&["status", &daemon.admin.to_string()], &[]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let printed = text(&output.stdout);
    for part in ["south-a", "running", "routes", "pools", "customers"] {
        assert!(printed.contains(part), "{part} is not in {printed}");
    }
}

/// What a host needs to start, except for addresses: the store is not there, so it isn't ready.
fn serve(addresses: [SocketAddr; 3]) -> Child {
    let [callers, peers, admin] = addresses.map(|address| address.to_string());
    Command::new(PROGRAM)
        .args([
            "serve", "--name", "south-a", "--region", "south", "--domain", "south-1",
        ])
        .args(["--listen", &callers, "--peer-listen", &peers])
        .args(["--admin-listen", &admin, "--platform", "127.0.0.1:1"])
        .args(["--drain-grace", "0.1"])
        .env_clear()
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program runs")
}

fn own_addresses() -> [SocketAddr; 3] {
    let own = own_address();
    [8301, 8302, 8303].map(|port| SocketAddr::from((own, port)))
}

async fn until_bound(address: SocketAddr) {
    until(async || tokio::net::TcpStream::connect(address).await.is_ok()).await;
}

fn send(child: &Child, signal: &str) {
    let id = child.id().to_string();
    let sent = Command::new("kill").args(["-s", signal, &id]).status();
    assert!(sent.expect("kill runs").success());
}

/// The process's end, with what it wrote to standard error.
async fn end(mut child: Child) -> (Option<i32>, String) {
    until(async || child.try_wait().expect("a child").is_some()).await;
    let output = child.wait_with_output().expect("ended");
    (output.status.code(), text(&output.stderr).to_owned())
}

#[tokio::test]
async fn serve_waits_for_an_address_that_is_in_use() {
    for taken in 0..3 {
        let addresses = own_addresses();
        let holder = std::net::TcpListener::bind(addresses[taken]).expect("a listener");
        let mut child = serve(addresses);
        if taken > 0 {
            until_bound(addresses[0]).await;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        let ended = child.try_wait().expect("a child");
        assert_eq!(ended, None, "address {taken} was in use");
        drop(holder);
        for address in addresses {
            until_bound(address).await;
        }
        send(&child, "TERM");
        let (status, log) = end(child).await;
        assert_eq!(status, Some(0), "{log}");
        assert!(log.contains(&addresses[taken].to_string()), "{log}");
    }
}

#[tokio::test]
async fn serve_that_waits_for_its_address_ends_at_once_when_terminated() {
    for signal in ["TERM", "INT"] {
        let addresses = own_addresses();
        let _holder = std::net::TcpListener::bind(addresses[0]).expect("a listener");
        let mut child = serve(addresses);
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(child.try_wait().expect("a child"), None);
        send(&child, signal);
        let (status, log) = end(child).await;
        assert_eq!(status, Some(0), "{log}");
    }
}

#[tokio::test]
async fn serve_goes_on_after_sighup() {
    let addresses = own_addresses();
    let mut child = serve(addresses);
    until_bound(addresses[0]).await;
    send(&child, "HUP");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(child.try_wait().expect("a child"), None);
    send(&child, "TERM");
    let (status, log) = end(child).await;
    assert_eq!(status, Some(0), "{log}");
    assert!(log.contains("nothing to reload"), "{log}");
}

#[tokio::test]
async fn serve_with_the_same_address_twice_ends_with_status_2() {
    let [callers, peers, _] = own_addresses();
    let (status, log) = end(serve([callers, peers, callers])).await;
    assert_eq!(status, Some(2), "{log}");
    assert!(log.contains("--admin-listen"), "{log}");
}

/// The commands panicked, with status 101, where their output or errors could not be written.
#[test]
fn commands_whose_output_is_full_end_with_their_statuses() {
    let full = || Stdio::from(std::fs::File::create("/dev/full").expect("a device"));
    let run = |arguments: &[&str], input: &str, errors: Stdio| {
        let mut child = Command::new(PROGRAM)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(full())
            .stderr(errors)
            .spawn()
            .expect("the program runs");
        let mut stdin = child.stdin.take().expect("piped");
        stdin.write_all(input.as_bytes()).expect("written");
        drop(stdin);
        child.wait_with_output().expect("ended")
    };
    let log =
        r#"{"timestamp":"2026-01-01T00:00:00Z","level":"INFO","message":"m","request":"r-1"}"#;
    let table = "examples/tables/kerala/pools.toml";
    for (arguments, input) in [
        (&["key", "digest"][..], "key-1\n"),
        (&["check", table], ""),
        (&["trace", "r-1"], log),
    ] {
        let told = run(arguments, input, Stdio::piped());
        let errors = text(&told.stderr);
        assert_eq!(told.status.code(), Some(1), "{errors}");
        assert!(
            errors.starts_with("greengagecleat: standard output: "),
            "{errors}"
        );
        assert_eq!(errors.lines().count(), 1, "{errors}");
        let untold = run(arguments, input, full());
        assert_eq!(untold.status, told.status, "{arguments:?}");
    }
    for arguments in [&["status", "nonsense"][..], &["check"], &["key", "digest"]] {
        let untold = run(arguments, "", full());
        assert_eq!(untold.status.code(), Some(2), "{arguments:?}");
    }
}

/// Idle connections of callers took all descriptors: calls and the operators' pages hung.
#[tokio::test]
async fn idle_connections_leave_descriptors_for_calls_and_pages() {
    let bed = Bed::start().await;
    let mut limited = Command::new("sh");
    let script = format!("ulimit -n 64 && exec {PROGRAM} \"$@\"");
    limited.args(["-c", &script, "sh"]);
    let daemon = start_with(limited, &bed, "60");
    wait_until_ready(&bed, &daemon).await;
    let mut idle = Vec::new();
    for _ in 0..100 {
        idle.push(
            TcpStream::connect(daemon.callers)
                .await
                .expect("a connection"),
        );
    }
    for path in ["/readyz", "/metrics"] {
        let ask = testbed::client::Call::get(path);
        let answer = timeout(ANSWER_TIME, bed.caller.whole(daemon.admin, &ask)).await;
        let answer = answer.unwrap_or_else(|_| panic!("{path} hangs"));
        assert_eq!(answer.expect("an answer").status, 200, "{path}");
    }
    let answer = timeout(ANSWER_TIME, stream_answer(&bed, &daemon, 4)).await;
    assert_eq!(
        answer.expect("a call in time").expect("an answer").status,
        200
    );
}
