//! Tests the splitting of server-sent events at arbitrary chunk boundaries.

use {
    greengagecleat::attempt::sse::{Kind, MAX_EVENT_BYTES, Splitter},
    quickcheck::{Gen, QuickCheck},
};

const STREAM: &str = "data: {\"a\":1}\n\n: ping\r\n\r\ndata:{\"b\":\"\u{d4d}\"}\r\n\r\n\
                      event: x\ndata: two\ndata: lines\n\ndata: [DONE]\n\n";

fn kinds(chunks: &[&[u8]]) -> (Vec<Kind>, Vec<u8>) {
    let mut splitter = Splitter::new();
    let mut kinds = Vec::new();
    let mut bytes = Vec::new();
    for chunk in chunks {
        for frame in splitter.push(chunk).unwrap() {
            kinds.push(frame.kind);
            bytes.extend_from_slice(&frame.bytes);
        }
    }
    assert!(!splitter.is_partial());
    (kinds, bytes)
}

#[test]
fn boundaries_do_not_matter() {
    fn holds(cuts: Vec<usize>) -> bool {
        let stream = STREAM.as_bytes();
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % stream.len()).collect();
        cuts.extend([0, stream.len()]);
        cuts.sort_unstable();
        let chunks: Vec<&[u8]> = cuts.windows(2).map(|cut| &stream[cut[0]..cut[1]]).collect();
        let (kinds, bytes) = kinds(&chunks);
        bytes == stream && kinds == [Kind::Data, Kind::Empty, Kind::Data, Kind::Data, Kind::Done]
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 3))
        .tests(2_000)
        .quickcheck(holds as fn(Vec<usize>) -> bool);
}

#[test]
fn unfinished_event_is_known_as_such() {
    let mut splitter = Splitter::new();
    assert!(splitter.push(b"data: {\"a\"").unwrap().is_empty());
    assert!(splitter.is_partial());
}

#[test]
fn endless_event_is_refused() {
    let mut splitter = Splitter::new();
    let chunk = vec![b'x'; MAX_EVENT_BYTES / 2 + 1];
    assert!(splitter.push(&chunk).is_ok());
    assert!(splitter.push(&chunk).is_err());
}
