//! The machine of one exchange: from a caller's admitted request to the last byte of its answer.
//!
//! Work that may not repeat is sent at most once. Idempotent work is sent again within the retry
//! budget. A model call is sent again before its first relayed token and resumed at the offset
//! after it. Whatever happens, the caller gets the whole answer or one explicit terminal error.

use {
    super::{
        backoff,
        budget::Grant,
        event::{Action, Drop, Event},
        outcome::Code,
        plan::{Fault, Id, Plan, Work},
    },
    crate::{failure::Ran, machine::Machine},
    rand::{SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, time::Duration},
};

/// What a caller is told to wait after a failure for which the upstream gave no hint.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How late a timer may fire before the process is taken to have been paused.
const PAUSE: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Backoff { until: Duration },
    Connecting,
    Waiting,
    Answering,
    Over,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    stage: Stage,
    offset: u64,
    /// A byte that could start the work left, and the far side has not refused.
    sent: bool,
    progress: Duration,
}

impl Attempt {
    fn live(&self) -> bool {
        self.stage != Stage::Over
    }
}

/// The machine of one exchange.
#[derive(Debug)]
pub struct Exchange<B> {
    plan: Plan,
    budget: B,
    rng: StdRng,
    attempts: BTreeMap<u32, Attempt>,
    relayed: u64,
    opened: bool,
    hedge_at: Option<Duration>,
    over: bool,
}

impl<B: Grant> Exchange<B> {
    /// An exchange that has not started.
    pub fn new(plan: Plan, budget: B) -> Self {
        Self {
            rng: StdRng::seed_from_u64(plan.seed),
            plan,
            budget,
            attempts: BTreeMap::new(),
            relayed: 0,
            opened: false,
            hedge_at: None,
            over: false,
        }
    }

    /// Whether the exchange has finished, failed or been left.
    pub fn is_over(&self) -> bool {
        self.over
    }

    /// When the next [`Event::Tick`] is due.
    pub fn wake(&self) -> Duration {
        let timers = self
            .attempts
            .values()
            .filter_map(|attempt| self.timer(attempt));
        timers
            .chain(self.hedge_at)
            .chain([self.plan.deadline])
            .min()
            .unwrap_or(self.plan.deadline)
    }

    fn timer(&self, attempt: &Attempt) -> Option<Duration> {
        match attempt.stage {
            Stage::Backoff { until } => Some(until),
            Stage::Connecting => Some(attempt.progress + self.plan.connect),
            Stage::Waiting => Some(attempt.progress + self.plan.first),
            Stage::Answering => Some(attempt.progress + self.plan.silence),
            Stage::Over => None,
        }
    }

    /// Restarts the progress timers when the process slept: what it missed is no one's silence.
    fn excuse_pause(&mut self, now: Duration) {
        if now <= self.wake() + PAUSE {
            return;
        }
        for attempt in self.attempts.values_mut().filter(|attempt| attempt.live()) {
            attempt.progress = now;
        }
    }

    fn start(&mut self, now: Duration) -> Vec<Action> {
        self.hedge_at = match self.plan.work {
            Work::Once => None,
            Work::Idempotent | Work::Model { .. } => self.plan.hedge.map(|after| now + after),
        };
        self.attempt(Stage::Connecting, 0, now);
        vec![Action::Send {
            attempt: 0,
            offset: 0,
        }]
    }

    fn attempt(&mut self, stage: Stage, offset: u64, now: Duration) -> u32 {
        let number = self.attempts.len() as u32;
        let attempt = Attempt {
            stage,
            offset,
            sent: false,
            progress: now,
        };
        self.attempts.insert(number, attempt);
        number
    }

    fn live(&self, number: u32) -> bool {
        self.attempts.get(&number).is_some_and(Attempt::live)
    }

    fn ran(&self) -> Ran {
        if self.plan.fault == Fault::RanNo {
            return Ran::No;
        }
        if self.relayed > 0 && matches!(self.plan.work, Work::Model { .. }) {
            return Ran::Yes;
        }
        match self.attempts.values().any(|attempt| attempt.sent) {
            true => Ran::Unknown,
            false => Ran::No,
        }
    }

    /// Ends with an error; every attempt that still runs is cancelled.
    fn fail(&mut self, code: Code, hint: Option<Duration>) -> Vec<Action> {
        let ran = self.ran();
        let again = ran == Ran::No || self.plan.work != Work::Once;
        let retry_after = match code {
            Code::KeyWithdrawn => None,
            _ if again => Some(hint.unwrap_or(RETRY_AFTER)),
            _ => None,
        };
        let mut actions = vec![Action::Fail {
            code,
            ran,
            retry_after,
            begun: self.opened,
        }];
        actions.extend(self.cancel_all());
        self.over = true;
        actions
    }

    fn cancel_all(&mut self) -> Vec<Action> {
        self.cancel_but(u32::MAX)
    }

    fn cancel_but(&mut self, kept: u32) -> Vec<Action> {
        let mut actions = Vec::new();
        for (&number, attempt) in &mut self.attempts {
            if number == kept || !attempt.live() {
                continue;
            }
            if !matches!(attempt.stage, Stage::Backoff { .. }) {
                actions.push(Action::Cancel { attempt: number });
            }
            attempt.stage = Stage::Over;
        }
        actions
    }

    /// Gives up one attempt and goes on with another where the work allows it.
    fn lost(
        &mut self,
        now: Duration,
        number: u32,
        code: Code,
        hint: Option<Duration>,
    ) -> Vec<Action> {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return Vec::new();
        };
        attempt.stage = Stage::Over;
        let sent = attempt.sent;
        let reached = code != Code::UpstreamUnreachable;
        if self.attempts.values().any(Attempt::live) {
            return Vec::new();
        }
        let Some(offset) = self.next_offset(sent) else {
            return self.fail(code, hint);
        };
        let made = self.attempts.len() as u32;
        let until = now + backoff::delay(made - 1, &mut self.rng);
        if made >= self.plan.attempts || until >= self.plan.deadline {
            return self.fail(code, hint);
        }
        if reached && !self.budget.withdraw(now) {
            return self.fail(code, hint);
        }
        self.attempt(Stage::Backoff { until }, offset, now);
        Vec::new()
    }

    /// Where another attempt would begin, if there may be one after an attempt that was `sent`.
    fn next_offset(&self, sent: bool) -> Option<u64> {
        match self.plan.work {
            Work::Once if self.plan.fault == Fault::RepeatOnce => Some(0),
            Work::Once => (!sent && !self.opened).then_some(0),
            Work::Idempotent => (!self.opened).then_some(0),
            Work::Model { .. } if !self.opened => Some(0),
            Work::Model { resume: false } => None,
            Work::Model { resume: true } if self.plan.fault == Fault::ResumeAtStart => Some(0),
            Work::Model { resume: true } => Some(self.relayed),
        }
    }

    fn head(&mut self, now: Duration, head: Head) -> Vec<Action> {
        let number = head.attempt;
        if !self.live(number) {
            return late(number);
        }
        let own = head.id.as_ref() == Some(&self.plan.id);
        if !own && self.plan.fault != Fault::AnyId {
            let mut actions = vec![
                Action::Drop {
                    attempt: number,
                    reason: Drop::Crossed,
                },
                Action::Abandon { attempt: number },
            ];
            actions.extend(self.lost(now, number, Code::AnswerCrossed, None));
            return actions;
        }
        if head.ran == Some(Ran::No) {
            return self.refused(now, number, head.retry_after);
        }
        if self.retryable(head.status) {
            let mut actions = vec![Action::Cancel { attempt: number }];
            actions.extend(self.lost(now, number, Code::UpstreamFailed, head.retry_after));
            return actions;
        }
        self.answered(now, number)
    }

    fn refused(&mut self, now: Duration, number: u32, hint: Option<Duration>) -> Vec<Action> {
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.sent = false;
        }
        let mut actions = vec![Action::Cancel { attempt: number }];
        actions.extend(self.lost(now, number, Code::UpstreamRefused, hint));
        actions
    }

    /// Whether an answer of this status is the upstream's trouble rather than the caller's answer.
    fn retryable(&self, status: u16) -> bool {
        match self.plan.work {
            Work::Once => false,
            Work::Idempotent => matches!(status, 429 | 502 | 503 | 504),
            Work::Model { .. } => matches!(status, 429 | 500..),
        }
    }

    /// The first attempt with an acceptable head carries the answer; the others are cancelled.
    fn answered(&mut self, now: Duration, number: u32) -> Vec<Action> {
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.stage = Stage::Answering;
            attempt.progress = now;
        }
        self.hedge_at = None;
        let mut actions = self.cancel_but(number);
        if !matches!(self.plan.work, Work::Model { .. }) {
            actions.extend(self.open(number));
        }
        actions
    }

    /// Relays the head, once; a resumed stream goes on under the first one.
    fn open(&mut self, number: u32) -> Option<Action> {
        if self.opened {
            return None;
        }
        self.opened = true;
        Some(Action::Open { attempt: number })
    }

    fn chunk(&mut self, now: Duration, number: u32, tokens: u64) -> Vec<Action> {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return late(number);
        };
        if attempt.stage != Stage::Answering {
            return late(number);
        }
        attempt.progress = now;
        if tokens == 0 {
            return Vec::new();
        }
        let mut actions = Vec::from_iter(self.open(number));
        self.relayed += tokens;
        actions.push(Action::Relay {
            attempt: number,
            tokens,
        });
        actions
    }

    fn end(&mut self, now: Duration, number: u32) -> Vec<Action> {
        let stage = self.attempts.get(&number).map(|attempt| attempt.stage);
        if stage != Some(Stage::Answering) {
            return late(number);
        }
        let mut actions = Vec::from_iter(self.open(number));
        actions.push(Action::Finish);
        self.budget.deposit(now);
        self.over = true;
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.stage = Stage::Over;
        }
        actions
    }

    fn broken(&mut self, now: Duration, number: u32) -> Vec<Action> {
        if !self.live(number) {
            return Vec::new();
        }
        if self.plan.fault == Fault::BreakIsEnd && self.opened {
            return self.end(now, number);
        }
        self.lost(now, number, Code::UpstreamBroken, None)
    }

    fn tick(&mut self, now: Duration) -> Vec<Action> {
        if now >= self.plan.deadline {
            return self.fail(Code::DeadlineExceeded, None);
        }
        let mut actions = Vec::new();
        let numbers: Vec<u32> = self.attempts.keys().copied().collect();
        for number in numbers {
            actions.extend(self.tick_attempt(now, number));
            if self.over {
                return actions;
            }
        }
        actions.extend(self.tick_hedge(now));
        actions
    }

    fn tick_attempt(&mut self, now: Duration, number: u32) -> Vec<Action> {
        let attempt = self.attempts[&number];
        let due = self.timer(&attempt).is_some_and(|at| at <= now);
        if !due {
            return Vec::new();
        }
        if let Stage::Backoff { .. } = attempt.stage {
            return self.send(now, number);
        }
        let code = match attempt.stage {
            Stage::Connecting if !attempt.sent => Code::UpstreamUnreachable,
            _ => Code::UpstreamSilent,
        };
        let mut actions = vec![Action::Abandon { attempt: number }];
        actions.extend(self.lost(now, number, code, None));
        actions
    }

    fn send(&mut self, now: Duration, number: u32) -> Vec<Action> {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return Vec::new();
        };
        attempt.stage = Stage::Connecting;
        attempt.progress = now;
        vec![Action::Send {
            attempt: number,
            offset: attempt.offset,
        }]
    }

    fn tick_hedge(&mut self, now: Duration) -> Vec<Action> {
        if self.hedge_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.hedge_at = None;
        let waiting = self
            .attempts
            .values()
            .any(|attempt| matches!(attempt.stage, Stage::Connecting | Stage::Waiting));
        let more = (self.attempts.len() as u32) < self.plan.attempts;
        if !waiting || !more || !self.budget.withdraw(now) {
            return Vec::new();
        }
        let number = self.attempt(Stage::Connecting, 0, now);
        self.send(now, number)
    }

    /// Lets the request leave, unless its attempt or the exchange has been given up meanwhile.
    fn sent(&mut self, now: Duration, number: u32) -> Vec<Action> {
        if now >= self.plan.deadline {
            return self.fail(Code::DeadlineExceeded, None);
        }
        match self.attempts.get_mut(&number) {
            Some(attempt) if attempt.stage == Stage::Connecting => {
                attempt.sent = true;
                attempt.progress = now;
                attempt.stage = Stage::Waiting;
                Vec::new()
            }
            _ => vec![Action::Cancel { attempt: number }],
        }
    }

    fn unreachable(&mut self, now: Duration, number: u32) -> Vec<Action> {
        if !self.live(number) {
            return Vec::new();
        }
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.sent = false;
        }
        self.lost(now, number, Code::UpstreamUnreachable, None)
    }

    fn unavailable(&mut self, number: u32, hint: Option<Duration>) -> Vec<Action> {
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.stage = Stage::Over;
        }
        if self.attempts.values().any(Attempt::live) {
            return Vec::new();
        }
        self.fail(Code::NoUpstream, hint)
    }
}

/// The fields of [`Event::Head`].
struct Head {
    attempt: u32,
    status: u16,
    id: Option<Id>,
    ran: Option<Ran>,
    retry_after: Option<Duration>,
}

fn late(attempt: u32) -> Vec<Action> {
    let reason = Drop::Late;
    vec![Action::Drop { attempt, reason }]
}

impl<B: Grant> Machine for Exchange<B> {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        if self.over {
            return match event {
                Event::Head { attempt, .. } | Event::End { attempt } => late(attempt),
                Event::Sent { attempt } => vec![Action::Cancel { attempt }],
                _ => Vec::new(),
            };
        }
        self.excuse_pause(now);
        match event {
            Event::Started => self.start(now),
            Event::Unavailable {
                attempt,
                retry_after,
            } => self.unavailable(attempt, retry_after),
            Event::Unreachable { attempt } => self.unreachable(now, attempt),
            Event::Sent { attempt } => self.sent(now, attempt),
            Event::Head {
                attempt,
                status,
                id,
                ran,
                retry_after,
            } => self.head(
                now,
                Head {
                    attempt,
                    status,
                    id,
                    ran,
                    retry_after,
                },
            ),
            Event::Chunk { attempt, tokens } => self.chunk(now, attempt, tokens),
            Event::End { attempt } => self.end(now, attempt),
            Event::Broken { attempt } => self.broken(now, attempt),
            Event::Tick => self.tick(now),
            Event::CallerLeft => {
                self.over = true;
                self.cancel_all()
            }
            Event::KeyWithdrawn => self.fail(Code::KeyWithdrawn, None),
        }
    }
}
