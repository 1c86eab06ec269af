//! Mutation fuzzing of the decoders of untrusted bytes. Valid inputs are damaged at random; a
//! decoder may reject them but must not panic, and what it accepts must keep the properties checked
//! here.

use {
    bytes::Bytes,
    greengagecleat::{
        attempt::sse::Splitter,
        config::{Document, accept},
        gateway::Request,
        key::Digest,
        source::{Directory, Listing},
        wire::{self, Answer, Frame},
    },
    rand::{Rng, RngExt, SeedableRng, rngs::StdRng},
    serde::{Serialize, de::DeserializeOwned},
    std::{panic::catch_unwind, time::Duration},
};

/// Largest number of random changes made to one input.
const MAX_MUTATIONS: usize = 8;
/// Longest piece, in bytes, that a change copies, removes or inserts.
const MAX_PIECE_BYTES: usize = 64;
/// Bound on the nesting of deeply nested inputs.
const MAX_NESTING: usize = 100_000;

/// A decoder of untrusted bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The configuration documents that operators write.
    Tables,
    /// Control messages between hosts.
    Frame,
    /// Calls that another host forwards.
    Call,
    /// Responses to forwarded calls.
    Answer,
    /// Server-sent events from upstreams.
    Events,
    /// JSON bodies of model calls.
    Body,
    /// Digests of API keys.
    Digest,
    /// The platform's host list and client directory.
    Lists,
}

impl Target {
    /// All decoders.
    pub const ALL: [Self; 8] = [
        Self::Tables,
        Self::Frame,
        Self::Call,
        Self::Answer,
        Self::Events,
        Self::Body,
        Self::Digest,
        Self::Lists,
    ];

    /// The valid inputs that are damaged.
    fn corpus(self) -> Vec<Vec<u8>> {
        match self {
            Self::Tables => tables().map(Vec::from).to_vec(),
            Self::Frame => vec![wire::encode(&frame()).to_vec()],
            Self::Call => vec![wire::encode(&call()).to_vec()],
            Self::Answer => answers().iter().map(|answer| wire::encode(answer).to_vec()).collect(),
            Self::Events => vec![
                b"data: {\"choices\":[]}\n\n: comment\n\ndata: [DONE]\n\n".to_vec(),
                b"event: error\r\ndata: x\r\n\r\nid: 1\ndata: y\n\n".to_vec(),
            ],
            Self::Body => vec![
                br#"{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"q"}]}],"n":2}"#.to_vec(),
                br#"{"model":"m","prompt":["a","b"],"stream":true,"max_tokens":5}"#.to_vec(),
            ],
            Self::Digest => vec![Digest::of(b"key").to_string().into_bytes()],
            Self::Lists => vec![
                br#"{"hosts":[{"name":"a","kind":"entry","address":"10.0.0.1:1","peer_address":"10.0.0.1:2","region":"r","domain":"d","state":"live"}]}"#.to_vec(),
                br#"{"clients":[{"network":"10.0.0.0/8","region":"r","domain":"d"}]}"#.to_vec(),
            ],
        }
    }

    /// Decodes an input and panics when a checked property does not hold.
    fn check(self, input: &[u8], random: &mut StdRng) {
        match self {
            Self::Tables => check_tables(input),
            Self::Frame => check_wire::<Frame>(input),
            Self::Call => check_wire::<wire::Request>(input),
            Self::Answer => check_wire::<Answer>(input),
            Self::Events => check_events(input, random),
            Self::Body => check_body(input),
            Self::Digest => check_digest(input),
            Self::Lists => {
                serde_json::from_slice::<Listing>(input).ok();
                serde_json::from_slice::<Directory>(input).ok();
            }
        }
    }
}

/// An input on which a decoder panicked or violated a property.
#[derive(Debug, Clone)]
pub struct Finding {
    /// The decoder that failed.
    pub target: Target,
    /// Number of the case, by which it can be repeated with the same seed.
    pub case: u64,
    /// The damaged input.
    pub input: Vec<u8>,
}

/// Runs `cases` damaged inputs through each decoder and returns those that failed. The same seed
/// gives the same inputs.
pub fn run(seed: u64, cases: u64) -> Vec<Finding> {
    let mut findings = Vec::new();
    for target in Target::ALL {
        let corpus = target.corpus();
        for case in 0..cases {
            let mut random = StdRng::seed_from_u64(seed ^ (case << 8) ^ target as u64);
            let input = mutated_input(&corpus, &mut random);
            let original = input.clone();
            let broke = catch_unwind(move || target.check(&input, &mut random)).is_err();
            if broke {
                findings.push(Finding {
                    target,
                    case,
                    input: original,
                });
            }
        }
    }
    findings
}

/// Picks an input of the corpus and applies random changes to it.
fn mutated_input(corpus: &[Vec<u8>], random: &mut StdRng) -> Vec<u8> {
    let mut input = corpus[random.random_range(0..corpus.len())].clone();
    for _ in 0..random.random_range(0..=MAX_MUTATIONS) {
        mutate(&mut input, corpus, random);
    }
    input
}

fn mutate(input: &mut Vec<u8>, corpus: &[Vec<u8>], random: &mut StdRng) {
    let at = random.random_range(0..=input.len());
    let end = (at + random.random_range(0..=MAX_PIECE_BYTES)).min(input.len());
    match random.random_range(0..7) {
        0 if at < input.len() => input[at] = random.random(),
        1 => drop(input.drain(at..end)),
        2 => {
            let piece = input[at..end].to_vec();
            input.splice(at..at, piece);
        }
        3 => {
            let mut piece = vec![0; random.random_range(0..=MAX_PIECE_BYTES)];
            random.fill_bytes(&mut piece);
            input.splice(at..at, piece);
        }
        4 => input.truncate(at),
        5 => {
            let other = &corpus[random.random_range(0..corpus.len())];
            let from = random.random_range(0..=other.len());
            input.extend_from_slice(&other[from..]);
        }
        _ => {
            let opening = [b"[".as_slice(), b"{\"a\":", b"\x81", b"[[a]]\n"];
            let piece = opening[random.random_range(0..opening.len())];
            let depth =
                random.random_range(0..MAX_NESTING) / (1 + random.random_range(0..MAX_NESTING));
            input.splice(at..at, piece.repeat(depth));
        }
    }
}

fn check_tables(input: &[u8]) {
    let Ok(text) = std::str::from_utf8(input) else {
        return;
    };
    for document in Document::ALL {
        let first = accept::document(document, text);
        assert_eq!(
            first,
            accept::document(document, text),
            "the verdict is a function of the text"
        );
        let lines = text.lines().count() + 1;
        for fault in first.err().unwrap_or_default() {
            assert!(
                (1..=lines).contains(&fault.line),
                "{fault} is not in the text"
            );
        }
    }
}

/// Checks that a decoded message survives being encoded and decoded again.
fn check_wire<M: Serialize + DeserializeOwned>(input: &[u8]) {
    if let Ok(message) = wire::decode::<M>(input, "a peer") {
        let sent = wire::encode(&message);
        let back: M = wire::decode(&sent, "a peer").expect("what was encoded decodes");
        assert_eq!(wire::encode(&back), sent);
    }
}

/// Checks that the events do not depend on how the bytes are split into chunks.
fn check_events(input: &[u8], random: &mut StdRng) {
    let whole = Splitter::new().push(input);
    let mut splitter = Splitter::new();
    let mut frames = Vec::new();
    let mut rest = input;
    while !rest.is_empty() {
        let (chunk, after) = rest.split_at(random.random_range(1..=rest.len()));
        match splitter.push(chunk) {
            Ok(found) => frames.extend(found),
            Err(_) => return,
        }
        rest = after;
    }
    if let Ok(whole) = whole {
        assert_eq!(frames, whole);
    }
}

/// Checks that the body sent to the upstream parses to the same request, with a bound on its
/// tokens.
fn check_body(input: &[u8]) {
    if let Ok(request) = Request::parse(&Bytes::copy_from_slice(input)) {
        let again = Request::parse(&request.body).expect("what is sent on is valid");
        assert_eq!(again, request);
        assert!(request.answer_tokens >= 1);
    }
}

fn check_digest(input: &[u8]) {
    let Ok(text) = std::str::from_utf8(input) else {
        return;
    };
    if let Ok(digest) = text.parse::<Digest>() {
        assert_eq!(digest.to_string(), text.to_ascii_lowercase());
    }
}

fn tables() -> [&'static str; 3] {
    [
        "[[route]]\nname = \"a\"\nkind = \"model\"\nmodel = \"m\"\npools = [\"p\"]\ncustomers = [\"c\"]\ndeadline_ms = 5000\n[[route]]\nname = \"b\"\nkind = \"plain\"\npath = \"/b\"\npools = [\"p\"]\nidempotent = true\n",
        "[[pool]]\nname = \"p\"\nregion = \"r\"\npayment = \"on-demand\"\nprice_per_million = 1.5\nslots = 4\n[[pool.upstream]]\nname = \"u\"\naddress = \"10.0.0.1:80\"\ndomain = \"d\"\n",
        "[[customer]]\nname = \"c\"\nkeys = [\"sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\"]\nrate = 10.0\nburst = 1e3\nresidency = [\"r\"]\nweight = 2\n",
    ]
}

fn frame() -> Frame {
    Frame {
        from: "a".into(),
        message: wire::Message::Probe(wire::Probe {
            sent: Duration::from_millis(1500),
        }),
    }
}

fn call() -> wire::Request {
    wire::Request::Call {
        id: 7,
        call: Box::new(wire::Call {
            request: "a-1-2".into(),
            route: "r".into(),
            customer: Some("c".into()),
            digest: Some(Digest::of(b"key").to_string()),
            method: "POST".into(),
            target: "/r/1?q=2".into(),
            headers: vec![wire::Header {
                name: "accept".into(),
                value: Bytes::from_static(b"*/*"),
            }],
            body: Bytes::from_static(b"{}"),
            remaining: Duration::from_secs(3),
            visited: vec!["south".into()],
            hosts: vec!["a".into()],
            hops: 2,
            version: 0,
            long_version: None,
            version_digest: None,
            elapsed: Duration::ZERO,
            build: None,
        }),
    }
}

fn answers() -> [Answer; 3] {
    [
        Answer::Head {
            id: 7,
            status: 200,
            headers: Vec::new(),
            upstream: "u".into(),
            build: Some("b".into()),
            pool: "p".into(),
        },
        Answer::Data {
            id: 7,
            bytes: Bytes::from_static(b"data"),
        },
        Answer::Fail {
            id: 7,
            failure: greengagecleat::failure::Failure::not_run(
                greengagecleat::failure::Code::NoCapacity,
                "busy",
            ),
        },
    ]
}
