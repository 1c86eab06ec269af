//! Configurations, upstreams and requests shared by the tests.

use {
    greengagecleat::{
        key::Digest,
        name,
        proxy::{
            cache,
            core::{Core, Provenance, Retries, Setup},
            dialect::Part,
            entry::Entry,
            fingerprint::Fingerprint,
            fleet::{Builds, Identity, Report},
            place::Job,
            quarantine, reach,
            revision::Era,
            table::{Customer, Engine, Kind, Limits, Match, Pool, Route, Rows, Table},
        },
    },
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

pub(crate) const POOL: &str = "engines";
pub(crate) const PLAIN: &str = "records";

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 8000))
}

pub(crate) fn route(name: &str, prefix: &str, kind: Kind, pool: &str) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        kind,
        pools: vec![(pool.into(), 1)],
        timeout: ms(4_000),
        objective: ms(800),
        max_gap: None,
        priority: 1,
        max_attempts: 2,
        is_public: false,
        home_regions: BTreeSet::new(),
    }
}

pub(crate) fn engines() -> Pool {
    Pool {
        name: POOL.into(),
        cold_per_s: 3.0,
        engine: Some(Engine {
            slots: 64,
            memory_tokens: 360_000,
        }),
    }
}

pub(crate) fn records() -> Pool {
    Pool {
        name: PLAIN.into(),
        cold_per_s: 0.0,
        engine: None,
    }
}

pub(crate) fn customer(name: &str, rate: f64) -> Customer {
    Customer {
        name: name.into(),
        priority: None,
        rate,
        burst: rate,
        counts_tokens: true,
        plain_tokens: 200.0,
        home_regions: BTreeSet::new(),
    }
}

pub(crate) fn rows(version: u64) -> Rows {
    Rows {
        version: version.into(),
        digest: version,
        routes: vec![
            route("digest", "/digest/", Kind::Resumable, POOL),
            route("post", "/post/", Kind::NonIdempotent, PLAIN),
        ],
        pools: vec![engines(), records()],
        customers: vec![(customer("c", 10_000.0), vec![Digest::of(b"key")])],
        limits: Limits::default(),
        unreadable: Vec::new(),
    }
}

pub(crate) fn entry(id: &str, domain: &str, pool: &str, sequence: u64) -> Entry {
    Entry {
        id: id.into(),
        incarnation: 1,
        pool: pool.into(),
        address: address(1),
        build: "b1".into(),
        domain: domain.into(),
        slots: 6,
        leaving: false,
        cold_for: ms(0),
        sequence,
    }
}

pub(crate) fn identity(host: &str, region: &str, last: u8) -> Identity {
    Identity {
        host: host.into(),
        region: region.into(),
        domain: format!("{region}-a").as_str().into(),
        callers: address(last),
        peers: SocketAddr::from(([10, 0, 0, last], 9000)),
        incarnation: 1,
        capacity: None,
    }
}

/// A report of a host that serves and has nothing else to tell.
pub(crate) fn report(from: Identity, sequence: u64) -> Report {
    Report {
        from,
        sequence,
        ready: true,
        leaving: false,
        version: 1,
        long_version: None,
        digest: None,
        era: Era::default(),
        hosts: 1,
        spent: Vec::new(),
        tallies: Vec::new(),
        spare: Vec::new(),
        reach: reach::Report::default(),
        builds: Builds::default(),
        evidence: Vec::new(),
        limits: Vec::new(),
        departing: Vec::new(),
        loads: Vec::new(),
        contacts: Vec::new(),
        heard: None,
    }
}

pub(crate) fn setup(host: &str, region: &str, last: u8) -> Setup {
    let domains = ["north", "south"];
    Setup {
        identity: identity(host, region, last),
        domains: domains
            .iter()
            .map(|region| {
                let domain = name::Domain::from(format!("{region}-a"));
                (domain, name::Region::from(*region))
            })
            .collect(),
        seeds: Vec::new(),
        retries: Retries {
            ratio: 0.2,
            slack: 20.0,
        },
        rng_seed: 7,
    }
}

/// A host of the region `north` with this many engines and one plain service.
pub(crate) fn core(engines: usize) -> Core {
    let mut core = Core::new(ms(0), setup("n1", "north", 1));
    assert!(core.configure(ms(0), Table::new(rows(1)), Provenance::default()));
    let mut entries: Vec<_> = (0..engines)
        .map(|n| entry(&format!("e{n}"), "north-a", POOL, 1))
        .collect();
    entries.push(entry("r0", "north-a", PLAIN, 1));
    core.catalog.replace_all(ms(0), entries);
    core
}

pub(crate) fn matched(core: &Core, path: &str) -> Match {
    let table = core.table().expect("the table was just installed");
    table
        .resolve("a.example", path, Some(b"key"))
        .expect("the request is allowed")
}

/// A request whose prompt has a part shared by all, a part shared within a session and a part of
/// its own.
pub(crate) fn job(core: &Core, now: Duration, session: u64, own: u64) -> Job {
    let part = |id, tokens| Part { id, tokens };
    let parts = [
        part(1, 2_500),
        part(1_000 + session, 3_800),
        part(own, 2_900),
    ];
    let prefixes = cache::prefixes(&parts);
    let fingerprint = Fingerprint(own);
    Job {
        matched: matched(core, "/digest/1"),
        pool: POOL.into(),
        tokens: (9_200, 60),
        suspects: quarantine::suspects(fingerprint, &prefixes),
        prefixes,
        arrived_at: now,
        deadline: now + ms(4_000),
        may_forward: false,
        max_attempts: 2,
        tried: Vec::new(),
        avoided_hosts: Vec::new(),
        fingerprint,
        build: None,
    }
}

pub(crate) fn plain_job(core: &Core, now: Duration) -> Job {
    let fingerprint = Fingerprint::default();
    Job {
        matched: matched(core, "/post/1"),
        pool: PLAIN.into(),
        tokens: (0, 0),
        suspects: quarantine::suspects(fingerprint, &[]),
        prefixes: Vec::new(),
        arrived_at: now,
        deadline: now + ms(2_000),
        may_forward: false,
        max_attempts: 1,
        tried: Vec::new(),
        avoided_hosts: Vec::new(),
        fingerprint,
        build: None,
    }
}

/// The same request as if a caller of this region had sent it, so that it may be forwarded.
pub(crate) fn forwardable(job: &Job) -> Job {
    Job {
        may_forward: true,
        ..job.clone()
    }
}
