//! Lists of many pages.

use {
    greengagecleat::proxy::{
        follow::{Batch, Item, Page},
        pages::{Pages, Progress},
        revision::{Era, Revision},
    },
    quickcheck::{Gen, QuickCheck},
    std::time::Duration,
};

fn page(revision: u64, names: &[String], next: Option<&str>) -> Page {
    Page {
        batch: Batch {
            revision: Revision::new(Era::default(), revision),
            items: names
                .iter()
                .map(|name| Item::Evacuated(name.as_str().into()))
                .collect(),
        },
        next: next.map(Into::into),
    }
}

fn names(pages: Pages) -> Vec<String> {
    let items = pages.into_items().into_iter();
    let name = |item| match item {
        Item::Evacuated(domain) => domain.to_string(),
        other => panic!("{other:?}"),
    };
    items.map(name).collect()
}

/// However a list is split into pages, all of it is kept, at the revision of the first page.
#[test]
fn a_list_of_any_number_of_pages_is_whole() {
    fn is_whole(names: Vec<String>, per_page: u8) -> bool {
        let mut all: Vec<String> = (0..)
            .zip(names)
            .map(|(n, name)| format!("{n:06}{name}"))
            .collect();
        all.push("z".to_owned());
        let mut pages = Pages::new(Revision::new(Era::default(), 5));
        let chunks: Vec<_> = all.chunks(usize::from(per_page % 7) + 1).collect();
        for (n, chunk) in chunks.iter().enumerate() {
            let next = (n + 1 < chunks.len()).then(|| chunk.last().unwrap().as_str());
            let progress = pages.push(page(5 + n as u64, chunk, next));
            let expected = if next.is_some() {
                Progress::More
            } else {
                Progress::Whole
            };
            if progress != expected || pages.after().map(|after| &**after) != next && next.is_some()
            {
                return false;
            }
        }
        *pages.revision().number() == 5 && self::names(pages) == all
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 67))
        .tests(200)
        .quickcheck(is_whole as fn(Vec<String>, u8) -> bool);
}

/// Lists of more than 100 pages were given up, and those whose pages don't advance asked for again and
/// again.
#[test]
fn only_pages_that_do_not_advance_or_have_no_end_end_a_list_early() {
    let mut pages = Pages::new(Revision::new(Era::default(), 5));
    for n in 0..800 {
        let name = format!("{n:04}");
        assert_eq!(
            pages.push(page(5, std::slice::from_ref(&name), Some(&name))),
            Progress::More
        );
        let is_unpaced = pages.pause() == Duration::ZERO;
        assert_eq!(is_unpaced, n + 1 < 100);
    }
    let again = page(5, &["0007".to_owned()], Some("0007"));
    assert_eq!(pages.push(again), Progress::Stalled);
    assert_eq!(
        names(pages).len(),
        800,
        "what comes again is not kept twice"
    );

    let mut pages = Pages::new(Revision::new(Era::default(), 5));
    let large: Vec<_> = (0..1_000).map(|n| n.to_string()).collect();
    let ends = (0..300).map(|n| n.to_string());
    let longest = ends.map(|end| pages.push(page(5, &large, Some(&end))));
    assert!(
        longest
            .into_iter()
            .any(|progress| progress == Progress::TooLong)
    );
}
