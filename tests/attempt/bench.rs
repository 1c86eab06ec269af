//! Runs one exchange against scripted upstreams and records what the caller receives.

use {
    greengagecleat::{
        attempt::{
            Action, Code, Event, Exchange, Id, Mutant, Plan, Ran, TokenBucket, Work, budget,
        },
        machine::Machine,
    },
    quickcheck::{Arbitrary, Gen},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Number of tokens of a complete answer.
pub(crate) const TOKENS: u64 = 6;

/// Length of a pause, above every timeout and below the deadline.
const PAUSE_MS: u64 = 4_000;

/// Token of a [`Event::Sending`] event whose request starts the work.
const STARTS_WORK: u64 = u64::MAX - 1;

/// The behaviour of one upstream.
#[derive(Debug, Clone)]
pub(crate) enum Script {
    Unreachable,
    NeverConnects,
    Refused,
    Failed,
    SilentBeforeHead,
    WrongId,
    Complete,
    BreakAfter(u64),
    SilentAfter(u64),
    /// Complete, with a silence of [`PAUSE_MS`] before the head.
    PauseBeforeHead,
    /// Complete, with a silence of [`PAUSE_MS`] after these tokens.
    PauseAfter(u64),
}

impl Script {
    /// Whether the upstream never breaks, refuses or answers wrongly.
    fn goes_on(&self) -> bool {
        matches!(
            self,
            Self::Complete
                | Self::SilentBeforeHead
                | Self::SilentAfter(_)
                | Self::PauseBeforeHead
                | Self::PauseAfter(_)
        )
    }
}

impl Arbitrary for Script {
    fn arbitrary(g: &mut Gen) -> Self {
        let tokens = u64::arbitrary(g) % TOKENS;
        let scripts = [
            Script::Unreachable,
            Script::NeverConnects,
            Script::Refused,
            Script::Failed,
            Script::SilentBeforeHead,
            Script::WrongId,
            Script::Complete,
            Script::BreakAfter(tokens),
            Script::BreakAfter(tokens),
            Script::SilentAfter(tokens),
            Script::PauseBeforeHead,
            Script::PauseAfter(tokens),
        ];
        g.choose(&scripts).unwrap().clone()
    }
}

/// An event besides the upstreams' behaviour. Times are in milliseconds.
#[derive(Debug, Clone)]
pub(crate) enum Disturbance {
    Pause { from: u64, len: u64 },
    CallerDisconnected(u64),
    KeyWithdrawn(u64),
    Nothing,
}

impl Arbitrary for Disturbance {
    fn arbitrary(g: &mut Gen) -> Self {
        let at = u64::arbitrary(g) % 6_000;
        let len = u64::arbitrary(g) % 30_000;
        match u8::arbitrary(g) % 8 {
            0 => Disturbance::CallerDisconnected(at),
            1 => Disturbance::KeyWithdrawn(at),
            2 | 3 => Disturbance::Pause { from: at, len },
            _ => Disturbance::Nothing,
        }
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Case {
    pub work: Work,
    pub hedge: bool,
    pub scripts: Vec<Script>,
    pub disturbance: Disturbance,
    pub seed: u64,
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Self {
        let works = [
            Work::Once,
            Work::Idempotent,
            Work::Model { resume: false },
            Work::Model { resume: true },
        ];
        Self {
            work: *g.choose(&works).unwrap(),
            hedge: bool::arbitrary(g),
            scripts: Vec::arbitrary(g),
            disturbance: Disturbance::arbitrary(g),
            seed: u64::arbitrary(g),
        }
    }
}

/// How the exchange ended for the caller.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum End {
    Complete,
    Failed { code: Code, ran: Ran },
    CallerDisconnected,
}

#[derive(Debug)]
pub(crate) struct Observed {
    pub end: Option<End>,
    /// Numbers of the relayed tokens; `None` for a token of another exchange's answer.
    pub tokens: Vec<Option<u64>>,
    /// Number of attempts whose work started.
    pub runs: usize,
    pub sends: usize,
    pub actions_after_end: usize,
    /// Attempts that might have gone on and were given up although no other one answered.
    pub given_up: BTreeSet<u32>,
}

/// A scheduled event, with the number of the token that it carries.
type Due = (Event, Option<u64>);

struct Bench {
    exchange: Exchange<TokenBucket>,
    scripts: Vec<Script>,
    /// Attempts whose upstreams never break, refuse or answer wrongly.
    sound: BTreeSet<u32>,
    /// Attempts that have started work.
    started: BTreeSet<u32>,
    due: BTreeMap<(Duration, usize), Due>,
    /// Orders events of the same time.
    order: usize,
    observed: Observed,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Bench {
    fn schedule(&mut self, at: Duration, event: Event, token: Option<u64>) {
        self.order += 1;
        self.due.insert((at, self.order), (event, token));
    }

    fn send(&mut self, now: Duration, attempt: u32, offset: u64) {
        let script = self.scripts.get(self.observed.sends).cloned();
        let script = script.unwrap_or(Script::Complete);
        self.observed.sends += 1;
        if script.goes_on() {
            self.sound.insert(attempt);
        }
        match script {
            Script::Unreachable => self.schedule(now + ms(2), Event::Unreachable { attempt }, None),
            Script::NeverConnects => {}
            Script::Refused => {
                self.schedule(now + ms(2), Event::Sending { attempt }, None);
                self.send_head(now, attempt, 503, "own", Some(Ran::No));
            }
            Script::Failed => {
                self.start_work(now, attempt);
                self.send_head(now, attempt, 503, "own", None);
                self.schedule(now + ms(20), Event::End { attempt }, None);
            }
            Script::SilentBeforeHead => self.start_work(now, attempt),
            Script::WrongId => {
                self.start_work(now, attempt);
                self.send_head(now, attempt, 200, "other", None);
                self.send_chunks(now, attempt, 0, TOKENS, false);
                self.schedule(now + ms(900), Event::End { attempt }, None);
            }
            Script::Complete => {
                self.begin_answer(now, attempt, offset, TOKENS);
                self.schedule(now + ms(900), Event::End { attempt }, None);
            }
            Script::BreakAfter(tokens) => {
                self.begin_answer(now, attempt, offset, tokens);
                self.schedule(now + ms(900), Event::Broken { attempt }, None);
            }
            Script::SilentAfter(tokens) => self.begin_answer(now, attempt, offset, tokens),
            Script::PauseBeforeHead => {
                self.start_work(now, attempt);
                let now = now + ms(PAUSE_MS);
                self.send_head(now, attempt, 200, "own", None);
                self.send_chunks(now, attempt, offset, TOKENS, true);
                self.schedule(now + ms(900), Event::End { attempt }, None);
            }
            Script::PauseAfter(tokens) => {
                let from = tokens.max(offset);
                self.begin_answer(now, attempt, offset, from);
                let now = now + ms(PAUSE_MS);
                self.send_chunks(now, attempt, from, TOKENS, true);
                self.schedule(now + ms(900), Event::End { attempt }, None);
            }
        }
    }

    fn start_work(&mut self, now: Duration, attempt: u32) {
        self.schedule(now + ms(2), Event::Sending { attempt }, Some(STARTS_WORK));
    }

    fn begin_answer(&mut self, now: Duration, attempt: u32, offset: u64, until: u64) {
        self.start_work(now, attempt);
        self.send_head(now, attempt, 200, "own", None);
        self.send_chunks(now, attempt, offset, until, true);
    }

    fn send_head(&mut self, now: Duration, attempt: u32, status: u16, id: &str, ran: Option<Ran>) {
        let head = Event::Head {
            attempt,
            status,
            id: Some(Id::from(id)),
            ran,
            retry_after: None,
        };
        self.schedule(now + ms(10), head, None);
    }

    fn send_chunks(&mut self, now: Duration, attempt: u32, offset: u64, until: u64, own: bool) {
        for token in offset..until {
            let chunk = Event::Chunk { attempt, tokens: 1 };
            let token = if own { token } else { u64::MAX };
            self.schedule(now + ms(20 + 100 * token.min(TOKENS)), chunk, Some(token));
        }
    }

    /// Notes attempts that end although they might have gone on and no other one has answered.
    fn note_given_up(&mut self, event: &Event, actions: &[Action]) {
        let is_answer = matches!(
            event,
            Event::Head { .. } | Event::Chunk { .. } | Event::End { .. }
        );
        let failure = actions.iter().find_map(|action| match action {
            Action::Fail { code, .. } => Some(*code),
            _ => None,
        });
        let is_allowed = match failure {
            Some(code) => matches!(code, Code::DeadlineExceeded | Code::KeyWithdrawn),
            None => is_answer || *event == Event::CallerDisconnected,
        };
        let ended = actions.iter().filter_map(|action| match action {
            Action::Cancel { attempt } | Action::CloseConnection { attempt } => Some(attempt),
            _ => None,
        });
        let goes_on =
            |attempt: &&u32| self.started.contains(attempt) && self.sound.contains(attempt);
        if !is_allowed {
            self.observed.given_up.extend(ended.filter(goes_on));
        }
    }

    fn deliver(&mut self, now: Duration, event: Event, token: Option<u64>) {
        let left = event == Event::CallerDisconnected;
        let actions = self.exchange.step(now, event.clone());
        self.note_given_up(&event, &actions);
        if let Event::Sending { attempt } = event {
            if actions.contains(&Action::Cancel { attempt }) {
                self.due.retain(|_, (due, _)| !is_answer_of(due, attempt));
            } else if token == Some(STARTS_WORK) {
                self.observed.runs += 1;
                self.started.insert(attempt);
            }
        }
        for action in actions {
            if self.observed.end.is_some()
                && !matches!(action, Action::Drop { .. } | Action::Cancel { .. })
            {
                self.observed.actions_after_end += 1;
            }
            match action {
                Action::Send { attempt, offset } => self.send(now, attempt, offset),
                Action::Relay { .. } => self
                    .observed
                    .tokens
                    .push(token.filter(|&token| token != u64::MAX)),
                Action::Finish => self.observed.end = Some(End::Complete),
                Action::Fail { code, ran, .. } => {
                    self.observed.end = Some(End::Failed { code, ran })
                }
                Action::Cancel { .. }
                | Action::CloseConnection { .. }
                | Action::RelayHead { .. }
                | Action::Drop { .. } => {}
            }
        }
        if left && self.observed.end.is_none() {
            self.observed.end = Some(End::CallerDisconnected);
        }
    }
}

fn is_answer_of(event: &Event, number: u32) -> bool {
    match *event {
        Event::Head { attempt, .. }
        | Event::Chunk { attempt, .. }
        | Event::End { attempt }
        | Event::Broken { attempt } => attempt == number,
        _ => false,
    }
}

/// Runs a case until no events are left, so that late answers arrive too.
pub(crate) fn run(case: &Case, mutant: Mutant) -> Observed {
    let plan = Plan {
        id: Id::from("own"),
        work: case.work,
        deadline: ms(8_000),
        connect_timeout: ms(500),
        first_byte_timeout: ms(1_500),
        idle_timeout: ms(800),
        hedge_after: case.hedge.then_some(ms(300)),
        max_attempts: 4,
        seed: case.seed,
        mutant,
    };
    let budget = TokenBucket::new(budget::Limit::default(), Duration::ZERO);
    let mut bench = Bench {
        exchange: Exchange::new(plan, budget),
        scripts: case.scripts.clone(),
        sound: BTreeSet::new(),
        started: BTreeSet::new(),
        due: BTreeMap::new(),
        order: 0,
        observed: Observed {
            end: None,
            tokens: Vec::new(),
            runs: 0,
            sends: 0,
            actions_after_end: 0,
            given_up: BTreeSet::new(),
        },
    };
    bench.deliver(Duration::ZERO, Event::Started, None);
    let mut pause = (Duration::MAX, Duration::MAX);
    match case.disturbance {
        Disturbance::Pause { from, len } => pause = (ms(from), ms(from + len)),
        Disturbance::CallerDisconnected(at) => {
            bench.schedule(ms(at), Event::CallerDisconnected, None)
        }
        Disturbance::KeyWithdrawn(at) => bench.schedule(ms(at), Event::KeyWithdrawn, None),
        Disturbance::Nothing => {}
    }
    let mut last = Duration::ZERO;
    while last < ms(60_000) {
        let next = bench.due.first_key_value().map(|(&(at, _), _)| at);
        let wake = (!bench.exchange.is_over()).then(|| bench.exchange.wake());
        let Some(at) = next.into_iter().chain(wake).min() else {
            break;
        };
        last = last.max(at);
        if pause.0 <= last && last < pause.1 {
            last = pause.1;
        }
        match next {
            Some(due) if due <= at => {
                let (_, (event, token)) = bench.due.pop_first().unwrap();
                bench.deliver(last, event, token);
            }
            _ => bench.deliver(last, Event::Tick, None),
        }
    }
    bench.observed
}
