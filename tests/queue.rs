//! Fair admission: properties under random schedules, single decisions of the scheduler, and the
//! queue in the daemon.

mod common;

use {
    common::{Bed, KOLLAM, Running, THRISSUR, chat, customers, until},
    futures::future::join_all,
    greengagecleat::{
        machine::Machine as _,
        name,
        queue::{
            Action, Arrival, Engines, Event, Mutant, Options, Reason, Scheduler, Ticket, host_slots,
        },
    },
    quickcheck::{Gen, QuickCheck},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    testbed::engine,
};

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3_600);
const CUSTOMERS: usize = 4;
const LONGEST_TOKENS: u64 = 6_000;

fn pool() -> name::Pool {
    "pool".into()
}

fn arrival(ticket: u64, customer: usize, tokens: u64) -> Arrival {
    Arrival {
        ticket: Ticket(ticket),
        pool: pool(),
        customer: Some(format!("c{customer}").into()),
        weight: customer as u32 + 1,
        priority: 5,
        tokens,
        deadline: HOUR,
    }
}

fn capacity(slots: u32) -> Event {
    Event::Capacity {
        pool: pool(),
        slots,
    }
}

fn started(actions: &[Action]) -> Vec<u64> {
    let tickets = actions.iter().filter_map(|action| match action {
        Action::Start { ticket } => Some(ticket.0),
        Action::Shed { .. } => None,
    });
    tickets.collect()
}

/// Weighted tokens that one customer got more than another while both waited without a break.
#[derive(Debug, Clone, Copy, Default)]
struct Lead {
    now: f64,
    least: f64,
    most: f64,
}

/// A scheduler under a random schedule, with a simple model of what it must comply with.
struct World {
    rng: StdRng,
    options: Options,
    scheduler: Scheduler,
    now: Duration,
    slots: usize,
    tickets: u64,
    waiting: BTreeMap<Ticket, (Arrival, Duration)>,
    running: BTreeMap<Ticket, u64>,
    leads: BTreeMap<(usize, usize), Lead>,
}

impl World {
    fn new(seed: u64, mutant: Mutant) -> Self {
        let options = Options {
            mutant,
            max_waiting: 60,
            max_waiting_per_customer: 30,
            ..Options::default()
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            scheduler: Scheduler::new(options.clone()),
            options,
            now: Duration::ZERO,
            slots: 0,
            tickets: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            leads: BTreeMap::new(),
        }
    }

    fn event(&mut self) -> Event {
        self.now += Duration::from_millis(self.rng.random_range(0..400));
        match self.rng.random_range(0..20) {
            0..10 => self.arrive(),
            10..16 => self.done(),
            16 => self.cancel(),
            17 => {
                self.slots = self.rng.random_range(0..6);
                capacity(self.slots as u32)
            }
            18 if self.rng.random_bool(0.2) => {
                let customer = self.rng.random_range(0..CUSTOMERS);
                Event::Withdraw {
                    customer: format!("c{customer}").into(),
                }
            }
            _ => Event::Tick,
        }
    }

    fn arrive(&mut self) -> Event {
        self.tickets += 1;
        let tokens = match self.rng.random_bool(0.3) {
            true => LONGEST_TOKENS,
            false => self.rng.random_range(10..1_000),
        };
        let wait = match self.rng.random_bool(0.1) {
            true => 5 * SECOND,
            false => HOUR,
        };
        let customer = self.rng.random_range(0..CUSTOMERS);
        let arrival = Arrival {
            priority: self.rng.random_range(0..10),
            deadline: self.now + wait,
            ..arrival(self.tickets, customer, tokens)
        };
        self.waiting
            .insert(arrival.ticket, (arrival.clone(), self.now));
        Event::Arrive(arrival)
    }

    fn done(&mut self) -> Event {
        let Some((ticket, tokens)) = self.running.pop_first() else {
            return Event::Tick;
        };
        Event::Done { ticket, tokens }
    }

    fn cancel(&mut self) -> Event {
        let waiting = self.waiting.len();
        if waiting == 0 {
            return Event::Tick;
        }
        let at = self.rng.random_range(0..waiting);
        let ticket = *self.waiting.keys().nth(at).unwrap();
        self.waiting.remove(&ticket);
        Event::Cancel { ticket }
    }

    fn step(&mut self) -> Result<(), String> {
        let event = self.event();
        let withdrawn = match &event {
            Event::Withdraw { customer } => Some(customer.clone()),
            _ => None,
        };
        for action in self.scheduler.step(self.now, event) {
            match action {
                Action::Start { ticket } => self.start(ticket)?,
                Action::Shed { ticket, reason, .. } => self.shed(ticket, reason)?,
            }
        }
        if withdrawn.is_some()
            && self
                .waiting
                .values()
                .any(|(one, _)| one.customer == withdrawn)
        {
            return Err(format!("{withdrawn:?} still waits"));
        }
        if !self.waiting.is_empty() && self.running.len() < self.slots {
            return Err("a slot is idle while requests wait".into());
        }
        if self.waiting.len() != self.scheduler.waiting(&pool()) {
            return Err("the count of waiting requests is wrong".into());
        }
        self.settle_leads();
        Ok(())
    }

    fn start(&mut self, ticket: Ticket) -> Result<(), String> {
        if self.running.len() >= self.slots {
            return Err("more run than there are slots".into());
        }
        let Some((arrival, at)) = self.waiting.remove(&ticket) else {
            return Err(format!("{ticket} started though it didn't wait"));
        };
        if arrival.deadline <= self.now {
            return Err(format!("{ticket} started after its deadline"));
        }
        let bound = self.options.long_request_delay + self.options.priority_step * 9;
        let starved = self
            .waiting
            .values()
            .find(|(other, since)| other.customer == arrival.customer && *since + bound < at);
        if let Some((other, _)) = starved {
            return Err(format!("{} was overtaken without bound", other.ticket));
        }
        self.running.insert(ticket, arrival.tokens);
        self.record_lead(&arrival)
    }

    fn shed(&mut self, ticket: Ticket, reason: Reason) -> Result<(), String> {
        match self.waiting.remove(&ticket) {
            Some(_) => Ok(()),
            None => Err(format!("{ticket} shed ({reason}) though it didn't wait")),
        }
    }

    fn backlogged(&self) -> BTreeSet<usize> {
        let weights = self
            .waiting
            .values()
            .map(|(one, _)| one.weight as usize - 1);
        weights.collect()
    }

    /// Adds a started request to its customer's lead over each other customer, and checks the
    /// bound: one request of the largest size for each of the two.
    fn record_lead(&mut self, arrival: &Arrival) -> Result<(), String> {
        let customer = arrival.weight as usize - 1;
        let gain = arrival.tokens as f64 / f64::from(arrival.weight);
        for (pair, lead) in &mut self.leads {
            if pair.0 == customer {
                lead.now += gain;
            } else if pair.1 == customer {
                lead.now -= gain;
            }
            lead.least = lead.least.min(lead.now);
            lead.most = lead.most.max(lead.now);
            let each = |customer: usize| LONGEST_TOKENS as f64 / (customer + 1) as f64;
            if lead.most - lead.least > each(pair.0) + each(pair.1) + 1e-6 {
                return Err(format!("{pair:?}: {lead:?}"));
            }
        }
        self.settle_leads();
        Ok(())
    }

    /// Leads are counted only while both customers wait without a break.
    fn settle_leads(&mut self) {
        let backlogged = self.backlogged();
        self.leads
            .retain(|(one, other), _| backlogged.contains(one) && backlogged.contains(other));
        for one in &backlogged {
            for other in backlogged.range(one + 1..) {
                self.leads.entry((*one, *other)).or_default();
            }
        }
    }
}

fn find_failure(mutant: Mutant) -> Option<String> {
    fn property(seed: u64, mutant: Mutant) -> Result<(), String> {
        let mut world = World::new(seed, mutant);
        (0..400).try_for_each(|_| world.step())
    }
    let check = |property: fn(u64) -> Result<(), String>| {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(64, 3))
            .tests(150)
            .quicktest(property)
            .err()
            .map(|failure| format!("{failure:?}"))
    };
    match mutant {
        Mutant::None => check(|seed| property(seed, Mutant::None)),
        Mutant::Unfair => check(|seed| property(seed, Mutant::Unfair)),
        Mutant::Starve => check(|seed| property(seed, Mutant::Starve)),
        Mutant::Overrun => check(|seed| property(seed, Mutant::Overrun)),
        Mutant::Idle => check(|seed| property(seed, Mutant::Idle)),
        Mutant::Withdrawn => check(|seed| property(seed, Mutant::Withdrawn)),
    }
}

#[test]
fn fairness_order_slots_and_removal_hold_under_random_schedules() {
    assert_eq!(find_failure(Mutant::None), None);
}

#[test]
fn property_catches_each_mutant() {
    for (mutant, message) in [
        (Mutant::Unfair, "Lead"),
        (Mutant::Starve, "overtaken"),
        (Mutant::Overrun, "more run"),
        (Mutant::Idle, "idle"),
        (Mutant::Withdrawn, "still waits"),
    ] {
        let failure = find_failure(mutant).unwrap_or_default();
        assert!(failure.contains(message), "{mutant:?}: {failure}");
    }
}

#[test]
fn flood_of_one_customer_delays_another_by_one_request_at_most() {
    let mut scheduler = Scheduler::new(Options::default());
    scheduler.step(Duration::ZERO, capacity(1));
    for ticket in 1..=50 {
        scheduler.step(SECOND, Event::Arrive(arrival(ticket, 0, 500)));
    }
    scheduler.step(SECOND, Event::Arrive(arrival(51, 1, 500)));
    let done = Event::Done {
        ticket: Ticket(1),
        tokens: 500,
    };
    assert_eq!(started(&scheduler.step(2 * SECOND, done)), [51]);
}

#[test]
fn customer_is_charged_what_its_requests_took_in_fact() {
    let mut scheduler = Scheduler::new(Options::default());
    scheduler.step(Duration::ZERO, capacity(1));
    for ticket in 1..=20 {
        scheduler.step(SECOND, Event::Arrive(arrival(ticket, 0, 1_000)));
        scheduler.step(SECOND, Event::Arrive(arrival(100 + ticket, 1, 1_000)));
    }
    let (mut running, mut counts) = (1, [0, 0]);
    for _ in 0..24 {
        counts[usize::from(running > 100)] += 1;
        // The first customer has half the other's weight, but uses a fifth of the tokens it asks
        // for.
        let tokens = if running > 100 { 1_000 } else { 200 };
        let done = Event::Done {
            ticket: Ticket(running),
            tokens,
        };
        let next = scheduler.step(2 * SECOND, done);
        running = started(&next)[0];
    }
    assert!(counts[0] > counts[1], "{counts:?}");
}

#[test]
fn request_that_cannot_meet_its_deadline_is_shed_at_once_with_a_hint() {
    let mut scheduler = Scheduler::new(Options::default());
    scheduler.step(Duration::ZERO, capacity(1));
    scheduler.step(Duration::ZERO, Event::Arrive(arrival(1, 0, 1_000)));
    let done = Event::Done {
        ticket: Ticket(1),
        tokens: 1_000,
    };
    scheduler.step(10 * SECOND, done);
    for ticket in 2..=6 {
        scheduler.step(10 * SECOND, Event::Arrive(arrival(ticket, 0, 1_000)));
    }
    let hopeless = Arrival {
        deadline: 40 * SECOND,
        ..arrival(7, 0, 1_000)
    };
    let actions = scheduler.step(10 * SECOND, Event::Arrive(hopeless));
    let shed = Action::Shed {
        ticket: Ticket(7),
        reason: Reason::Late,
        retry_after: 40 * SECOND,
    };
    assert_eq!(actions, [shed]);
}

#[test]
fn waiting_request_is_shed_as_soon_as_it_is_too_late() {
    let mut scheduler = Scheduler::new(Options::default());
    let urgent = Arrival {
        deadline: 5 * SECOND,
        ..arrival(1, 0, 1_000)
    };
    assert!(scheduler.step(SECOND, Event::Arrive(urgent)).is_empty());
    assert_eq!(scheduler.next_expiry(), Some(5 * SECOND));
    let actions = scheduler.step(6 * SECOND, Event::Tick);
    assert!(matches!(
        actions[..],
        [Action::Shed {
            reason: Reason::Late,
            ..
        }]
    ));
}

#[test]
fn full_queue_pushes_out_the_customer_that_has_the_most_for_its_weight() {
    let options = Options {
        max_waiting: 10,
        ..Options::default()
    };
    let mut scheduler = Scheduler::new(options);
    for ticket in 1..=10 {
        scheduler.step(SECOND, Event::Arrive(arrival(ticket, 0, 500)));
    }
    let actions = scheduler.step(SECOND, Event::Arrive(arrival(11, 1, 500)));
    assert!(matches!(
        actions[..],
        [Action::Shed {
            ticket: Ticket(10),
            reason: Reason::Full,
            ..
        }]
    ));
}

#[test]
fn host_has_its_equal_part_and_borrows_only_what_is_free() {
    let engines = |outstanding| Engines {
        slots: 32.0,
        outstanding,
    };
    assert_eq!(host_slots(engines(0.0), 0, 4), 8);
    assert_eq!(host_slots(engines(8.0), 8, 4), 14);
    assert_eq!(host_slots(engines(32.0), 20, 4), 8);
    assert_eq!(host_slots(engines(50.0), 0, 4), 8);
}

/// Starts a daemon in front of one engine that runs one request at a time.
async fn start_with_one_slot() -> (Bed, Running) {
    let engine = engine::Settings {
        slots: 1,
        step: Duration::from_millis(5),
        ..engine::Settings::instant()
    };
    let mut bed = Bed::with(engine, Default::default()).await;
    let open = customers(&[KOLLAM], &[THRISSUR]).replace(r#"residency = ["north"]"#, "");
    bed.platform.publish("customers", &open);
    let pools = common::pools(bed.engine.address, bed.plain.address);
    let narrow = pools.replacen("region = \"south\"", "region = \"south\"\nslots = 1", 1);
    bed.platform.publish("pools", &narrow);
    let host = bed.host("south-a", "south").await;
    bed.ready(&host).await;
    (bed, host)
}

#[tokio::test]
async fn flood_in_the_daemon_lets_another_customer_through() {
    let (bed, host) = start_with_one_slot().await;
    let flood = join_all((0..12).map(|at| {
        let prompt = format!("flood {at}");
        let (bed, host) = (&bed, &host);
        async move { bed.send(host, KOLLAM, chat(&prompt, 8, false)).await }
    }));
    let other = async {
        until(async || !bed.engine.seen().is_empty()).await;
        bed.send(&host, THRISSUR, chat("the other", 8, false)).await
    };
    let (flood, other) = tokio::join!(flood, other);
    assert_eq!(other.status, 200);
    assert!(flood.iter().all(|answer| answer.status == 200));
    let seen = bed.engine.seen();
    let place = seen.iter().position(|one| one.body.contains("the other"));
    assert!(place.unwrap() < 6, "{place:?}");
}

#[tokio::test]
async fn waiting_call_of_a_withdrawn_key_is_refused_and_never_runs() {
    let (bed, host) = start_with_one_slot().await;
    let running = bed.send(&host, KOLLAM, chat("a long answer", 5_000, true));
    let waiting = async {
        until(async || host.entry.running_calls() == 1).await;
        bed.send(&host, KOLLAM, chat("waits", 8, false)).await
    };
    let withdrawing = async {
        until(async || {
            let page = bed.get(host.addresses.admin, "/metrics").await;
            let page = String::from_utf8(page.body.to_vec()).expect("text");
            page.contains("greengagecleat_waiting 1")
        })
        .await;
        bed.platform
            .publish("customers", &customers(&[], &[THRISSUR]));
    };
    let (_, refused, ()) = tokio::join!(running, waiting, withdrawing);
    assert_eq!(refused.json()["code"], "key_withdrawn");
    assert_eq!(refused.json()["ran"], "no");
    assert_eq!(bed.engine.seen().len(), 1);
}

#[tokio::test]
async fn call_that_cannot_meet_its_deadline_is_refused_at_once() {
    let (bed, host) = start_with_one_slot().await;
    let hasty = common::ROUTES.replacen(
        "kind = \"model\"",
        "kind = \"model\"\ndeadline_ms = 1500",
        1,
    );
    for round in 0..3 {
        let answer = bed
            .send(&host, KOLLAM, chat(&format!("{round}"), 100, false))
            .await;
        assert_eq!(answer.status, 200);
    }
    bed.platform.publish("routes", &hasty);
    let sent = join_all((0..12).map(|at| {
        let prompt = format!("hasty {at}");
        let (bed, host) = (&bed, &host);
        async move { bed.send(host, KOLLAM, chat(&prompt, 100, false)).await }
    }));
    until(async || {
        let status = bed.get(host.addresses.admin, "/status").await.json();
        status["documents"]["routes"]["revision"].as_u64() >= Some(2)
    })
    .await;
    let answers = sent.await;
    let refused = answers.iter().filter(|answer| answer.status != 200);
    let late: Vec<_> = refused
        .filter(|answer| answer.json()["code"] == "deadline" && answer.json()["ran"] == "no")
        .filter(|answer| answer.headers.contains_key("retry-after"))
        .collect();
    assert!(!late.is_empty());
    assert!(bed.engine.seen().len() < 15);
}
