//! Generates the load of a run from a seed: which customer sends which request, when and from which
//! region.

use {
    crate::{client::Call, deployment::Deployment, text},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    serde::{Deserialize, Serialize},
    serde_json::json,
    std::{f64::consts::TAU, time::Duration},
};

/// Mean rate of the whole fleet in requests a second, before the load factors of customers.
const FLEET_RATE: f64 = 110.0;

/// Amplitude of a region's daily cycle, relative to its mean rate.
const DAILY_SWING: f64 = 0.6;

/// Share of a customer's requests that come from its home region.
const HOME_SHARE: f64 = 0.7;

/// Number of shared prompt prefixes of each customer's brief questions.
const PREFIXES: u32 = 4;

/// Prompt bytes of a shared prefix, of a chat and of a digest.
const PREFIX_BYTES: usize = 2304;
const CHAT_BYTES: usize = 600;
const DIGEST_BYTES: std::ops::Range<usize> = 5_000..9_000;

/// Token limits of answers, by kind of request.
const BRIEF_TOKENS: u32 = 24;
const CHAT_TOKENS: u32 = 48;
const DIGEST_TOKENS: u32 = 160;

/// One post in this many is sent again by its caller.
const POSTS_PER_REPEAT: u64 = 4;

/// Kinds of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A streamed question after a long shared prefix.
    Brief,
    /// A streamed chat with its own prompt.
    Chat,
    /// A summary of a long prompt, answered in one piece.
    Digest,
    /// A call of a plain service that must run only once.
    Post,
    /// A call of a plain service that may be repeated.
    Lookup,
}

/// Share of each kind among all requests; the shares add up to 1.
const MIX: [(Kind, f64); 5] = [
    (Kind::Brief, 0.42),
    (Kind::Chat, 0.18),
    (Kind::Digest, 0.03),
    (Kind::Post, 0.12),
    (Kind::Lookup, 0.25),
];

/// A scheduled request.
#[derive(Debug, Clone)]
pub struct Item {
    /// Index in the schedule.
    pub number: u64,
    /// When it is due, from the run's start.
    pub at: Duration,
    /// Kind of the request.
    pub kind: Kind,
    /// Index of the customer.
    pub customer: usize,
    /// Index of the region from which it is sent.
    pub region: usize,
    /// Prompt of a model request; empty for a plain call.
    pub prompt: String,
    /// Token limit of the answer; 1 for a plain call.
    pub max_tokens: u32,
    /// Key that is unique in the run: idempotency key of a post, last path segment of a look-up.
    pub key: String,
    /// Whether the caller sends it once more to another host after the answer, as one does that is
    /// unsure whether the first attempt succeeded.
    pub is_repeated: bool,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 5] = [
        Self::Brief,
        Self::Chat,
        Self::Digest,
        Self::Post,
        Self::Lookup,
    ];

    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Brief => "brief",
            Self::Chat => "chat",
            Self::Digest => "digest",
            Self::Post => "post",
            Self::Lookup => "lookup",
        }
    }

    /// Whether it is a model request.
    pub fn is_model(self) -> bool {
        matches!(self, Self::Brief | Self::Chat | Self::Digest)
    }

    /// Whether its answer is streamed.
    pub fn is_streamed(self) -> bool {
        matches!(self, Self::Brief | Self::Chat)
    }
}

/// All requests of a run in order of time. `scale` multiplies the rate; the same arguments give the
/// same schedule.
pub fn schedule(deployment: &Deployment, seed: u64, length: Duration, scale: f64) -> Vec<Item> {
    let mut items = Vec::new();
    for (customer, profile) in deployment.customers.iter().enumerate() {
        for region in 0..deployment.regions.len() {
            let stream = seed ^ ((customer as u64) << 32) ^ ((region as u64) << 40);
            let mut rng = StdRng::seed_from_u64(stream);
            let share = if region == profile.home {
                HOME_SHARE
            } else {
                (1.0 - HOME_SHARE) / (deployment.regions.len() - 1) as f64
            };
            let rate = FLEET_RATE * scale * profile.share * profile.load_factor * share;
            for at in arrivals(&mut rng, rate, length, region) {
                items.push(item(&mut rng, deployment, at, customer, region));
            }
        }
    }
    items.sort_by_key(|item| (item.at, item.customer, item.region));
    for (number, item) in items.iter_mut().enumerate() {
        item.assign_number(seed, number as u64);
    }
    items
}

/// Times of Poisson arrivals. The rate follows a daily cycle that lasts as long as the run; the
/// peaks of the regions are a third of a day apart.
fn arrivals(rng: &mut StdRng, rate: f64, length: Duration, region: usize) -> Vec<Duration> {
    let highest = rate * (1.0 + DAILY_SWING);
    let mut at = 0.0;
    let mut times = Vec::new();
    loop {
        at -= (1.0 - rng.random::<f64>()).ln() / highest.max(f64::MIN_POSITIVE);
        if at >= length.as_secs_f64() {
            return times;
        }
        let day = at / length.as_secs_f64() + region as f64 / 3.0;
        let now = rate * (1.0 + DAILY_SWING * (TAU * day).sin());
        if rng.random::<f64>() * highest < now {
            times.push(Duration::from_secs_f64(at));
        }
    }
}

fn item(
    rng: &mut StdRng,
    deployment: &Deployment,
    at: Duration,
    customer: usize,
    region: usize,
) -> Item {
    let kind = kind(rng);
    let name = deployment.customers[customer].name;
    let prompt = match kind {
        Kind::Brief => filler(
            &format!("{name} {}", rng.random_range(0..PREFIXES)),
            PREFIX_BYTES,
        ),
        Kind::Chat => filler(&format!("{name} {}", rng.random::<u64>()), CHAT_BYTES),
        Kind::Digest => filler(
            &format!("{name} {}", rng.random::<u64>()),
            rng.random_range(DIGEST_BYTES),
        ),
        Kind::Post | Kind::Lookup => String::new(),
    };
    let max_tokens = match kind {
        Kind::Brief => BRIEF_TOKENS,
        Kind::Chat => CHAT_TOKENS,
        Kind::Digest => DIGEST_TOKENS,
        Kind::Post | Kind::Lookup => 1,
    };
    Item {
        number: 0,
        at,
        kind,
        customer,
        region,
        prompt,
        max_tokens,
        key: String::new(),
        is_repeated: false,
    }
}

fn kind(rng: &mut StdRng) -> Kind {
    let mut remaining: f64 = rng.random();
    for (kind, share) in MIX {
        if remaining < share {
            return kind;
        }
        remaining -= share;
    }
    Kind::Lookup
}

/// Deterministic text of length `bytes` that begins with `title`.
fn filler(title: &str, bytes: usize) -> String {
    let of = text::hash(title);
    let mut filled = format!("{title}. ");
    let mut index = 0;
    while filled.len() < bytes {
        filled.push_str(&text::token_of(of, index));
        index += 1;
    }
    filled.truncate(bytes);
    filled
}

impl Item {
    fn assign_number(&mut self, seed: u64, number: u64) {
        self.number = number;
        self.key = format!("{seed}-{number}");
        self.is_repeated = self.kind == Kind::Post && number.is_multiple_of(POSTS_PER_REPEAT);
        if self.kind.is_model() {
            self.prompt
                .push_str(&format!("\nQuestion {seed}-{number}?"));
        }
    }

    /// The expected text of the answer to a model request.
    pub fn answer(&self) -> String {
        text::answer(&self.prompt, self.max_tokens)
    }

    /// Tokens of the prompt and the expected answer; 1 for a plain call.
    pub fn tokens(&self) -> u32 {
        if !self.kind.is_model() {
            return 1;
        }
        text::prompt_tokens(&self.prompt) + text::answer_tokens(&self.prompt, self.max_tokens)
    }

    /// The HTTP call with the customer's key.
    pub fn call(&self, deployment: &Deployment) -> Call {
        let key = deployment.customers[self.customer].key();
        let call = match self.kind {
            Kind::Post => {
                let body = json!({"number": self.number});
                Call::post(deployment.post_path, &body).header("idempotency-key", &self.key)
            }
            Kind::Lookup => Call::get(format!("{}/{}", deployment.lookup_path, self.key)),
            Kind::Brief | Kind::Chat => self.chat(deployment.model),
            Kind::Digest => self.chat(deployment.digest_model),
        };
        call.header("authorization", &format!("Bearer {key}"))
    }

    fn chat(&self, model: &str) -> Call {
        let body = json!({
            "model": model, "stream": self.kind.is_streamed(), "max_tokens": self.max_tokens,
            "messages": [{"role": "user", "content": self.prompt}],
        });
        Call::post("/v1/chat/completions", &body)
    }
}
