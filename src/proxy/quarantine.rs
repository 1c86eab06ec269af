//! Requests and parts of prompts that crash upstreams, and the decision to withhold such a request
//! when it comes again, and all requests that hold such a part.
//!
//! An upstream that ends takes all its requests along, so one end blames many suspects. One that
//! crashes upstreams stands out because none of its answers lasts: each sound answer clears the
//! suspects of its request of all earlier ends. What remains is weighed against how often any request
//! meets the end of an upstream, so that a wave of ends with another cause needs more of them.
//!
//! Hosts share ends and sound answers in their reports, since each sees its own requests only.
//! [`Core`](super::core::Core) tells what happens to requests and upstreams, and asks before it
//! places a request.

use {
    super::{
        cache::{self, Prefix},
        fingerprint::Fingerprint,
    },
    crate::route::affinity,
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// How long an answer must last after its first byte to count as sound.
pub const SETTLING_TIME: Duration = Duration::from_secs(1);
/// How long a failed request is kept until its upstream is known to have ended.
const FAILURE_TTL: Duration = Duration::from_secs(8);
/// How long an end is kept.
const END_TTL: Duration = Duration::from_secs(300);
/// How long a sound answer is remembered for parts that no end blames.
const SOUND_TTL: Duration = Duration::from_secs(600);
/// How long a part is kept after a sound answer has cleared it of all ends.
const CLEARED_TTL: Duration = Duration::from_secs(5);
/// Age from which an end counts, so that other hosts had time to report sound answers.
const END_MATURITY: Duration = Duration::from_millis(600);
/// Time after the last byte of an upstream up to which requests were sent that may have ended it.
const END_TOLERANCE: Duration = Duration::from_millis(300);
/// Ends closer together than this have one cause.
const END_SPACING: Duration = Duration::from_millis(100);
/// Fewest ends for which a suspect is held.
const MIN_REQUIRED_ENDS: usize = 3;
/// Most ends that it takes until a part is held.
const MAX_REQUIRED_ENDS: usize = 8;
/// Most ends that it takes until a request is held. Only its own repeats are lost if that is wrong.
const MAX_REQUIRED_ENDS_OF_REQUEST: usize = 5;
/// Ends that a part with a remembered sound answer needs on top.
const ENDS_AFTER_SOUND: usize = 2;
/// Ends for which a request with a remembered sound answer is held. Many callers may send it alike, so
/// that it is under way wherever an upstream ends.
const REQUIRED_ENDS_OF_SOUND_REQUEST: usize = 10;
/// Probability below which ends that a sound part meets by chance are ruled out.
const CHANCE: f64 = 1e-6;
/// Share of requests that meet the end of an upstream from which no part is blamed.
const MAX_END_SHARE: f64 = 0.4;
/// Requests that are assumed before any was observed.
const PRIOR_REQUESTS: f64 = 50.0;
/// Requests that are assumed to have met an end before any was observed.
const PRIOR_MET_ENDS: f64 = 0.5;
/// Time in which the weight of an observed request falls to 1/e.
const RATE_TIME: Duration = Duration::from_secs(10);
/// Time from the last end until one request with a held part is let through. It doubles with each.
const TRIAL_DELAY: Duration = Duration::from_secs(60);
/// The same time for a held request, whose trials serve nobody else.
const REQUEST_TRIAL_DELAY: Duration = Duration::from_secs(5 * 60);
/// Most doublings of [`TRIAL_DELAY`] and [`REQUEST_TRIAL_DELAY`].
const MAX_TRIAL_DOUBLINGS: u32 = 6;
/// How long a part stays held after its last end.
const HOLD_TTL: Duration = Duration::from_secs(2 * 60 * 60);
/// Most failed requests that are kept.
const MAX_FAILURES: usize = 1_024;
/// Most blamed parts that are kept.
const MAX_BLAMED: usize = 4_096;
/// Most parts that are held.
const MAX_HELD: usize = 256;
/// Most parts, and most requests, with a remembered sound answer.
const MAX_SOUND: usize = 16_384;
/// Most upstreams that are known to have ended.
const MAX_ENDED: usize = 1_024;
/// Most parts, and most requests, in a report.
const MAX_REPORTED_SUSPECTS: usize = 32;
/// Most ends of a suspect in a report.
const MAX_REPORTED_ENDS: usize = 4;

/// What may crash the upstreams that run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(from = "Key", into = "Key")]
pub enum Suspect {
    /// A part of the prompt.
    #[display("{_0:x}")]
    Part(u64),
    /// The request itself.
    #[display("{_0}")]
    Request(Fingerprint),
}

impl Suspect {
    fn is_part(self) -> bool {
        matches!(self, Self::Part(_))
    }

    /// A number for rendezvous hashing.
    pub fn point(self) -> u64 {
        match self {
            Self::Part(part) => part,
            Self::Request(Fingerprint(hash)) => hash,
        }
    }
}

/// A suspect in a report. Hosts that know no requests read the number as a part, which no prompt has.
#[derive(Debug, Serialize, Deserialize)]
struct Key {
    #[serde(rename = "p")]
    number: u64,
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    is_request: bool,
}

impl From<Key> for Suspect {
    fn from(Key { number, is_request }: Key) -> Self {
        if is_request {
            Self::Request(Fingerprint(number))
        } else {
            Self::Part(number)
        }
    }
}

impl From<Suspect> for Key {
    fn from(suspect: Suspect) -> Self {
        Self {
            number: suspect.point(),
            is_request: !suspect.is_part(),
        }
    }
}

/// Identifies one process of an upstream: another one under its name has another key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Process(u64);

impl Process {
    /// The process of the upstream with this hash of its name that started as this incarnation.
    pub fn new(point: u64, incarnation: u64) -> Self {
        Self(affinity::mix(point ^ affinity::mix(incarnation)))
    }
}

/// What a host reports of one suspect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The suspect.
    #[serde(flatten)]
    pub suspect: Suspect,
    /// Upstreams that ended under requests with the suspect since its last sound answer, each with
    /// the time since.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<(Process, Duration)>,
    /// Time since the last sound answer to a request with the suspect.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub sound_age: Option<Duration>,
    /// Set while the sender holds the suspect.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub hold: Option<Hold>,
}

/// How long a suspect has been held, as hosts report it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Hold {
    /// Time since the suspect was first held.
    #[serde(rename = "a")]
    pub age: Duration,
    /// Requests that were let through since.
    #[serde(rename = "t")]
    pub trials: u32,
}

/// Decision on a request by its suspects.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// None is held.
    Clear,
    /// One is held, and this request may be the one that tries it.
    Trial(Suspect),
    /// One is held.
    Withheld(Withheld),
}

/// Why a request is withheld.
#[derive(Debug, Clone, PartialEq)]
pub struct Withheld {
    /// The suspect that is held.
    pub suspect: Suspect,
    /// Time since it was first held.
    pub age: Duration,
    /// Time until the next request with the suspect is let through.
    pub retry_after: Duration,
}

/// A change in what is believed of a suspect, to be logged.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The suspect that the belief is of.
    pub suspect: Suspect,
    /// What has changed.
    pub state: State,
    /// Number of ends that blame the suspect.
    pub ends: usize,
    /// Number of ends for which it is held; zero if it is not held for these.
    pub required_ends: usize,
    /// Time since the first of the ends.
    pub first_end_age: Duration,
    /// Time since the last of the ends.
    pub last_end_age: Duration,
}

/// What has become of a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It is held for ends that this host knows.
    Held,
    /// It is held because another host holds it.
    Adopted,
    /// One request with it is let through.
    Trial,
    /// It is no longer held, after a sound answer.
    Released,
    /// It is no longer held, since another held suspect explains its ends.
    Explained,
    /// It is no longer held, as its last end is long ago.
    Expired,
}

impl State {
    /// The name in the log and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Held => "held",
            Self::Adopted => "adopted",
            Self::Trial => "trial",
            Self::Released => "released",
            Self::Explained => "explained",
            Self::Expired => "expired",
        }
    }
}

/// A request that failed before its answer had lasted.
#[derive(Debug)]
struct Failed {
    at: Duration,
    /// When the request was sent to its upstream.
    sent_at: Duration,
    process: Process,
    suspects: Arc<[Suspect]>,
}

/// The end of an upstream's process without a notice.
#[derive(Debug, Clone, Copy)]
pub struct End {
    /// The process.
    pub process: Process,
    /// When it ended, as far as that is known.
    pub at: Duration,
    /// Whether it may yet turn out to run.
    pub certainty: Certainty,
}

/// How sure it is that a process has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Certainty {
    /// It is silent or no longer listed, and may yet answer.
    Presumed,
    /// It refuses connections or has started again. What still arrives was sent before.
    Certain,
}

/// What is known of a suspect that ends blame.
#[derive(Debug, Default)]
struct Blame {
    /// Ends since the last sound answer, with their time.
    ends: BTreeMap<Process, Duration>,
    sound_at: Option<Duration>,
    /// This host's requests with the suspect that met an end.
    own: Count,
    /// Whether the prompts of these requests have no parts.
    is_bare: bool,
    /// When this host last saw something new, which all others are told.
    seen_at: Option<Duration>,
    /// When a host of another region last told something new, which the own region is told.
    told_at: Option<Duration>,
    /// When something new was last learned, or nothing yet.
    learned_at: Duration,
}

impl Blame {
    fn record_news(&mut self, now: Duration, source: Source) {
        match source {
            Source::Own => self.seen_at = Some(now),
            Source::Remote => self.told_at = Some(now),
            Source::Region => {}
        }
        self.learned_at = now;
    }

    fn last_end_at(&self) -> Option<Duration> {
        self.ends.values().max().copied()
    }

    fn has_met_all_of(&self, other: &Blame) -> bool {
        let mut ends = other.ends.keys();
        ends.all(|process| self.ends.contains_key(process))
    }
}

/// Where a piece of news comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// This host.
    Own,
    /// Another host of the region, which tells all others itself.
    Region,
    /// A host of another region.
    Remote,
}

/// A suspect with which requests are withheld.
#[derive(Debug)]
struct Held {
    since: Duration,
    last_end_at: Duration,
    trials: u32,
}

impl Held {
    /// When the next request with the suspect may be let through.
    fn trial_at(&self, suspect: Suspect) -> Duration {
        let delay = match suspect {
            Suspect::Part(_) => TRIAL_DELAY,
            Suspect::Request(_) => REQUEST_TRIAL_DELAY,
        };
        self.last_end_at + delay * 2_u32.pow(self.trials.min(MAX_TRIAL_DOUBLINGS))
    }
}

/// A count that decays with [`RATE_TIME`].
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    value: f64,
    at: Duration,
}

impl Count {
    fn get(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-age / RATE_TIME.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Duration) {
        self.value = self.get(now) + 1.0;
        self.at = now;
    }
}

/// Requests of this host, and those of them that met the end of an upstream.
#[derive(Debug, Default)]
struct Rate {
    requests: Count,
    met_ends: Count,
    /// The latter by upstream.
    met_by_process: BTreeMap<Process, Count>,
}

impl Rate {
    fn record_met_end(&mut self, now: Duration, process: Process) {
        self.met_ends.add(now);
        self.met_by_process.entry(process).or_default().add(now);
    }

    /// Requests that met one of these ends.
    fn met<'a>(&self, now: Duration, ends: impl Iterator<Item = &'a Process>) -> f64 {
        let met = ends.filter_map(|process| self.met_by_process.get(process));
        met.map(|count| count.get(now)).sum()
    }
}

/// When suspects last had a sound answer; the oldest are forgotten.
#[derive(Debug, Default)]
struct Memory {
    answers: BTreeMap<Suspect, Duration>,
    /// The same by time.
    order: BTreeSet<(Duration, Suspect)>,
}

impl Memory {
    fn record(&mut self, now: Duration, suspect: Suspect) {
        if let Some(before) = self.answers.insert(suspect, now) {
            self.order.remove(&(before, suspect));
        }
        self.order.insert((now, suspect));
        if self.answers.len() > MAX_SOUND {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, suspect)) = self.order.pop_first() {
            self.answers.remove(&suspect);
        }
    }

    fn expire(&mut self, now: Duration) {
        while let Some((at, _)) = self.order.first()
            && now.saturating_sub(*at) >= SOUND_TTL
        {
            self.forget_oldest();
        }
    }
}

/// What ends of upstreams blame, and what of it is held.
#[derive(Debug, Default)]
pub struct Quarantine {
    failures: Vec<Failed>,
    ended: BTreeMap<Process, End>,
    blamed: BTreeMap<Suspect, Blame>,
    held: BTreeMap<Suspect, Held>,
    sound_parts: Memory,
    sound_requests: Memory,
    /// Requests whose prompts have parts.
    prompts: Rate,
    /// Other requests, which go to other upstreams.
    bare: Rate,
    changes: Vec<Change>,
}

/// What may be blamed for the end of an upstream that runs a request: the request itself and the
/// parts of its prompt.
pub fn suspects(fingerprint: Fingerprint, prompt: &[Prefix]) -> Arc<[Suspect]> {
    let parts = cache::shared_parts(prompt).map(Suspect::Part);
    parts.chain([Suspect::Request(fingerprint)]).collect()
}

/// Whether the prompt of a request with these suspects has no parts.
fn is_bare(suspects: &[Suspect]) -> bool {
    !suspects.iter().copied().any(Suspect::is_part)
}

impl Quarantine {
    fn rate_mut(&mut self, is_bare: bool) -> &mut Rate {
        if is_bare {
            &mut self.bare
        } else {
            &mut self.prompts
        }
    }

    /// Records that a request was sent to an upstream.
    pub fn record_sent(&mut self, now: Duration, suspects: &[Suspect]) {
        self.rate_mut(is_bare(suspects)).requests.add(now);
    }

    /// Records that an answer to a request with these suspects is complete or has lasted.
    pub fn record_sound(&mut self, now: Duration, suspects: &[Suspect]) {
        for suspect in suspects {
            let memory = match suspect {
                Suspect::Part(_) => &mut self.sound_parts,
                Suspect::Request(_) => &mut self.sound_requests,
            };
            memory.record(now, *suspect);
            self.clear(now, *suspect, now, Source::Own);
        }
    }

    /// Removes the ends of a suspect up to its sound answer at `sound_at`, and lets it go.
    fn clear(&mut self, now: Duration, suspect: Suspect, sound_at: Duration, source: Source) {
        let Some(blame) = self.blamed.get_mut(&suspect) else {
            return;
        };
        if blame.sound_at.is_some_and(|known| known >= sound_at) {
            return;
        }
        blame.sound_at = Some(sound_at);
        blame.record_news(now, source);
        let is_held = self.held.get(&suspect);
        if is_held.is_some_and(|held| held.last_end_at.max(held.since) < sound_at) {
            self.held.remove(&suspect);
            self.push_change(now, suspect, State::Released, 0);
        }
        if let Some(blame) = self.blamed.get_mut(&suspect) {
            blame.ends.retain(|_, at| *at > sound_at);
        }
    }

    /// Records that a request, sent at `sent_at`, failed at an upstream before its answer had
    /// lasted.
    pub fn record_failed(
        &mut self,
        now: Duration,
        sent_at: Duration,
        process: Process,
        suspects: &Arc<[Suspect]>,
    ) {
        if let Some(end) = self.ended.get(&process).copied() {
            self.blame(now, sent_at, end, suspects);
            return;
        }
        if self.failures.len() >= MAX_FAILURES {
            self.failures.remove(0);
        }
        self.failures.push(Failed {
            at: now,
            sent_at,
            process,
            suspects: suspects.clone(),
        });
    }

    /// Whether the process has certainly ended.
    pub fn has_ended(&self, process: Process) -> bool {
        let end = self.ended.get(&process);
        end.is_some_and(|end| end.certainty == Certainty::Certain)
    }

    /// Records that an upstream has ended, with the requests there whose answers had not lasted and
    /// the time at which each was sent.
    pub fn record_end(&mut self, now: Duration, end: End, open: &[(Duration, Arc<[Suspect]>)]) {
        if let Some(known) = self.ended.get_mut(&end.process) {
            known.certainty = end.certainty.max(known.certainty);
            return;
        }
        self.ended.insert(end.process, end);
        if self.ended.len() > MAX_ENDED {
            let oldest = self.ended.values().min_by_key(|end| end.at);
            if let Some(oldest) = oldest.map(|end| end.process) {
                self.ended.remove(&oldest);
            }
        }
        let (failed, others): (Vec<_>, Vec<_>) = std::mem::take(&mut self.failures)
            .into_iter()
            .partition(|failed| failed.process == end.process);
        self.failures = others;
        for failed in failed {
            self.blame(now, failed.sent_at, end, &failed.suspects);
        }
        for (sent_at, suspects) in open {
            self.blame(now, *sent_at, end, suspects);
        }
    }

    /// Takes back that a process was presumed to have ended, as it has answered since.
    pub fn retract_end(&mut self, process: Process) {
        let is_presumed = |end: &End| end.certainty == Certainty::Presumed;
        if self.ended.get(&process).is_some_and(is_presumed) {
            self.ended.remove(&process);
            for blame in self.blamed.values_mut() {
                blame.ends.remove(&process);
            }
        }
    }

    /// Blames the suspects of a request for an end, unless it was sent when the upstream had ended.
    fn blame(&mut self, now: Duration, sent_at: Duration, end: End, suspects: &[Suspect]) {
        let End { process, at, .. } = end;
        if sent_at > at + END_TOLERANCE {
            return;
        }
        let is_bare = is_bare(suspects);
        self.rate_mut(is_bare).record_met_end(now, process);
        for suspect in suspects {
            let blame = self.entry(now, *suspect);
            blame.own.add(now);
            blame.is_bare = is_bare;
            if blame.ends.insert(process, at).is_none() {
                blame.record_news(now, Source::Own);
            }
            if let Some(held) = self.held.get_mut(suspect) {
                held.last_end_at = held.last_end_at.max(at);
            }
        }
    }

    fn entry(&mut self, now: Duration, suspect: Suspect) -> &mut Blame {
        if self.blamed.len() >= MAX_BLAMED && !self.blamed.contains_key(&suspect) {
            self.drop_weakest();
        }
        let sound_at = self.remembered_sound(suspect);
        self.blamed.entry(suspect).or_insert_with(|| Blame {
            sound_at,
            learned_at: now,
            ..Blame::default()
        })
    }

    /// When a suspect last had a sound answer at this host, if that is remembered.
    fn remembered_sound(&self, suspect: Suspect) -> Option<Duration> {
        let memory = match suspect {
            Suspect::Part(_) => &self.sound_parts,
            Suspect::Request(_) => &self.sound_requests,
        };
        memory.answers.get(&suspect).copied()
    }

    /// Drops a quarter of the blamed suspects: those with the fewest ends, the oldest first.
    fn drop_weakest(&mut self) {
        let candidates = self.blamed.iter();
        let candidates = candidates.filter(|(suspect, _)| !self.held.contains_key(suspect));
        let mut order: Vec<_> = candidates
            .map(|(suspect, blame)| (blame.ends.len(), blame.learned_at, *suspect))
            .collect();
        order.sort_unstable();
        for (_, _, suspect) in order.into_iter().take(MAX_BLAMED / 4) {
            self.blamed.remove(&suspect);
        }
    }

    /// Takes over what another host reports.
    pub fn record_evidence(&mut self, now: Duration, source: Source, evidence: &[Evidence]) {
        for Evidence {
            suspect,
            ends,
            sound_age,
            hold,
        } in evidence
        {
            if !ends.is_empty() || hold.is_some() {
                self.record_reported_ends(now, source, *suspect, ends);
            }
            if let Some(age) = sound_age {
                self.clear(now, *suspect, now.saturating_sub(*age), source);
            }
            if let Some(hold) = hold {
                self.adopt(now, *suspect, *hold);
            }
        }
    }

    fn record_reported_ends(
        &mut self,
        now: Duration,
        source: Source,
        suspect: Suspect,
        ends: &[(Process, Duration)],
    ) {
        let blame = self.entry(now, suspect);
        for (process, age) in ends {
            let at = now.saturating_sub(*age);
            if blame.sound_at.is_some_and(|sound_at| at <= sound_at) {
                // The sender has not heard of that answer.
                blame.record_news(now, Source::Own);
                continue;
            }
            if let Some(known) = blame.ends.get_mut(process) {
                *known = at.min(*known);
            } else {
                blame.ends.insert(*process, at);
                blame.record_news(now, source);
            }
        }
    }

    /// Holds a suspect that another host holds, unless this host knows better.
    fn adopt(&mut self, now: Duration, suspect: Suspect, hold: Hold) {
        let since = now.saturating_sub(hold.age);
        let blame = self.blamed.get(&suspect);
        let sound_at = blame.and_then(|blame| blame.sound_at);
        let last_end_at = blame.and_then(Blame::last_end_at).unwrap_or(since);
        if sound_at.is_some_and(|sound_at| sound_at >= since.max(last_end_at)) {
            return;
        }
        if let Some(held) = self.held.get_mut(&suspect) {
            held.trials = held.trials.max(hold.trials);
            held.last_end_at = held.last_end_at.max(last_end_at);
            return;
        }
        // What this host knows of a request that was sound weighs more than what the other one does.
        let is_judged_here = !suspect.is_part() && sound_at.is_some();
        let is_old = last_end_at + HOLD_TTL <= now;
        if is_judged_here || is_old || self.held.len() >= MAX_HELD || self.is_explained(suspect) {
            return;
        }
        let trials = hold.trials;
        self.held.insert(
            suspect,
            Held {
                since,
                last_end_at,
                trials,
            },
        );
        self.push_change(now, suspect, State::Adopted, 0);
    }

    /// What this host reports to another one: what it has seen since `since`, to a host of its
    /// region also what others told it since, and the suspects that it holds.
    pub fn evidence(&self, now: Duration, since: Duration, to_region: bool) -> Vec<Evidence> {
        let is_news = |at: Option<Duration>| at.is_some_and(|at| at >= since);
        let told = self.blamed.iter().filter(|(suspect, blame)| {
            is_news(blame.seen_at)
                || (to_region && is_news(blame.told_at))
                || self.held.contains_key(suspect)
        });
        let (mut parts, mut requests): (Vec<_>, Vec<_>) =
            told.partition(|(suspect, _)| suspect.is_part());
        for told in [&mut parts, &mut requests] {
            told.sort_by_key(|(suspect, blame)| {
                let is_held = self.held.contains_key(suspect);
                Reverse((is_held, blame.ends.len(), blame.learned_at))
            });
            told.truncate(MAX_REPORTED_SUSPECTS);
        }
        let told = parts.into_iter().chain(requests);
        let evidence = told.map(|(suspect, blame)| {
            let mut ends: Vec<_> = blame.ends.iter().collect();
            ends.sort_by_key(|(_, at)| Reverse(**at));
            ends.truncate(MAX_REPORTED_ENDS);
            let ends = ends.into_iter();
            let age = |at: Duration| now.saturating_sub(at);
            Evidence {
                suspect: *suspect,
                ends: ends.map(|(process, at)| (*process, age(*at))).collect(),
                sound_age: blame.sound_at.map(age),
                hold: self.held.get(suspect).map(|held| Hold {
                    age: age(held.since),
                    trials: held.trials,
                }),
            }
        });
        evidence.collect()
    }

    /// Holds suspects that ends blame beyond chance, forgets what is old, and returns the changes.
    pub fn judge(&mut self, now: Duration) -> Vec<Change> {
        self.expire(now);
        while let Some((suspect, required)) = self.find_culprit(now) {
            let held = Held {
                since: now,
                last_end_at: self.blamed[&suspect].last_end_at().unwrap_or(now),
                trials: 0,
            };
            if self.held.len() >= MAX_HELD
                && let Some(oldest) = self.held.iter().min_by_key(|(_, held)| held.last_end_at)
            {
                let oldest = *oldest.0;
                self.held.remove(&oldest);
                self.push_change(now, oldest, State::Expired, 0);
            }
            self.held.insert(suspect, held);
            self.push_change(now, suspect, State::Held, required);
            self.release_explained(now, suspect);
        }
        std::mem::take(&mut self.changes)
    }

    /// The suspect with the most ends that no held one explains, if these are beyond chance, and how
    /// many it takes. Requests go first: what is sound of their prompts then goes on.
    fn find_culprit(&self, now: Duration) -> Option<(Suspect, usize)> {
        let candidates = self
            .blamed
            .iter()
            .filter(|(suspect, blame)| {
                blame.ends.len() >= MIN_REQUIRED_ENDS && !self.held.contains_key(suspect)
            })
            .filter_map(|(suspect, blame)| {
                let required = self.required_ends(now, *suspect, blame)?;
                let ends = independent_ends(now, self.unexplained_ends(*suspect, blame));
                (ends >= required).then_some((*suspect, ends, required))
            });
        // Of two suspects with the same ends, one without a sound answer is the likelier cause.
        let culprit = candidates.max_by_key(|(suspect, ends, required)| {
            (!suspect.is_part(), *ends, Reverse(*required), *suspect)
        });
        culprit.map(|(suspect, _, required)| (suspect, required))
    }

    /// The held suspects with what is known of them.
    fn held_blames(&self) -> impl Iterator<Item = (Suspect, &Blame)> {
        let held = self.held.keys();
        held.filter_map(|suspect| Some((*suspect, self.blamed.get(suspect)?)))
    }

    /// The ends of a suspect that no held one explains.
    fn unexplained_ends(&self, suspect: Suspect, blame: &Blame) -> impl Iterator<Item = Duration> {
        let explaining = self.held_blames().filter(|(other, held)| {
            match (*other, suspect) {
                // Other requests with the part may be sound.
                (Suspect::Request(_), Suspect::Part(_)) => true,
                (Suspect::Part(_), Suspect::Request(_)) => !blame.has_met_all_of(held),
                _ => !explains_more(blame, held),
            }
        });
        let explained: BTreeSet<_> = explaining.flat_map(|(_, held)| held.ends.keys()).collect();
        let ends = blame.ends.iter();
        ends.filter(move |(process, _)| !explained.contains(process))
            .map(|(_, at)| *at)
    }

    /// Whether a held suspect explains the ends of another one. A host that learned it let the other
    /// one go, while others may still report that they hold it.
    fn is_explained(&self, suspect: Suspect) -> bool {
        let Some(blame) = self.blamed.get(&suspect) else {
            return false;
        };
        let mut held = self.held_blames();
        held.any(|(other, held)| accounts_for((other, held), (suspect, blame)))
    }

    /// Lets suspects go whose ends the one that was just held accounts for.
    fn release_explained(&mut self, now: Duration, suspect: Suspect) {
        let Some(blame) = self.blamed.get(&suspect) else {
            return;
        };
        let others = self.held_blames();
        let explained: Vec<_> = others
            .filter(|(other, held)| accounts_for((suspect, blame), (*other, held)))
            .map(|(other, _)| other)
            .collect();
        for other in explained {
            self.held.remove(&other);
            self.push_change(now, other, State::Explained, 0);
        }
    }

    /// Ends that blame a suspect beyond chance; `None` while too many requests meet one.
    fn required_ends(&self, now: Duration, suspect: Suspect, blame: &Blame) -> Option<usize> {
        let rate = if blame.is_bare {
            &self.bare
        } else {
            &self.prompts
        };
        let was_sound = blame.sound_at.is_some() || self.remembered_sound(suspect).is_some();
        if was_sound && !suspect.is_part() {
            return Some(REQUIRED_ENDS_OF_SOUND_REQUEST);
        }
        let own = blame.own.get(now);
        let (caused, most) = match suspect {
            Suspect::Part(_) => (own, MAX_REQUIRED_ENDS),
            // A request that crashes upstreams takes many others along each time.
            Suspect::Request(_) => (
                rate.met(now, blame.ends.keys()),
                MAX_REQUIRED_ENDS_OF_REQUEST,
            ),
        };
        let requests = PRIOR_REQUESTS + (rate.requests.get(now) - own).max(0.0);
        let met = PRIOR_MET_ENDS + (rate.met_ends.get(now) - caused).max(0.0);
        let share = met / requests;
        if share >= MAX_END_SHARE {
            return (!suspect.is_part()).then_some(most);
        }
        let required = (CHANCE.ln() / share.ln()).ceil() as usize;
        let required = required.clamp(MIN_REQUIRED_ENDS, most);
        Some(required + if was_sound { ENDS_AFTER_SOUND } else { 0 })
    }

    fn expire(&mut self, now: Duration) {
        let is_kept = |at: Duration, ttl: Duration| now.saturating_sub(at) < ttl;
        self.failures
            .retain(|failed| is_kept(failed.at, FAILURE_TTL));
        self.ended.retain(|_, end| is_kept(end.at, END_TTL));
        for rate in [&mut self.prompts, &mut self.bare] {
            let ended = &self.ended;
            let met = &mut rate.met_by_process;
            met.retain(|process, _| ended.contains_key(process));
        }
        self.sound_parts.expire(now);
        self.sound_requests.expire(now);
        let held = &self.held;
        self.blamed.retain(|suspect, blame| {
            if !held.contains_key(suspect) {
                blame.ends.retain(|_, at| is_kept(*at, END_TTL));
            }
            !blame.ends.is_empty()
                || held.contains_key(suspect)
                || is_kept(blame.learned_at, CLEARED_TTL)
        });
        let expired: Vec<_> = self
            .held
            .iter()
            .filter(|(_, held)| !is_kept(held.last_end_at.max(held.since), HOLD_TTL))
            .map(|(suspect, _)| *suspect)
            .collect();
        for suspect in expired {
            self.held.remove(&suspect);
            self.push_change(now, suspect, State::Expired, 0);
            self.blamed.remove(&suspect);
        }
    }

    fn push_change(&mut self, now: Duration, suspect: Suspect, state: State, required_ends: usize) {
        let ends = self.blamed.get(&suspect).map(|blame| &blame.ends);
        let ends: Vec<_> = ends.into_iter().flatten().map(|(_, at)| *at).collect();
        let age = |at: Option<Duration>| now.saturating_sub(at.unwrap_or(now));
        self.changes.push(Change {
            suspect,
            state,
            ends: ends.len(),
            required_ends,
            first_end_age: age(ends.iter().min().copied()),
            last_end_age: age(ends.iter().max().copied()),
        });
    }

    /// Decides on a request with these suspects. Where a trial is due, `tries` tells whether this host
    /// makes it.
    pub fn check(
        &self,
        now: Duration,
        suspects: &[Suspect],
        tries: impl Fn(Suspect) -> bool,
    ) -> Verdict {
        if self.held.is_empty() {
            return Verdict::Clear;
        }
        let mut trial = None;
        for suspect in suspects.iter().copied() {
            let Some(held) = self.held.get(&suspect) else {
                continue;
            };
            let trial_at = held.trial_at(suspect);
            if now < trial_at || trial.is_some() || !tries(suspect) {
                return Verdict::Withheld(Withheld {
                    suspect,
                    age: now.saturating_sub(held.since),
                    retry_after: trial_at.saturating_sub(now),
                });
            }
            trial = Some(suspect);
        }
        trial.map_or(Verdict::Clear, Verdict::Trial)
    }

    /// Records that a request with a held suspect is let through.
    pub fn start_trial(&mut self, now: Duration, suspect: Suspect) {
        if let Some(held) = self.held.get_mut(&suspect) {
            held.trials += 1;
            held.last_end_at = now;
            self.push_change(now, suspect, State::Trial, 0);
        }
    }

    /// Whether one of these suspects met the ends of two upstreams and had no sound answer since.
    pub fn is_suspect(&self, suspects: &[Suspect]) -> bool {
        let mut blamed = suspects
            .iter()
            .filter_map(|suspect| self.blamed.get(suspect));
        blamed.any(|blame| blame.ends.len() >= 2)
    }

    /// Number of parts that are held.
    pub fn held_parts(&self) -> usize {
        let held = self.held.keys();
        held.filter(|suspect| suspect.is_part()).count()
    }

    /// Number of requests that are held.
    pub fn held_requests(&self) -> usize {
        self.held.len() - self.held_parts()
    }

    /// Number of suspects that are blamed.
    pub fn blamed(&self) -> usize {
        self.blamed.len()
    }

    /// Number of parts and of requests with a remembered sound answer.
    pub fn sound(&self) -> usize {
        self.sound_parts.answers.len() + self.sound_requests.answers.len()
    }
}

/// Whether a suspect has met all ends of another one, and more.
fn explains_more(blame: &Blame, other: &Blame) -> bool {
    blame.ends.len() > other.ends.len() && blame.has_met_all_of(other)
}

/// Whether a held suspect takes the place of another one. A request does so for a part of its prompt
/// that has met no other ends, as what else holds the part may be sound.
fn accounts_for((suspect, blame): (Suspect, &Blame), (other, held): (Suspect, &Blame)) -> bool {
    match (suspect, other) {
        (Suspect::Request(_), Suspect::Part(_)) => blame.has_met_all_of(held),
        _ => explains_more(blame, held),
    }
}

/// Number of ends that are old enough to count and don't come together.
fn independent_ends(now: Duration, ends: impl Iterator<Item = Duration>) -> usize {
    let mut ends: Vec<_> = ends
        .filter(|at| now.saturating_sub(*at) >= END_MATURITY)
        .collect();
    ends.sort_unstable();
    let mut last = None;
    ends.retain(|at| {
        let is_apart = last.is_none_or(|last| at.saturating_sub(last) >= END_SPACING);
        if is_apart {
            last = Some(*at);
        }
        is_apart
    });
    ends.len()
}
