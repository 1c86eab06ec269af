//! Seeded mixed work: who sends what, when and from where.

use {
    crate::{client::Call, deployment::Deployment, text},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    serde::{Deserialize, Serialize},
    serde_json::json,
    std::{f64::consts::TAU, time::Duration},
};

/// Requests a second of the whole fleet at its mean, before one customer sends more.
const FLEET_RATE: f64 = 110.0;

/// How far a region's rate swings about its mean over a day.
const DAILY_SWING: f64 = 0.6;

/// Share of a customer's work that its home region sends.
const HOME_SHARE: f64 = 0.7;

/// Shared prefixes of each customer's brief questions.
const PREFIXES: u32 = 4;

/// Bytes of a shared prefix, of a chat and of a digest's minutes.
const PREFIX_BYTES: usize = 2304;
const CHAT_BYTES: usize = 600;
const DIGEST_BYTES: std::ops::Range<usize> = 5_000..9_000;

/// Tokens that an answer may have.
const BRIEF_TOKENS: u32 = 24;
const CHAT_TOKENS: u32 = 48;
const DIGEST_TOKENS: u32 = 160;

/// One in so many posts is sent again by its caller.
const POSTS_PER_REPEAT: u64 = 4;

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A brief question after a long shared prefix, streamed.
    Brief,
    /// A chat, streamed.
    Chat,
    /// A digest of long minutes or logs, in one piece.
    Digest,
    /// A post that may not be repeated.
    Post,
    /// A look-up.
    Lookup,
}

/// Kinds with their share of all requests.
const MIX: [(Kind, f64); 5] = [
    (Kind::Brief, 0.42),
    (Kind::Chat, 0.18),
    (Kind::Digest, 0.03),
    (Kind::Post, 0.12),
    (Kind::Lookup, 0.25),
];

/// One request to come.
#[derive(Debug, Clone)]
pub struct Item {
    /// Its number, unique in a run.
    pub number: u64,
    /// When it is sent, from the run's start.
    pub at: Duration,
    /// What it asks for.
    pub kind: Kind,
    /// Number of the customer.
    pub customer: usize,
    /// Number of the region from which it is sent.
    pub region: usize,
    /// The prompt of a model request.
    pub prompt: String,
    /// Tokens that its answer may have.
    pub max_tokens: u32,
    /// Idempotency key of a post.
    pub key: String,
    /// Whether its caller, unsure, sends it once more to another host after the answer.
    pub is_repeated: bool,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 5] = [
        Self::Brief,
        Self::Chat,
        Self::Digest,
        Self::Post,
        Self::Lookup,
    ];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Brief => "brief",
            Self::Chat => "chat",
            Self::Digest => "digest",
            Self::Post => "post",
            Self::Lookup => "lookup",
        }
    }

    /// Whether a model engine answers it.
    pub fn is_model(self) -> bool {
        matches!(self, Self::Brief | Self::Chat | Self::Digest)
    }

    /// Whether its answer is streamed.
    pub fn is_streamed(self) -> bool {
        matches!(self, Self::Brief | Self::Chat)
    }
}

/// All requests of a run of `length`, in order; `scale` multiplies the rate.
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

/// Poisson arrivals whose rate follows a day that lasts as long as the run, with the peaks of the
/// regions a third of a day apart.
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

/// Text of `bytes` that follows from `title`.
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

    /// The text of a whole answer to a model request.
    pub fn answer(&self) -> String {
        text::answer(&self.prompt, self.max_tokens)
    }

    /// Tokens that a whole answer and its prompt have.
    pub fn tokens(&self) -> u32 {
        if !self.kind.is_model() {
            return 1;
        }
        text::prompt_tokens(&self.prompt) + text::answer_tokens(&self.prompt, self.max_tokens)
    }

    /// The call that a caller makes for it.
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
