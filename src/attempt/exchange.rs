//! The state machine of one exchange, from an admitted request to the end of its answer.
//!
//! It takes [`Event`]s of the network, the caller and the clock, and returns the [`Action`]s that
//! the gateway carries out. Work that runs once is sent at most once. Idempotent work is retried
//! within the retry budget. A model call is retried until its first token is relayed, and resumed
//! at the offset of the relayed tokens after that. A silent attempt goes on until another one has
//! the head of an answer. The caller always gets the complete answer or one explicit error.

use {
    super::{
        backoff,
        budget::Budget,
        event::{Action, Event, Reason},
        outcome::Code,
        plan::{Id, Mutant, Plan, Work},
    },
    crate::{failure::Ran, machine::Machine},
    rand::{SeedableRng, rngs::StdRng},
    std::{collections::BTreeMap, time::Duration},
};

/// Retry delay told to the caller when the upstream gave none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A timer that fires later than this means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// The progress of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Waits before it is sent.
    Backoff {
        until: Duration,
    },
    Connecting,
    AwaitingHead,
    /// Its head was accepted; its answer is relayed.
    Receiving,
    /// Answered, cancelled or failed.
    Closed,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    stage: Stage,
    /// Tokens that the engine skips.
    offset: u64,
    /// A byte that could start the work was sent, and the upstream has not refused the work.
    request_sent: bool,
    /// Start of the timeout of the present stage.
    timer_start: Duration,
    /// The timeout has passed since the upstream last sent something.
    is_silent: bool,
}

impl Attempt {
    fn is_live(&self) -> bool {
        self.stage != Stage::Closed
    }

    fn is_responsive(&self) -> bool {
        self.is_live() && !self.is_silent
    }
}

/// The state machine of one exchange.
#[derive(Debug)]
pub struct Exchange<B> {
    plan: Plan,
    budget: B,
    rng: StdRng,
    attempts: BTreeMap<u32, Attempt>,
    /// Tokens of a model stream, or bytes of any other answer, relayed to the caller.
    relayed_count: u64,
    head_relayed: bool,
    /// When a hedged attempt is due; `None` without hedging or once a head has arrived.
    hedge_at: Option<Duration>,
    has_ended: bool,
}

impl<B: Budget> Exchange<B> {
    /// An exchange that has not started.
    pub fn new(plan: Plan, budget: B) -> Self {
        Self {
            rng: StdRng::seed_from_u64(plan.seed),
            plan,
            budget,
            attempts: BTreeMap::new(),
            relayed_count: 0,
            head_relayed: false,
            hedge_at: None,
            has_ended: false,
        }
    }

    /// Whether the exchange has finished or failed, or its caller has disconnected.
    pub fn is_over(&self) -> bool {
        self.has_ended
    }

    /// Whether the answer of an attempt is being relayed.
    pub fn is_receiving(&self, number: u32) -> bool {
        let attempt = self.attempts.get(&number);
        attempt.is_some_and(|attempt| attempt.stage == Stage::Receiving)
    }

    /// Number of live attempts that are silent.
    pub fn silent_count(&self) -> usize {
        let live = self.attempts.values().filter(|attempt| attempt.is_live());
        live.filter(|attempt| attempt.is_silent).count()
    }

    /// When the next [`Event::Tick`] is due.
    pub fn wake(&self) -> Duration {
        let timers = self
            .attempts
            .values()
            .filter_map(|attempt| self.attempt_timer(attempt));
        timers
            .chain(self.hedge_at)
            .chain([self.plan.deadline])
            .min()
            .unwrap_or(self.plan.deadline)
    }

    /// When an attempt's backoff or timeout ends.
    fn attempt_timer(&self, attempt: &Attempt) -> Option<Duration> {
        match attempt.stage {
            Stage::Backoff { until } => Some(until),
            Stage::Connecting => Some(attempt.timer_start + self.plan.connect_timeout),
            Stage::AwaitingHead => Some(attempt.timer_start + self.plan.first_byte_timeout),
            Stage::Receiving => Some(attempt.timer_start + self.plan.idle_timeout),
            Stage::Closed => None,
        }
    }

    /// Restarts the timeouts after a pause of the process, which could not read what the upstreams
    /// sent meanwhile.
    fn restart_timers_after_pause(&mut self, now: Duration) {
        if now <= self.wake() + PAUSE_THRESHOLD {
            return;
        }
        for attempt in self
            .attempts
            .values_mut()
            .filter(|attempt| attempt.is_live())
        {
            attempt.timer_start = now;
        }
    }

    fn on_started(&mut self, now: Duration) -> Vec<Action> {
        self.hedge_at = match self.plan.work {
            Work::Once => None,
            Work::Idempotent | Work::Model { .. } => self.plan.hedge_after.map(|after| now + after),
        };
        self.add_attempt(Stage::Connecting, 0, now);
        vec![Action::Send {
            attempt: 0,
            offset: 0,
        }]
    }

    /// Adds an attempt and returns its number.
    fn add_attempt(&mut self, stage: Stage, offset: u64, now: Duration) -> u32 {
        let number = self.attempts.len() as u32;
        let attempt = Attempt {
            stage,
            offset,
            request_sent: false,
            timer_start: now,
            is_silent: false,
        };
        self.attempts.insert(number, attempt);
        number
    }

    fn is_live(&self, number: u32) -> bool {
        self.attempts.get(&number).is_some_and(Attempt::is_live)
    }

    /// Whether the work ran, as far as is known. A relayed token proves that a model call ran.
    fn work_ran(&self) -> Ran {
        if self.plan.mutant == Mutant::RanNo {
            return Ran::No;
        }
        if self.relayed_count > 0 && matches!(self.plan.work, Work::Model { .. }) {
            return Ran::Yes;
        }
        match self.attempts.values().any(|attempt| attempt.request_sent) {
            true => Ran::Unknown,
            false => Ran::No,
        }
    }

    /// Ends the exchange with an error and cancels every live attempt.
    fn fail_exchange(&mut self, code: Code, retry_hint: Option<Duration>) -> Vec<Action> {
        let ran = self.work_ran();
        let may_retry = ran == Ran::No || self.plan.work != Work::Once;
        let retry_after = match code {
            Code::KeyWithdrawn => None,
            _ if may_retry => Some(retry_hint.unwrap_or(DEFAULT_RETRY_AFTER)),
            _ => None,
        };
        let mut actions = self.cancel_all();
        actions.push(Action::Fail {
            code,
            ran,
            retry_after,
            head_relayed: self.head_relayed,
        });
        self.has_ended = true;
        actions
    }

    fn cancel_all(&mut self) -> Vec<Action> {
        self.cancel_all_except(u32::MAX)
    }

    fn cancel_all_except(&mut self, kept: u32) -> Vec<Action> {
        let mut actions = Vec::new();
        for (&number, attempt) in &mut self.attempts {
            if number == kept || !attempt.is_live() {
                continue;
            }
            match attempt.stage {
                Stage::Backoff { .. } => {}
                _ if attempt.is_silent => {
                    actions.push(Action::CloseConnection { attempt: number });
                }
                _ => actions.push(Action::Cancel { attempt: number }),
            }
            attempt.stage = Stage::Closed;
        }
        actions
    }

    /// Closes an attempt. Unless another one makes progress, schedules a retry if one is allowed.
    /// Fails the exchange if no attempt is left. An attempt that never connected costs no budget to
    /// retry.
    fn fail_attempt(
        &mut self,
        now: Duration,
        number: u32,
        code: Code,
        retry_hint: Option<Duration>,
    ) -> Vec<Action> {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return Vec::new();
        };
        attempt.stage = Stage::Closed;
        if self.attempts.values().any(Attempt::is_responsive) {
            return Vec::new();
        }
        let costs_budget = code != Code::UpstreamUnreachable;
        if self.schedule_retry(now, costs_budget) || self.attempts.values().any(Attempt::is_live) {
            return Vec::new();
        }
        self.fail_exchange(code, retry_hint)
    }

    /// Schedules another attempt where the work, the number of attempts, the deadline and the budget
    /// allow one. Returns whether they do.
    fn schedule_retry(&mut self, now: Duration, costs_budget: bool) -> bool {
        let Some(offset) = self.next_offset() else {
            return false;
        };
        let attempt_count = self.attempts.len() as u32;
        let until = now + backoff::delay(attempt_count - 1, &mut self.rng);
        if attempt_count >= self.plan.max_attempts || until >= self.plan.deadline {
            return false;
        }
        if costs_budget && !self.budget.withdraw(now) {
            return false;
        }
        self.add_attempt(Stage::Backoff { until }, offset, now);
        true
    }

    /// The offset of the next attempt, or `None` if the work may not be sent again.
    fn next_offset(&self) -> Option<u64> {
        let request_sent = self.attempts.values().any(|attempt| attempt.request_sent);
        match self.plan.work {
            Work::Once if self.plan.mutant == Mutant::RepeatOnce => Some(0),
            Work::Once => (!request_sent && !self.head_relayed).then_some(0),
            Work::Idempotent => (!self.head_relayed).then_some(0),
            Work::Model { .. } if !self.head_relayed => Some(0),
            Work::Model { resume: false } => None,
            Work::Model { resume: true } if self.plan.mutant == Mutant::ResumeAtStart => Some(0),
            Work::Model { resume: true } => Some(self.relayed_count),
        }
    }

    fn on_head(&mut self, now: Duration, head: Head) -> Vec<Action> {
        let number = head.attempt;
        if !self.is_live(number) {
            return drop_late_answer(number);
        }
        let own = head.id.as_ref() == Some(&self.plan.id);
        if !own && self.plan.mutant != Mutant::AnyId {
            let mut actions = vec![
                Action::Drop {
                    attempt: number,
                    reason: Reason::WrongId,
                },
                Action::CloseConnection { attempt: number },
            ];
            actions.extend(self.fail_attempt(now, number, Code::AnswerCrossed, None));
            return actions;
        }
        if head.ran == Some(Ran::No) {
            return self.on_refused(now, number, head.retry_after);
        }
        if self.is_retryable_status(head.status) {
            let mut actions = vec![Action::Cancel { attempt: number }];
            actions.extend(self.fail_attempt(now, number, Code::UpstreamFailed, head.retry_after));
            return actions;
        }
        self.accept_answer(now, number)
    }

    fn on_refused(
        &mut self,
        now: Duration,
        number: u32,
        retry_hint: Option<Duration>,
    ) -> Vec<Action> {
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.request_sent = false;
        }
        let mut actions = vec![Action::Cancel { attempt: number }];
        actions.extend(self.fail_attempt(now, number, Code::UpstreamRefused, retry_hint));
        actions
    }

    /// Whether an answer of this status is retried rather than relayed.
    fn is_retryable_status(&self, status: u16) -> bool {
        match self.plan.work {
            Work::Once => false,
            Work::Idempotent => matches!(status, 429 | 502 | 503 | 504),
            Work::Model { .. } => matches!(status, 429 | 500..),
        }
    }

    /// Takes the answer of the first attempt with an acceptable head and cancels the others. A
    /// model call's head is relayed with its first token, so that it can be retried until then.
    fn accept_answer(&mut self, now: Duration, number: u32) -> Vec<Action> {
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.stage = Stage::Receiving;
            attempt.timer_start = now;
            attempt.is_silent = false;
        }
        self.hedge_at = None;
        let mut actions = self.cancel_all_except(number);
        if !matches!(self.plan.work, Work::Model { .. }) {
            actions.extend(self.relay_head(number));
        }
        actions
    }

    /// Relays the head once; a resumed stream continues under the head already relayed.
    fn relay_head(&mut self, number: u32) -> Option<Action> {
        if self.head_relayed {
            return None;
        }
        self.head_relayed = true;
        Some(Action::RelayHead { attempt: number })
    }

    fn on_chunk(&mut self, now: Duration, number: u32, tokens: u64) -> Vec<Action> {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return drop_late_answer(number);
        };
        if attempt.stage != Stage::Receiving {
            return drop_late_answer(number);
        }
        attempt.timer_start = now;
        attempt.is_silent = false;
        let mut actions = self.cancel_all_except(number);
        if tokens == 0 {
            return actions;
        }
        actions.extend(self.relay_head(number));
        self.relayed_count += tokens;
        actions.push(Action::Relay {
            attempt: number,
            tokens,
        });
        actions
    }

    fn on_end(&mut self, now: Duration, number: u32) -> Vec<Action> {
        let stage = self.attempts.get(&number).map(|attempt| attempt.stage);
        if stage != Some(Stage::Receiving) {
            return drop_late_answer(number);
        }
        let mut actions = self.cancel_all_except(number);
        actions.extend(self.relay_head(number));
        actions.push(Action::Finish);
        self.budget.deposit(now);
        self.has_ended = true;
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.stage = Stage::Closed;
        }
        actions
    }

    fn on_broken(&mut self, now: Duration, number: u32) -> Vec<Action> {
        if !self.is_live(number) {
            return Vec::new();
        }
        if self.plan.mutant == Mutant::BreakIsEnd && self.head_relayed {
            return self.on_end(now, number);
        }
        self.fail_attempt(now, number, Code::UpstreamBroken, None)
    }

    fn on_tick(&mut self, now: Duration) -> Vec<Action> {
        if now >= self.plan.deadline {
            return self.fail_exchange(Code::DeadlineExceeded, None);
        }
        let mut actions = Vec::new();
        let numbers: Vec<u32> = self.attempts.keys().copied().collect();
        for number in numbers {
            actions.extend(self.tick_attempt(now, number));
            if self.has_ended {
                return actions;
            }
        }
        actions.extend(self.tick_hedge(now));
        actions
    }

    fn tick_attempt(&mut self, now: Duration, number: u32) -> Vec<Action> {
        let attempt = self.attempts[&number];
        let due = self.attempt_timer(&attempt).is_some_and(|at| at <= now);
        if !due {
            return Vec::new();
        }
        match attempt.stage {
            Stage::Backoff { .. } => self.send_attempt(now, number),
            Stage::Connecting => {
                let mut actions = vec![Action::CloseConnection { attempt: number }];
                actions.extend(self.fail_attempt(now, number, Code::UpstreamUnreachable, None));
                actions
            }
            Stage::AwaitingHead | Stage::Receiving => self.on_silence(now, number),
            Stage::Closed => Vec::new(),
        }
    }

    /// Schedules another attempt beside a silent one, which may still go on.
    fn on_silence(&mut self, now: Duration, number: u32) -> Vec<Action> {
        if self.plan.mutant == Mutant::SilenceIsEnd {
            let mut actions = vec![Action::CloseConnection { attempt: number }];
            actions.extend(self.fail_attempt(now, number, Code::UpstreamBroken, None));
            return actions;
        }
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.is_silent = true;
            attempt.timer_start = now;
        }
        if !self.attempts.values().any(Attempt::is_responsive) {
            self.schedule_retry(now, true);
        }
        Vec::new()
    }

    fn send_attempt(&mut self, now: Duration, number: u32) -> Vec<Action> {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return Vec::new();
        };
        attempt.stage = Stage::Connecting;
        attempt.timer_start = now;
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
            .any(|attempt| matches!(attempt.stage, Stage::Connecting | Stage::AwaitingHead));
        let more = (self.attempts.len() as u32) < self.plan.max_attempts;
        if !waiting || !more || !self.budget.withdraw(now) {
            return Vec::new();
        }
        let number = self.add_attempt(Stage::Connecting, 0, now);
        self.send_attempt(now, number)
    }

    /// Allows the request to be sent unless its attempt was closed or the deadline has passed.
    fn on_sending(&mut self, now: Duration, number: u32) -> Vec<Action> {
        if now >= self.plan.deadline {
            return self.fail_exchange(Code::DeadlineExceeded, None);
        }
        match self.attempts.get_mut(&number) {
            Some(attempt) if attempt.stage == Stage::Connecting => {
                attempt.request_sent = true;
                attempt.timer_start = now;
                attempt.stage = Stage::AwaitingHead;
                Vec::new()
            }
            _ => vec![Action::Cancel { attempt: number }],
        }
    }

    fn on_unreachable(&mut self, now: Duration, number: u32) -> Vec<Action> {
        if !self.is_live(number) {
            return Vec::new();
        }
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.request_sent = false;
        }
        self.fail_attempt(now, number, Code::UpstreamUnreachable, None)
    }

    fn on_unavailable(&mut self, number: u32, retry_hint: Option<Duration>) -> Vec<Action> {
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.stage = Stage::Closed;
        }
        if self.attempts.values().any(Attempt::is_live) {
            return Vec::new();
        }
        self.fail_exchange(Code::NoUpstream, retry_hint)
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

fn drop_late_answer(attempt: u32) -> Vec<Action> {
    let reason = Reason::Late;
    vec![Action::Drop { attempt, reason }]
}

impl<B: Budget> Machine for Exchange<B> {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        if self.has_ended {
            return match event {
                Event::Head { attempt, .. } | Event::End { attempt } => drop_late_answer(attempt),
                Event::Sending { attempt } => vec![Action::Cancel { attempt }],
                _ => Vec::new(),
            };
        }
        self.restart_timers_after_pause(now);
        match event {
            Event::Started => self.on_started(now),
            Event::Unavailable {
                attempt,
                retry_after,
            } => self.on_unavailable(attempt, retry_after),
            Event::Unreachable { attempt } => self.on_unreachable(now, attempt),
            Event::Sending { attempt } => self.on_sending(now, attempt),
            Event::Head {
                attempt,
                status,
                id,
                ran,
                retry_after,
            } => self.on_head(
                now,
                Head {
                    attempt,
                    status,
                    id,
                    ran,
                    retry_after,
                },
            ),
            Event::Chunk { attempt, tokens } => self.on_chunk(now, attempt, tokens),
            Event::End { attempt } => self.on_end(now, attempt),
            Event::Broken { attempt } => self.on_broken(now, attempt),
            Event::Tick => self.on_tick(now),
            Event::CallerDisconnected => {
                self.has_ended = true;
                self.cancel_all()
            }
            Event::KeyWithdrawn => self.fail_exchange(Code::KeyWithdrawn, None),
        }
    }
}
