//! Tests of exchanges between hosts, on an in-memory network under paused time.

use {
    bytes::Bytes,
    greengagecleat::{
        clock::Monotonic,
        failure::{Code, Failure, Ran},
        link::{
            Handle, Handler, Identity, Limits, Mailboxes, Memory as MessageMemory, Peers,
            exchange::{Client, Head},
            serve,
        },
        name,
        net::{
            Memory, Network,
            room::{Evictions, Room},
        },
        proxy::origin,
        wire,
    },
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::{sleep, timeout},
    },
};

/// Number of pieces in each answer.
const PIECES_PER_ANSWER: usize = 3;

/// Answers every call with [`PIECES_PER_ANSWER`] pieces of 40 kB, and with the status that its target
/// names, or 200.
#[derive(Debug, Clone)]
struct FixedPieces;

impl Handler for FixedPieces {
    type Body = usize;

    async fn call(&self, _: &name::Host, call: wire::Call) -> Result<(Head, usize), Failure> {
        let head = Head {
            status: call.target[1..].parse().unwrap_or(200),
            headers: Vec::new(),
            upstream: "upstream".into(),
            build: None,
            pool: "pool".into(),
        };
        Ok((head, PIECES_PER_ANSWER))
    }

    async fn next(&self, left: &mut usize) -> Result<Option<Bytes>, Failure> {
        if *left == 0 {
            return Ok(None);
        }
        *left -= 1;
        Ok(Some(Bytes::from(vec![b'x'; 40_000])))
    }
}

fn identity(network: &Network, host: &str, secret: &str) -> Identity {
    Identity {
        host: host.into(),
        secret: secret.into(),
        message_limit: 1 << 20,
        network: network.clone(),
    }
}

/// Starts a host that serves calls; it stops when the returned sender is dropped.
async fn start_server(network: &Network) -> (SocketAddr, watch::Sender<()>) {
    start_server_with(network, Mailboxes::default(), MessageMemory::new(1 << 20)).await
}

/// Like [`start_server`], but delivers control messages to `mailboxes`.
async fn start_server_with(
    network: &Network,
    mailboxes: Mailboxes,
    memory: MessageMemory,
) -> (SocketAddr, watch::Sender<()>) {
    let listener = network
        .bind(([10, 0, 0, 1], 90).into())
        .await
        .expect("a free address");
    let address = listener.local_addr().expect("bound");
    let (stop, stopped) = watch::channel(());
    let own = identity(network, "serving", "secret");
    let handle = Handle::new(own, Peers::default());
    let clock = Monotonic::new();
    tokio::spawn(serve(
        listener,
        mailboxes,
        handle,
        clock,
        FixedPieces,
        Limits {
            room: Room::new(64, Evictions::default()),
            memory,
        },
        stopped,
    ));
    (address, stop)
}

fn call() -> wire::Call {
    wire::Call {
        request: "a-1".into(),
        route: "route".into(),
        customer: None,
        digest: None,
        method: "GET".into(),
        target: "/".into(),
        headers: Vec::new(),
        body: Bytes::new(),
        remaining: Duration::from_secs(300),
        visited: Vec::new(),
        hosts: Vec::new(),
        hops: 1,
        version: 0,
        long_version: None,
        version_digest: None,
        elapsed: Duration::ZERO,
        build: None,
    }
}

/// Makes one exchange, pausing before each read, and returns the size of the body in bytes.
async fn exchange_bytes(client: &Client, to: SocketAddr, pause: Duration) -> usize {
    let (head, mut body) = client.open(to, call(), true).await.expect("a head");
    assert_eq!(head.status, 200);
    let mut bytes = 0;
    loop {
        sleep(pause).await;
        match body.next().await.expect("the next piece") {
            Some(piece) => bytes += piece.len(),
            None => return bytes,
        }
    }
}

#[tokio::test(start_paused = true)]
async fn idle_connection_still_works_when_it_is_used_again() {
    let network = Network::Memory(Memory::new());
    let (address, _stop) = start_server(&network).await;
    let client = Client::new(identity(&network, "asking", "secret"));
    for idle in [0, 5, 12, 19, 30] {
        sleep(Duration::from_secs(idle)).await;
        let bytes = exchange_bytes(&client, address, Duration::ZERO).await;
        assert_eq!(bytes, PIECES_PER_ANSWER * 40_000, "after {idle} s");
    }
}

/// Keeps connections to a peer ready for a time, as the proxy does.
async fn keep_warm_for(client: &Client, to: SocketAddr, span: Duration) {
    let step = Duration::from_millis(500);
    for _ in 0..span.as_millis() / step.as_millis() {
        client.keep_warm([to].into());
        sleep(step).await;
    }
}

#[tokio::test(start_paused = true)]
async fn unrepeatable_call_finds_a_ready_connection_after_any_idle_time() {
    let network = Network::Memory(Memory::new());
    let (address, _stop) = start_server(&network).await;
    let client = Client::new(identity(&network, "asking", "secret"));
    for idle in [1, 10, 40] {
        keep_warm_for(&client, address, Duration::from_secs(idle)).await;
        let ready = client.ready_count(address);
        assert!(ready > 0);
        client.keep_warm(BTreeSet::new());
        let (_, body) = client.open(address, call(), false).await.expect("a head");
        assert_eq!(client.ready_count(address), ready - 1, "after {idle} s");
        drop(body);
    }
}

/// The peer closed a connection that was kept ready, perhaps as a call was sent on it.
#[tokio::test(start_paused = true)]
async fn connections_that_are_kept_ready_are_not_closed_by_the_peer() {
    let network = Network::Memory(Memory::new());
    let (address, _stop) = start_server(&network).await;
    let client = Client::new(identity(&network, "asking", "secret"));
    keep_warm_for(&client, address, Duration::from_secs(1)).await;
    for _ in 0..300 {
        sleep(Duration::from_millis(500)).await;
        client.keep_warm([address].into());
        assert!(client.ready_count(address) > 0);
    }
}

#[tokio::test(start_paused = true)]
async fn connections_to_a_peer_that_is_no_longer_kept_warm_are_closed() {
    let network = Network::Memory(Memory::new());
    let (address, _stop) = start_server(&network).await;
    let client = Client::new(identity(&network, "asking", "secret"));
    keep_warm_for(&client, address, Duration::from_secs(2)).await;
    assert!(client.ready_count(address) > 0);
    sleep(Duration::from_secs(25)).await;
    client.keep_warm(BTreeSet::new());
    assert_eq!(client.ready_count(address), 0);
}

#[tokio::test(start_paused = true)]
async fn connections_that_the_peer_has_closed_are_not_used() {
    let network = Network::Memory(Memory::new());
    let (address, stop) = start_server(&network).await;
    let client = Client::new(identity(&network, "asking", "secret"));
    keep_warm_for(&client, address, Duration::from_secs(2)).await;
    assert!(client.ready_count(address) > 0);
    drop(stop);
    sleep(Duration::from_secs(15)).await;
    let failure = client.open(address, call(), false).await;
    let failure = failure.expect_err("nobody serves");
    assert_eq!(failure.ran, Ran::No, "{failure:?}");
}

#[tokio::test(start_paused = true)]
async fn slow_reader_receives_the_complete_answer() {
    let network = Network::Memory(Memory::new());
    let (address, _stop) = start_server(&network).await;
    let client = Client::new(identity(&network, "asking", "secret"));
    let bytes = exchange_bytes(&client, address, Duration::from_secs(25)).await;
    assert_eq!(bytes, PIECES_PER_ANSWER * 40_000);
}

#[tokio::test(start_paused = true)]
async fn peer_with_another_secret_is_refused_and_nothing_ran() {
    let network = Network::Memory(Memory::new());
    let (address, _stop) = start_server(&network).await;
    let client = Client::new(identity(&network, "asking", "guess"));
    let failure = client
        .open(address, call(), true)
        .await
        .expect_err("refused");
    assert_eq!(failure.ran, Ran::No);
}

/// A host of an older build passes on whatever status its upstream answers with.
#[tokio::test(start_paused = true)]
async fn a_status_that_is_not_valid_is_a_failure_that_may_have_run() {
    let network = Network::Memory(Memory::new());
    let (address, _stop) = start_server(&network).await;
    let client = Client::new(identity(&network, "asking", "secret"));
    for status in [0, 101, 199, 600, 999, u16::MAX] {
        let call = wire::Call {
            target: format!("/{status}"),
            ..call()
        };
        let opened = client.open(address, call, true).await;
        let failure = opened.expect_err("no answer has this status");
        let seen = (failure.code, failure.ran);
        assert_eq!(seen, (Code::UpstreamFailed, Ran::Unknown), "{status}");
    }
}

/// Guards against a process that gets messages which only those understand that got earlier ones: a
/// host that starts again gets the first such message on its connection in the other form.
#[tokio::test(start_paused = true)]
async fn each_connection_begins_with_the_form_that_every_process_understands() {
    let network = Network::Memory(Memory::new());
    let (origin, mut received) = mpsc::channel(64);
    let mailboxes = Mailboxes {
        origin: Some(origin),
        ..Mailboxes::default()
    };
    let message = |ticket| {
        wire::Message::Origin(origin::Message::Told {
            ticket,
            build: None,
        })
    };
    let peers = Peers::default();
    let handle = Handle::new(identity(&network, "asking", "secret"), peers.clone());
    for _ in 0..2 {
        let (address, stop) =
            start_server_with(&network, mailboxes.clone(), MessageMemory::new(1 << 20)).await;
        peers.insert("serving".into(), address);
        // Two messages are lost while the sender finds out that the connection has ended.
        let mut tickets = Vec::new();
        for _ in 0..12 {
            handle.send_after(&"serving".into(), message(1), message(2));
            let next = timeout(Duration::from_secs(1), received.recv()).await;
            if let Ok(Some(next)) = next {
                let origin::Message::Told { ticket, .. } = next.message else {
                    panic!("{next:?} was not sent");
                };
                tickets.push(ticket);
            }
        }
        assert!(tickets.len() >= 4, "{tickets:?}");
        assert_eq!(tickets[0], 1, "{tickets:?}");
        assert!(
            tickets[1..].iter().all(|ticket| *ticket == 2),
            "{tickets:?}"
        );
        drop(stop);
        sleep(Duration::from_secs(15)).await;
    }
}

/// A host whose name is not ASCII was refused by its peers, and one with a control character in its
/// name panicked whenever it connected to one: both told nobody of themselves.
#[tokio::test(start_paused = true)]
async fn a_host_of_any_name_reaches_its_peers_or_fails_without_a_panic() {
    let network = Network::Memory(Memory::default());
    let (address, _stop) = start_server(&network).await;
    let named = |host| Client::new(identity(&network, host, "secret"));
    let bytes = exchange_bytes(&named("hôte-1"), address, Duration::ZERO).await;
    assert_eq!(bytes, PIECES_PER_ANSWER * 40_000);
    let failed = named("two\nlines").open(address, call(), true).await;
    assert_eq!(failed.err().map(|failure| failure.ran), Some(Ran::No));
}

/// Guards against large calls of many peers that are read at once, and against memory that isn't given
/// back: with memory for one of them, the calls are made one after another.
#[tokio::test(start_paused = true)]
async fn large_calls_are_read_one_after_another_where_memory_is_short() {
    let network = Network::Memory(Memory::new());
    let memory = MessageMemory::new(1 << 20);
    let (to, _stop) = start_server_with(&network, Mailboxes::default(), memory.clone()).await;
    let asking = (0..4).map(|number| {
        let client = Client::new(identity(&network, &format!("asking-{number}"), "secret"));
        let call = wire::Call {
            body: vec![b'x'; 600_000].into(),
            ..call()
        };
        async move {
            let (head, mut body) = client.open(to, call, true).await?;
            while body.next().await?.is_some() {}
            // A connection keeps a buffer of the size of its largest message.
            assert_eq!(client.ready_count(to), 0);
            Ok::<_, Failure>(head.status)
        }
    });
    let answers = futures::future::join_all(asking).await;
    assert!(
        answers.iter().all(|answer| *answer == Ok(200)),
        "{answers:?}"
    );
    assert!(memory.waits().get() >= 1);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(memory.held().get(), 0);
}

/// A peer that begins a large message and is cut off may not keep the memory from others.
#[tokio::test(start_paused = true)]
async fn a_large_call_that_finds_no_memory_has_not_run() {
    let network = Network::Memory(Memory::new());
    let memory = MessageMemory::new(1 << 20);
    let (to, _stop) = start_server_with(&network, Mailboxes::default(), memory.clone()).await;
    let large = || wire::Call {
        body: vec![b'x'; 600_000].into(),
        ..call()
    };
    let holding = Client::new(identity(&network, "holding", "secret"));
    let (_, _unread) = holding.open(to, large(), true).await.expect("a head");
    let asking = Client::new(identity(&network, "asking", "secret"));
    let refused = asking.open(to, large(), false).await;
    let refused = refused.err().map(|failure| (failure.code, failure.ran));
    assert_eq!(refused, Some((Code::Unreachable, Ran::No)));
}
