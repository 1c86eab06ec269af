//! Tests the splitting of server-sent events at arbitrary chunk boundaries.

use {
    greengagecleat::attempt::sse::{Boundary, Kind, MAX_EVENT_BYTES, Splitter},
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
fn boundary_and_splitter_agree_after_each_byte_wherever_chunks_end() {
    fn holds(cuts: Vec<usize>) -> bool {
        let stream = STREAM.as_bytes();
        (0..=stream.len()).all(|end| {
            let mut splitter = Splitter::new();
            let mut boundary = Boundary::default();
            let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (end + 1)).collect();
            cuts.extend([0, end]);
            cuts.sort_unstable();
            for cut in cuts.windows(2) {
                let chunk = &stream[cut[0]..cut[1]];
                splitter.push(chunk).unwrap();
                boundary.push(chunk);
            }
            boundary.is_within_event() == splitter.is_partial()
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 4))
        .tests(200)
        .quickcheck(holds as fn(Vec<usize>) -> bool);
}

#[test]
fn boundary_accepts_each_line_ending_and_further_blank_lines() {
    let is_within_event = |text: &str| {
        let mut boundary = Boundary::default();
        boundary.push(text.as_bytes());
        boundary.is_within_event()
    };
    for whole in [
        "",
        "data: a\n\n",
        "data: a\r\n\r\n",
        "data: a\r\r",
        "data: a\n\n\n",
    ] {
        assert!(!is_within_event(whole), "{whole:?}");
    }
    for cut in [
        "d",
        "data: a",
        "data: a\n",
        "data: a\r\n",
        "data: a\n\ndata",
    ] {
        assert!(is_within_event(cut), "{cut:?}");
    }
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
