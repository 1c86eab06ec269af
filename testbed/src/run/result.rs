//! The report of a run, which is written as JSON and printed as tables.

use {
    super::outcome::{Outcome, Status},
    hdrhistogram::Histogram,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
        time::Duration,
    },
};

/// Largest value of a histogram in microseconds; longer times are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Precision of a histogram in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The report of a run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Report {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of the schedule.
    pub seed: u64,
    /// Duration of the load in seconds.
    pub seconds: f64,
    /// The injected faults, as given on the command line.
    pub faults: Vec<String>,
    /// Requests by how they ended.
    pub ends: Ends,
    /// Latency of whole answers by kind of work.
    pub kinds: BTreeMap<String, Latency>,
    /// Results by customer.
    pub customers: BTreeMap<String, Share>,
    /// The worst-served customer among those that send no more than their ordinary load.
    pub worst: Worst,
    /// Share of answered model requests that ran in another region than the caller's.
    pub elsewhere_share: f64,
    /// Tokens computed and their cost.
    pub cost: Cost,
    /// Cache use and balance of the engines.
    pub engines: Engines,
    /// Refusals and failures by code.
    pub codes: BTreeMap<String, u64>,
    /// Results for each second of the run.
    pub timeline: Vec<Second>,
    /// Guarantees that did not hold, one line for each kind.
    pub violations: Vec<String>,
}

/// Numbers of requests by how they ended.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Ends {
    /// All requests.
    pub sent: u64,
    /// Answered in full.
    pub whole: u64,
    /// Refused with an error that says that the request did not run.
    pub refused: u64,
    /// Refused although within the customer's rate and burst.
    pub refused_within_rate: u64,
    /// Ended with another error.
    pub failed: u64,
    /// Answered with something that is not the correct answer.
    pub wrong: u64,
}

/// Latency of whole answers, in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Latency {
    /// Number of whole answers.
    pub count: u64,
    /// To the first token, or to the head of an answer that is not streamed.
    pub first: Quantiles,
    /// To the end of the answer.
    pub whole: Quantiles,
}

/// Percentiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Results of one customer.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Share {
    /// Its requests by how they ended.
    pub ends: Ends,
    /// Tokens of its whole answers and their prompts, divided by what its rate and burst allow in
    /// the run. A value above 1 is a violation.
    pub used_of_rate: f64,
    /// Share of its requests within its rate that were answered in full.
    pub served: f64,
    /// Latency of its streams.
    pub streams: Latency,
    /// Latency of its digests.
    pub digests: Latency,
}

/// The customer with the lowest share of served requests; among equals, with the slowest first
/// tokens.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Worst {
    /// Name of the customer.
    pub customer: String,
    /// Share of its requests within its rate that were answered in full.
    pub served: f64,
    /// 95th percentile of its streams' time to the first token, in milliseconds.
    pub first_p95: f64,
}

/// Tokens computed and their cost.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Cost {
    /// Tokens that paid pools computed.
    pub paid_tokens: u64,
    /// Tokens that on-demand pools computed.
    pub on_demand_tokens: u64,
    /// Price of the on-demand tokens.
    pub on_demand_cost: f64,
    /// On-demand cost for a million tokens of whole answers and their prompts.
    pub on_demand_cost_per_million: f64,
}

/// Cache use and balance of the engines.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Engines {
    /// Share of prompt tokens that the prefix caches held.
    pub cached_share: f64,
    /// Tokens of the busiest engine of a paid pool over the mean of all engines of paid pools.
    pub hottest_over_mean: f64,
    /// Requests that engines received for each model request.
    pub runs_per_request: f64,
}

/// Results of the requests that were due in one second.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Second {
    /// Answered in full.
    pub whole: u64,
    /// Refused with an error that says that the request did not run.
    pub refused: u64,
    /// Ended with another error or a wrong answer.
    pub failed: u64,
    /// 95th percentile of the streams' time to the first token, in milliseconds.
    pub first_p95: f64,
}

impl Ends {
    /// Counts one outcome.
    pub fn count(&mut self, outcome: &Outcome, within_rate: bool) {
        self.sent += 1;
        match outcome.status {
            Status::Whole => self.whole += 1,
            Status::Failed => self.failed += 1,
            Status::Wrong => self.wrong += 1,
            Status::Refused => {
                self.refused += 1;
                self.refused_within_rate += u64::from(within_rate);
            }
        }
    }
}

impl Latency {
    /// The latency of the whole answers among the outcomes.
    pub fn of<'a>(outcomes: impl Iterator<Item = &'a Outcome>) -> Self {
        let (mut first, mut whole) = (histogram(), histogram());
        for outcome in outcomes.filter(|outcome| outcome.status == Status::Whole) {
            whole.saturating_record(micros(outcome.whole));
            first.saturating_record(micros(outcome.first.unwrap_or(outcome.whole)));
        }
        Self {
            count: whole.len(),
            first: Quantiles::of(&first),
            whole: Quantiles::of(&whole),
        }
    }
}

impl Quantiles {
    /// The quantiles of a histogram of microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            p50: at(0.50),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}

/// An empty histogram of microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}, {} s, seed {}",
            self.deployment, self.seconds, self.seed
        )?;
        if !self.faults.is_empty() {
            writeln!(f, "faults: {}", self.faults.join(", "))?;
        }
        self.write_latencies(f)?;
        self.write_customers(f)?;
        self.write_summary(f)
    }
}

impl Report {
    fn write_latencies(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\nLatency, ms             first token / head          whole answer"
        )?;
        writeln!(
            f,
            "  work       whole      p50     p95     p99      p50     p95     p99"
        )?;
        for (kind, latency) in &self.kinds {
            let (first, whole) = (latency.first, latency.whole);
            writeln!(
                f,
                "  {kind:<8} {:>7}  {:>7.0} {:>7.0} {:>7.0}  {:>7.0} {:>7.0} {:>7.0}",
                latency.count, first.p50, first.p95, first.p99, whole.p50, whole.p95, whole.p99
            )?;
        }
        Ok(())
    }

    fn write_customers(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "\nCustomers")?;
        writeln!(
            f,
            "  name                   sent   whole  refused  within rate  failed  of rate  stream p95  digest p95"
        )?;
        for (name, share) in &self.customers {
            let ends = share.ends;
            writeln!(
                f,
                "  {name:<20} {:>6}  {:>6}  {:>7}  {:>11}  {:>6}  {:>6.0}%  {:>10.0}  {:>10.0}",
                ends.sent,
                ends.whole,
                ends.refused,
                ends.refused_within_rate,
                ends.failed + ends.wrong,
                share.used_of_rate * 100.0,
                share.streams.first.p95,
                share.digests.whole.p95
            )?;
        }
        Ok(())
    }

    fn write_summary(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let cost = self.cost;
        writeln!(
            f,
            "\nCost                    on demand {:.4} for {} tokens; paid pools computed {} tokens",
            cost.on_demand_cost, cost.on_demand_tokens, cost.paid_tokens
        )?;
        writeln!(
            f,
            "Sent to another region  {:.1}% of answered model requests",
            self.elsewhere_share * 100.0
        )?;
        writeln!(
            f,
            "Worst-served customer   {}: {:.1}% of its requests within its rate, first token {:.0} ms at 95 in 100",
            self.worst.customer,
            self.worst.served * 100.0,
            self.worst.first_p95
        )?;
        writeln!(
            f,
            "Refused within the rate {} of {} sent",
            self.ends.refused_within_rate, self.ends.sent
        )?;
        writeln!(
            f,
            "Engines                 cache held {:.0}% of prompt tokens; hottest replica {:.2} of the mean; {:.3} runs a request",
            self.engines.cached_share * 100.0,
            self.engines.hottest_over_mean,
            self.engines.runs_per_request
        )?;
        if !self.codes.is_empty() {
            let codes: Vec<_> = self
                .codes
                .iter()
                .map(|(code, n)| format!("{code} {n}"))
                .collect();
            writeln!(f, "Refusals and failures   {}", codes.join(", "))?;
        }
        if self.violations.is_empty() {
            return write!(
                f,
                "\nChecked: every answer whole, no post run twice, residency kept, no key seen upstream, rates kept, every \"not run\" true."
            );
        }
        write!(f, "\nBROKEN PROPERTIES")?;
        self.violations
            .iter()
            .try_for_each(|line| write!(f, "\n  {line}"))
    }
}
