//! Evaluates a run: combines the outcomes that callers saw with what the upstreams executed into a
//! report, and lists violations of the gateway's guarantees.

use {
    super::{
        outcome::{Outcome, Status},
        result::{Cost, Ends, Engines, Latency, Report, Second, Share, Worst},
    },
    crate::{
        deployment::{Deployment, ON_DEMAND_PRICE},
        engine::Count,
        fleet::Fleet,
        seen::Seen,
        text,
        workload::{Item, Kind},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Largest number of examples printed for each kind of violation.
const MAX_EXAMPLES: usize = 5;

/// What the upstreams of a fleet recorded.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// Regions in which each prompt ran, one entry for each run, by the prompt's hash.
    pub prompts: BTreeMap<u64, Vec<usize>>,
    /// Regions in which each idempotency key ran, one entry for each run.
    pub posts: BTreeMap<String, Vec<usize>>,
    /// Names of upstreams that received a caller's key.
    pub leaks: Vec<String>,
    /// Totals of each engine, and whether it belongs to an on-demand pool.
    pub engines: Vec<(Count, bool)>,
}

impl Evidence {
    /// Collects the records of a fleet's upstreams.
    pub fn of(fleet: &Fleet) -> Self {
        let mut evidence = Self::default();
        for engine in &fleet.engines {
            for (prompt, runs) in engine.runs() {
                let places = std::iter::repeat_n(engine.region, runs as usize);
                evidence.prompts.entry(prompt).or_default().extend(places);
            }
            let on_demand = engine.pool.ends_with("on-demand");
            evidence.engines.push((engine.count(), on_demand));
            evidence
                .leaks
                .extend(engine.has_seen_key().then(|| engine.name.clone()));
        }
        for (region, service) in fleet.services.iter().enumerate() {
            for (key, runs) in service.executions().keyed {
                let places = std::iter::repeat_n(region, runs as usize);
                evidence.posts.entry(key).or_default().extend(places);
            }
            let has_seen_key = service.seen().iter().any(Seen::holds_key);
            let name = format!("records of {}", fleet.deployment.regions[region]);
            evidence.leaks.extend(has_seen_key.then_some(name));
        }
        evidence
    }

    /// Regions in which an item ran, one entry for each run; always empty for look-ups, which are
    /// not recorded.
    fn runs(&self, item: &Item) -> &[usize] {
        let runs = match item.kind {
            Kind::Post => self.posts.get(&item.key),
            Kind::Lookup => None,
            _ => self.prompts.get(&text::hash(&item.prompt)),
        };
        runs.map_or(&[], Vec::as_slice)
    }
}

/// Builds the report of a run from its items, their outcomes and the upstreams' records.
pub fn judge(
    deployment: &Deployment,
    evidence: &Evidence,
    items: &[Item],
    outcomes: &[Outcome],
    length: Duration,
) -> Report {
    let within = within_rate(deployment, items, outcomes);
    let customers = customers(deployment, items, outcomes, &within, length);
    let mut ends = Ends::default();
    for outcome in outcomes {
        ends.count(outcome, within.contains(&outcome.number));
    }
    Report {
        deployment: deployment.name.to_owned(),
        seconds: length.as_secs_f64(),
        ends,
        kinds: kinds(outcomes),
        worst: worst(deployment, &customers),
        elsewhere_share: elsewhere_share(items, outcomes, evidence),
        cost: cost(evidence, items, outcomes),
        engines: engines(evidence, items),
        codes: codes(outcomes),
        timeline: timeline(outcomes, length),
        violations: violations(deployment, evidence, items, outcomes, &customers),
        customers,
        ..Report::default()
    }
}

fn kinds(outcomes: &[Outcome]) -> BTreeMap<String, Latency> {
    let latency = |kind: Kind| Latency::of(outcomes.iter().filter(|it| it.kind == kind));
    Kind::ALL
        .iter()
        .map(|kind| (kind.name().to_owned(), latency(*kind)))
        .collect()
}

/// Numbers of the requests with a known key that were within their customer's rate and burst when
/// they were due. Simulates a token bucket for each customer, charged with what its requests used
/// unless they were refused.
fn within_rate(deployment: &Deployment, items: &[Item], outcomes: &[Outcome]) -> BTreeSet<u64> {
    let mut within = BTreeSet::new();
    for (customer, profile) in deployment.customers.iter().enumerate() {
        let (mut level, mut last_at) = (profile.burst, Duration::ZERO);
        let entitled = |it: &&Outcome| it.customer == customer && !it.code.starts_with("key_");
        for outcome in outcomes.iter().filter(entitled) {
            let waited = outcome.at.saturating_sub(last_at).as_secs_f64();
            level = (level + waited * profile.rate).min(profile.burst);
            last_at = outcome.at;
            let tokens = f64::from(items[outcome.number as usize].tokens());
            if level < tokens {
                continue;
            }
            within.insert(outcome.number);
            if outcome.status != Status::Refused {
                level -= tokens;
            }
        }
    }
    within
}

fn customers(
    deployment: &Deployment,
    items: &[Item],
    outcomes: &[Outcome],
    within: &BTreeSet<u64>,
    length: Duration,
) -> BTreeMap<String, Share> {
    let share = |customer: usize| {
        let own = || outcomes.iter().filter(move |it| it.customer == customer);
        let profile = &deployment.customers[customer];
        let mut ends = Ends::default();
        own().for_each(|it| ends.count(it, within.contains(&it.number)));
        let used: f64 = own()
            .filter(|it| it.status == Status::Whole)
            .map(|it| f64::from(items[it.number as usize].tokens()))
            .sum();
        let entitled = own().filter(|it| within.contains(&it.number));
        let (served, all) = entitled.fold((0_u64, 0_u64), |(served, all), it| {
            (served + u64::from(it.status == Status::Whole), all + 1)
        });
        Share {
            ends,
            used_of_rate: used / (profile.rate * length.as_secs_f64() + profile.burst),
            served: ratio(served as f64, all as f64),
            streams: Latency::of(own().filter(|it| it.kind.is_streamed())),
            digests: Latency::of(own().filter(|it| it.kind == Kind::Digest)),
        }
    };
    (0..deployment.customers.len())
        .map(|customer| {
            (
                deployment.customers[customer].name.to_owned(),
                share(customer),
            )
        })
        .collect()
}

fn worst(deployment: &Deployment, customers: &BTreeMap<String, Share>) -> Worst {
    let ordinary = deployment
        .customers
        .iter()
        .filter(|it| it.load_factor <= 1.0);
    let worst = ordinary
        .map(|profile| (profile.name, customers[profile.name]))
        .min_by(|(_, one), (_, other)| {
            let first = |share: &Share| share.streams.first.p95;
            let served = one.served.total_cmp(&other.served);
            served.then(first(other).total_cmp(&first(one)))
        });
    worst.map_or_else(Worst::default, |(name, share)| Worst {
        customer: name.to_owned(),
        served: share.served,
        first_p95: share.streams.first.p95,
    })
}

fn elsewhere_share(items: &[Item], outcomes: &[Outcome], evidence: &Evidence) -> f64 {
    let answered = outcomes
        .iter()
        .filter(|it| it.kind.is_model() && it.status == Status::Whole);
    let (elsewhere, all) = answered.fold((0_u64, 0_u64), |(elsewhere, all), outcome| {
        let item = &items[outcome.number as usize];
        let ran_elsewhere = evidence
            .runs(item)
            .iter()
            .any(|region| *region != item.region);
        (elsewhere + u64::from(ran_elsewhere), all + 1)
    });
    ratio(elsewhere as f64, all as f64)
}

fn computed_tokens(count: &Count) -> u64 {
    count.prompt_tokens + count.tokens
}

fn cost(evidence: &Evidence, items: &[Item], outcomes: &[Outcome]) -> Cost {
    let tokens = |wanted: bool| -> u64 {
        let engines = evidence.engines.iter();
        let chosen = engines.filter(|(_, on_demand)| *on_demand == wanted);
        chosen.map(|(count, _)| computed_tokens(count)).sum()
    };
    let on_demand_tokens = tokens(true);
    let on_demand_cost = on_demand_tokens as f64 * ON_DEMAND_PRICE / 1e6;
    let useful: u64 = outcomes
        .iter()
        .filter(|it| it.kind.is_model() && it.status == Status::Whole)
        .map(|it| u64::from(items[it.number as usize].tokens()))
        .sum();
    Cost {
        paid_tokens: tokens(false),
        on_demand_tokens,
        on_demand_cost,
        on_demand_cost_per_million: ratio(on_demand_cost * 1e6, useful as f64),
    }
}

fn engines(evidence: &Evidence, items: &[Item]) -> Engines {
    let counts = || evidence.engines.iter().map(|(count, _)| count);
    let prompt: u64 = counts().map(|count| count.prompt_tokens).sum();
    let cached: u64 = counts().map(|count| count.cached_tokens).sum();
    let requests: u64 = counts().map(|count| count.requests).sum();
    let paid: Vec<_> = evidence
        .engines
        .iter()
        .filter(|(_, on_demand)| !on_demand)
        .map(|(count, _)| computed_tokens(count) as f64)
        .collect();
    let mean = ratio(paid.iter().sum(), paid.len() as f64);
    let hottest = paid.iter().copied().fold(0.0, f64::max);
    let asked = items.iter().filter(|item| item.kind.is_model()).count();
    Engines {
        cached_share: ratio(cached as f64, prompt as f64),
        hottest_over_mean: ratio(hottest, mean),
        runs_per_request: ratio(requests as f64, asked as f64),
    }
}

fn codes(outcomes: &[Outcome]) -> BTreeMap<String, u64> {
    let mut codes = BTreeMap::new();
    for outcome in outcomes.iter().filter(|it| it.status != Status::Whole) {
        *codes.entry(outcome.code.clone()).or_default() += 1;
    }
    codes
}

fn timeline(outcomes: &[Outcome], length: Duration) -> Vec<Second> {
    let second = |second: u64| {
        let mut row = Second::default();
        let due = || outcomes.iter().filter(move |it| it.at.as_secs() == second);
        for outcome in due() {
            match outcome.status {
                Status::Whole => row.whole += 1,
                Status::Refused => row.refused += 1,
                Status::Failed | Status::Wrong => row.failed += 1,
            }
        }
        row.first_p95 = Latency::of(due().filter(|it| it.kind.is_streamed()))
            .first
            .p95;
        row
    };
    (0..length.as_secs()).map(second).collect()
}

/// The guarantees that did not hold, one line for each kind with some examples.
fn violations(
    deployment: &Deployment,
    evidence: &Evidence,
    items: &[Item],
    outcomes: &[Outcome],
    customers: &BTreeMap<String, Share>,
) -> Vec<String> {
    let name = |item: &Item| format!("{} {}", item.kind.name(), item.key);
    let mut lines = Vec::new();
    let mut report = |what: &str, found: Vec<String>| {
        if found.is_empty() {
            return;
        }
        let examples = found[..found.len().min(MAX_EXAMPLES)].join("; ");
        lines.push(format!("{what}, {} times: {examples}", found.len()));
    };
    let outcomes_where = |choose: &dyn Fn(&Outcome, &Item) -> bool| -> Vec<String> {
        outcomes
            .iter()
            .map(|outcome| (outcome, &items[outcome.number as usize]))
            .filter(|(outcome, item)| choose(outcome, item))
            .map(|(_, item)| name(item))
            .collect()
    };
    let items_where = |choose: &dyn Fn(&Item) -> bool| -> Vec<String> {
        items.iter().filter(|item| choose(item)).map(name).collect()
    };
    if outcomes.len() < items.len() {
        report(
            "requests that never ended",
            vec![format!(
                "{} of {}",
                items.len() - outcomes.len(),
                items.len()
            )],
        );
    }
    report(
        "answer that looks whole and is not the answer",
        outcomes_where(&|outcome, _| outcome.status == Status::Wrong),
    );
    report(
        "post run more than once",
        items_where(&|item| item.kind == Kind::Post && evidence.runs(item).len() > 1),
    );
    report(
        "post answered and not run",
        outcomes_where(&|outcome, item| {
            let answered = outcome.status == Status::Whole;
            item.kind == Kind::Post && answered && evidence.runs(item).is_empty()
        }),
    );
    report(
        "refused as not run and run",
        outcomes_where(&|outcome, item| {
            let refused = outcome.ran.as_deref() == Some("no") && outcome.tries == 1;
            refused && !evidence.runs(item).is_empty()
        }),
    );
    report(
        "run outside its residency",
        items_where(&|item| {
            let profile = &deployment.customers[item.customer];
            profile.home_only
                && evidence
                    .runs(item)
                    .iter()
                    .any(|region| *region != profile.home)
        }),
    );
    report("key seen by an upstream", evidence.leaks.clone());
    let over = customers
        .iter()
        .filter(|(_, share)| share.used_of_rate > 1.0);
    report(
        "customer got more than its rate and burst",
        over.map(|(name, share)| format!("{name} {:.2} of it", share.used_of_rate))
            .collect(),
    );
    lines
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole == 0.0 { 0.0 } else { part / whole }
}
