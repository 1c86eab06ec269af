//! Delays that rejected clients are told, with an overload replayed in virtual time.
//!
//! The simulated service takes 60 ms for a request and has 6 slots, so it serves 100 requests a second.
//! A rejected client retries once, after the delay that it was told or a third of its remaining time.

use {
    crate::common::{core, ms, plain_job},
    greengagecleat::proxy::{
        core::{Core, Placement},
        place::Job,
        replica::Outcome,
        retry::{Change, Overload},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

const SERVICE_TIME: Duration = Duration::from_millis(60);
const CAPACITY_PER_S: u64 = 100;

#[derive(Debug, Clone, Copy)]
struct Client {
    deadline: Duration,
    is_retry: bool,
}

/// A service and the clients of it, with the host between them.
#[derive(Debug)]
struct Replay {
    core: Core,
    /// Whether the host counts rejections. Without that it tells the delays of a pool without overload.
    counts_rejections: bool,
    slots: [Duration; 6],
    ends: BTreeSet<(Duration, u64)>,
    waiting: BTreeMap<(u8, u64), (Client, Duration)>,
    arrivals: BTreeMap<(Duration, usize), Client>,
    /// Arrivals so far, which tell those at one time apart.
    clients: usize,
    rejected: usize,
    rejected_twice: usize,
    /// Retries, by the 100 ms in which they arrive.
    retries: BTreeMap<u128, usize>,
}

impl Replay {
    fn new(counts_rejections: bool) -> Self {
        Self {
            core: core(0),
            counts_rejections,
            slots: [ms(0); 6],
            ends: BTreeSet::new(),
            waiting: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            clients: 0,
            rejected: 0,
            rejected_twice: 0,
            retries: BTreeMap::new(),
        }
    }

    /// Adds clients at an even rate, in turn with deadlines of 6 s and 15 s.
    fn add_demand(&mut self, from: Duration, to: Duration, per_s: u64) {
        let count = per_s * (to - from).as_millis() as u64 / 1_000;
        for number in 0..count {
            let at = from + Duration::from_secs(number) / per_s as u32;
            let deadline = at + ms(if number % 2 == 0 { 6_000 } else { 15_000 });
            let is_retry = false;
            self.add(at, Client { deadline, is_retry });
        }
    }

    fn add(&mut self, at: Duration, client: Client) {
        self.clients += 1;
        self.arrivals.insert((at, self.clients), client);
    }

    fn run(mut self) -> Self {
        for now in (0..25_000).map(ms) {
            while let Some((at, ticket)) = self.ends.first().copied()
                && at <= now
            {
                self.ends.pop_first();
                self.core.record_first_byte(at, ticket);
                self.core.release(at, ticket, Outcome::Success);
            }
            for (position, placement) in self.core.place_waiting(now) {
                self.waiting.remove(&position);
                self.start(now, placement);
            }
            let waiting = self.waiting.iter();
            let over = waiting.filter(|(_, (_, until))| *until <= now);
            let over: Vec<_> = over.map(|(position, _)| *position).collect();
            for position in over {
                let (client, _) = self.waiting.remove(&position).expect("it waits");
                let job = self.core.dequeue(position).expect("it is queued");
                self.reject(now, &job, client);
            }
            while let Some(entry) = self.arrivals.first_entry()
                && entry.key().0 <= now
            {
                let client = entry.remove();
                self.serve(now, client);
            }
            self.core.take_overload_changes(now);
        }
        self
    }

    fn serve(&mut self, now: Duration, client: Client) {
        if client.is_retry {
            *self.retries.entry(now.as_millis() / 100).or_default() += 1;
        }
        let job = Job {
            deadline: client.deadline,
            ..plain_job(&self.core, now)
        };
        match self.core.place(now, &job) {
            Placement::Wait => {
                let limit = self.core.wait_limit(now, &job);
                if limit.is_zero() {
                    self.reject(now, &job, client);
                } else {
                    let position = self.core.enqueue(job);
                    self.waiting.insert(position, (client, now + limit));
                }
            }
            placement => self.start(now, placement),
        }
    }

    fn start(&mut self, now: Duration, placement: Placement) {
        let Placement::Local(grant) = placement else {
            panic!("there is no other region");
        };
        let slot = self.slots.iter_mut().min().expect("there are slots");
        *slot = now.max(*slot) + SERVICE_TIME;
        self.ends.insert((*slot, grant.ticket));
    }

    fn reject(&mut self, now: Duration, job: &Job, client: Client) {
        let told = self.core.retry_after(now, job);
        if self.counts_rejections {
            self.core.record_rejection(now, &job.pool);
        }
        if client.is_retry {
            self.rejected_twice += 1;
            return;
        }
        self.rejected += 1;
        let remaining = client.deadline - now;
        let retry = Client {
            is_retry: true,
            ..client
        };
        self.add(now + told.min(remaining / 3), retry);
    }

    /// Most retries within 100 ms.
    fn retry_peak(&self) -> usize {
        self.retries.values().copied().max().unwrap_or(0)
    }
}

fn overload(counts_rejections: bool) -> Replay {
    let mut replay = Replay::new(counts_rejections);
    replay.add_demand(ms(0), ms(6_000), 2 * CAPACITY_PER_S);
    replay.add_demand(ms(6_000), ms(20_000), CAPACITY_PER_S / 2);
    replay.run()
}

/// Most clients retried while the overload lasted, and had no retry left when it ended. Had longer delays
/// not been spread, their retries would have been the next overload.
#[test]
fn fewer_clients_are_rejected_twice_and_their_retries_are_spread() {
    let (before, after) = (overload(false), overload(true));
    let figures = |replay: &Replay| (replay.rejected, replay.rejected_twice, replay.retry_peak());
    let seen = format!("{:?} against {:?}", figures(&before), figures(&after));
    assert!(after.rejected <= before.rejected, "{seen}");
    assert!(
        after.rejected_twice * 4 < before.rejected_twice * 3,
        "{seen}"
    );
    assert!(after.retry_peak() <= before.retry_peak(), "{seen}");
    // Each slot of 100 ms has room for 10 requests, 5 of which are taken by new ones afterwards.
    assert!(after.retry_peak() <= 20, "{seen}");
}

/// Rejects every other request of 50 a second, as long as told.
fn reject_half(core: &mut Core, millis: u64) {
    for at in (0..millis).step_by(20) {
        let job = plain_job(core, ms(at));
        if at % 40 == 0 {
            core.record_rejection(ms(at), &job.pool);
        } else if let Placement::Local(grant) = core.place(ms(at), &job) {
            core.release(ms(at + 1), grant.ticket, Outcome::Success);
        }
    }
}

/// A burst is over before the retries of its clients arrive, so a longer delay would only cost them time.
#[test]
fn rejections_for_less_than_a_second_change_no_delay() {
    let (mut quiet, mut burst) = (core(0), core(0));
    reject_half(&mut burst, 980);
    for at in (980..3_000).step_by(50).map(ms) {
        let job = plain_job(&quiet, at);
        assert_eq!(burst.retry_after(at, &job), quiet.retry_after(at, &job));
        assert_eq!(burst.take_overload_changes(at), []);
    }
}

/// Clients don't honour a longer delay and would retry at a time of their own.
#[test]
fn no_delay_exceeds_a_third_of_the_remaining_time_or_five_seconds() {
    let mut core = core(0);
    reject_half(&mut core, 30_000);
    let now = ms(30_000);
    for (left, most) in [(3_000, 1_000), (6_000, 2_000), (60_000, 5_000)] {
        let job = Job {
            deadline: now + ms(left),
            ..plain_job(&core, now)
        };
        for _ in 0..100 {
            let told = core.retry_after(now, &job);
            assert!(told > ms(most * 4 / 5) && told <= ms(most), "{told:?}");
        }
    }
}

/// A client that returned before its upstreams take requests again would be rejected again.
#[test]
fn the_rest_that_upstreams_ask_for_bounds_the_delay_in_an_overload() {
    let mut core = core(0);
    reject_half(&mut core, 1_500);
    let now = ms(1_500);
    let job = plain_job(&core, now);
    let Placement::Local(grant) = core.place(now, &job) else {
        panic!("the service is idle");
    };
    core.record_rest(now, grant.ticket, ms(2_500));
    core.release(now, grant.ticket, Outcome::Full);
    assert!(core.retry_after(now, &job) >= ms(2_500));
}

/// A rejection every few seconds, or a share that varies, must not fill the log.
#[test]
fn an_overload_begins_and_ends_once() {
    let mut overload = Overload::default();
    let mut changes = Vec::new();
    for at in (0..20_000).step_by(50).map(ms) {
        // 3 s of which half the requests are rejected, with a pause, and single rejections afterwards.
        let is_rejected = match at.as_millis() {
            0..1_000 | 1_400..3_000 => at.as_millis() % 100 == 0,
            later => later % 5_000 == 0,
        };
        if is_rejected {
            overload.record_rejection(at);
        } else {
            overload.record_placement(at);
        }
        changes.extend(overload.take_change(at));
    }
    let [Change::Began { rejected, .. }, Change::Ended { lasted }] = changes[..] else {
        panic!("{changes:?}");
    };
    assert!(rejected > 0);
    assert_eq!(lasted, ms(2_900));
    assert_eq!(overload.age(ms(20_000)), None);
}
