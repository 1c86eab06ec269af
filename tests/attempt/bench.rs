//! Drives one exchange against scripted upstreams and checks what the caller saw.

use {
    greengagecleat::{
        attempt::{Action, Budget, Code, Event, Exchange, Fault, Id, Plan, Ran, Work, budget},
        machine::Machine,
    },
    quickcheck::{Arbitrary, Gen},
    std::{collections::BTreeMap, time::Duration},
};

/// Tokens of a whole answer.
pub(crate) const TOKENS: u64 = 6;

/// Marks a sent request that starts the work.
const RUNS: u64 = u64::MAX - 1;

/// What one upstream does with a request.
#[derive(Debug, Clone)]
pub(crate) enum Script {
    Unreachable,
    Connecting,
    Refused,
    Failed,
    SilentBeforeHead,
    Crossed,
    Whole,
    BreakAfter(u64),
    SilentAfter(u64),
}

impl Arbitrary for Script {
    fn arbitrary(g: &mut Gen) -> Self {
        let tokens = u64::arbitrary(g) % TOKENS;
        let scripts = [
            Script::Unreachable,
            Script::Connecting,
            Script::Refused,
            Script::Failed,
            Script::SilentBeforeHead,
            Script::Crossed,
            Script::Whole,
            Script::BreakAfter(tokens),
            Script::BreakAfter(tokens),
            Script::SilentAfter(tokens),
        ];
        g.choose(&scripts).unwrap().clone()
    }
}

/// What else happens, at a time in milliseconds.
#[derive(Debug, Clone)]
pub(crate) enum Outside {
    Pause { from: u64, len: u64 },
    CallerLeft(u64),
    KeyWithdrawn(u64),
    Nothing,
}

impl Arbitrary for Outside {
    fn arbitrary(g: &mut Gen) -> Self {
        let at = u64::arbitrary(g) % 6_000;
        let len = u64::arbitrary(g) % 30_000;
        match u8::arbitrary(g) % 8 {
            0 => Outside::CallerLeft(at),
            1 => Outside::KeyWithdrawn(at),
            2 | 3 => Outside::Pause { from: at, len },
            _ => Outside::Nothing,
        }
    }
}

#[derive(Debug, Clone)]
pub(crate) struct Case {
    pub work: Work,
    pub hedge: bool,
    pub scripts: Vec<Script>,
    pub outside: Outside,
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
            outside: Outside::arbitrary(g),
            seed: u64::arbitrary(g),
        }
    }
}

/// How the exchange ended for the caller.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum End {
    Whole,
    Failed { code: Code, ran: Ran },
    Left,
}

#[derive(Debug)]
pub(crate) struct Seen {
    pub end: Option<End>,
    /// The tokens relayed, by number; `None` for a token of another exchange's answer.
    pub tokens: Vec<Option<u64>>,
    /// Attempts whose work started.
    pub runs: usize,
    pub sends: usize,
    pub after_end: usize,
}

/// An event on its way, with the number of the token that it carries.
type Due = (Event, Option<u64>);

struct Bench {
    exchange: Exchange<Budget>,
    scripts: Vec<Script>,
    due: BTreeMap<(Duration, usize), Due>,
    order: usize,
    seen: Seen,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Bench {
    fn later(&mut self, at: Duration, event: Event, token: Option<u64>) {
        self.order += 1;
        self.due.insert((at, self.order), (event, token));
    }

    fn send(&mut self, now: Duration, attempt: u32, offset: u64) {
        let script = self.scripts.get(self.seen.sends).cloned();
        let script = script.unwrap_or(Script::Whole);
        self.seen.sends += 1;
        match script {
            Script::Unreachable => self.later(now + ms(2), Event::Unreachable { attempt }, None),
            Script::Connecting => {}
            Script::Refused => {
                self.later(now + ms(2), Event::Sent { attempt }, None);
                self.head(now, attempt, 503, "own", Some(Ran::No));
            }
            Script::Failed => {
                self.start(now, attempt);
                self.head(now, attempt, 503, "own", None);
                self.later(now + ms(20), Event::End { attempt }, None);
            }
            Script::SilentBeforeHead => self.start(now, attempt),
            Script::Crossed => {
                self.start(now, attempt);
                self.head(now, attempt, 200, "other", None);
                self.answer(now, attempt, 0, TOKENS, false);
                self.later(now + ms(900), Event::End { attempt }, None);
            }
            Script::Whole => {
                self.begin(now, attempt, offset, TOKENS);
                self.later(now + ms(900), Event::End { attempt }, None);
            }
            Script::BreakAfter(tokens) => {
                self.begin(now, attempt, offset, tokens);
                self.later(now + ms(900), Event::Broken { attempt }, None);
            }
            Script::SilentAfter(tokens) => self.begin(now, attempt, offset, tokens),
        }
    }

    fn start(&mut self, now: Duration, attempt: u32) {
        self.later(now + ms(2), Event::Sent { attempt }, Some(RUNS));
    }

    fn begin(&mut self, now: Duration, attempt: u32, offset: u64, until: u64) {
        self.start(now, attempt);
        self.head(now, attempt, 200, "own", None);
        self.answer(now, attempt, offset, until, true);
    }

    fn head(&mut self, now: Duration, attempt: u32, status: u16, id: &str, ran: Option<Ran>) {
        let head = Event::Head {
            attempt,
            status,
            id: Some(Id::from(id)),
            ran,
            retry_after: None,
        };
        self.later(now + ms(10), head, None);
    }

    fn answer(&mut self, now: Duration, attempt: u32, offset: u64, until: u64, own: bool) {
        for token in offset..until {
            let chunk = Event::Chunk { attempt, tokens: 1 };
            let token = if own { token } else { u64::MAX };
            self.later(now + ms(20 + 100 * token.min(TOKENS)), chunk, Some(token));
        }
    }

    fn take(&mut self, now: Duration, event: Event, token: Option<u64>) {
        let left = event == Event::CallerLeft;
        let actions = self.exchange.step(now, event.clone());
        if let Event::Sent { attempt } = event {
            if actions.contains(&Action::Cancel { attempt }) {
                self.due.retain(|_, (due, _)| !of(due, attempt));
            } else if token == Some(RUNS) {
                self.seen.runs += 1;
            }
        }
        for action in actions {
            if self.seen.end.is_some()
                && !matches!(action, Action::Drop { .. } | Action::Cancel { .. })
            {
                self.seen.after_end += 1;
            }
            match action {
                Action::Send { attempt, offset } => self.send(now, attempt, offset),
                Action::Relay { .. } => self
                    .seen
                    .tokens
                    .push(token.filter(|&token| token != u64::MAX)),
                Action::Finish => self.seen.end = Some(End::Whole),
                Action::Fail { code, ran, .. } => self.seen.end = Some(End::Failed { code, ran }),
                Action::Cancel { .. }
                | Action::Abandon { .. }
                | Action::Open { .. }
                | Action::Drop { .. } => {}
            }
        }
        if left && self.seen.end.is_none() {
            self.seen.end = Some(End::Left);
        }
    }
}

fn of(event: &Event, number: u32) -> bool {
    match *event {
        Event::Head { attempt, .. }
        | Event::Chunk { attempt, .. }
        | Event::End { attempt }
        | Event::Broken { attempt } => attempt == number,
        _ => false,
    }
}

/// Runs a case to its end and a little beyond, so that late answers arrive.
pub(crate) fn run(case: &Case, fault: Fault) -> Seen {
    let plan = Plan {
        id: Id::from("own"),
        work: case.work,
        deadline: ms(8_000),
        connect: ms(500),
        first: ms(1_500),
        silence: ms(800),
        hedge: case.hedge.then_some(ms(300)),
        attempts: 4,
        seed: case.seed,
        fault,
    };
    let budget = Budget::new(budget::Limit::default(), Duration::ZERO);
    let mut bench = Bench {
        exchange: Exchange::new(plan, budget),
        scripts: case.scripts.clone(),
        due: BTreeMap::new(),
        order: 0,
        seen: Seen {
            end: None,
            tokens: Vec::new(),
            runs: 0,
            sends: 0,
            after_end: 0,
        },
    };
    bench.take(Duration::ZERO, Event::Started, None);
    let mut pause = (Duration::MAX, Duration::MAX);
    match case.outside {
        Outside::Pause { from, len } => pause = (ms(from), ms(from + len)),
        Outside::CallerLeft(at) => bench.later(ms(at), Event::CallerLeft, None),
        Outside::KeyWithdrawn(at) => bench.later(ms(at), Event::KeyWithdrawn, None),
        Outside::Nothing => {}
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
                bench.take(last, event, token);
            }
            _ => bench.take(last, Event::Tick, None),
        }
    }
    bench.seen
}
