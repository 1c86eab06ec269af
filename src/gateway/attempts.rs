//! The attempts of one call: places and sends what its [`Exchange`] says.

use {
    super::{
        Call, Gateway,
        choose::{Next, failure},
        relay::{Source, withdrawn},
        send,
    },
    crate::{
        attempt::{
            Action, Code as Cause, Event, Exchange, Fault, Id, Plan, Work, budget,
            register::{Outcome, Permit},
        },
        clock::Clock,
        failure::{Code, Failure, Ran},
        link::exchange::Head,
        machine::Machine,
        name,
        queue::Slot,
        route::{InFlight, Refusal},
    },
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        pin::pin,
        time::Duration,
    },
    tokio::time::sleep,
};

/// Choices made for one attempt whose pool loses its last live replica while it waits.
const CHOICES: usize = 3;
/// Most attempts of one call.
const ATTEMPTS: u32 = 4;
/// When to come back after a claim has run out.
const CLAIM_RETRY: Duration = Duration::from_secs(1);
/// Longest time to connect and send.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// Longest pause between two pieces of an answer that can be had again elsewhere.
const RESUMABLE_PAUSE: Duration = Duration::from_secs(10);
/// Longest pause between two pieces of any other answer.
const PAUSE: Duration = Duration::from_secs(20);

/// The attempts of one call. It counts as running until this is dropped, so that a drain waits for
/// calls without a head too.
#[derive(Debug)]
pub(super) struct Attempts<C: Clock> {
    pub(super) gateway: Gateway<C>,
    pub(super) call: Call,
    exchange: Exchange<budget::Shared>,
    tried: Vec<name::Upstream>,
    last: Option<Failure>,
    permit: Option<Permit<C>>,
}

/// An attempt whose answer has begun.
#[derive(Debug)]
pub(super) struct Begun<C: Clock> {
    pub(super) attempt: u32,
    pub(super) head: Head,
    pub(super) source: Source,
    pub(super) sent: Option<InFlight<C>>,
    pub(super) slot: Option<Slot<C>>,
}

/// Where an attempt goes.
enum Place<C: Clock> {
    Upstream(super::choose::Target<C>, Slot<C>),
    Host(name::Host),
}

/// What became of an attempt up to its head.
enum Step<C: Clock> {
    Begun(Box<Begun<C>>),
    Next(Vec<Action>),
}

impl<C: Clock> Attempts<C> {
    pub(super) fn new(gateway: &Gateway<C>, call: Call) -> Self {
        gateway.parts().metrics.running.inc();
        let plan = plan(&call, gateway.parts().clock.now());
        Self {
            exchange: Exchange::new(plan, gateway.budget()),
            gateway: gateway.clone(),
            call,
            tried: Vec::new(),
            last: None,
            permit: None,
        }
    }

    /// The same, with the claim of its idempotency key.
    pub(super) fn permitted(mut self, permit: Option<Permit<C>>) -> Self {
        self.permit = permit;
        self
    }

    /// The answer was whole.
    pub(super) fn settle_done(&mut self, status: u16) {
        if let Some(permit) = self.permit.take() {
            permit.settle(Outcome::Done(status));
        }
    }

    /// There was no answer. What isn't surely unrun leaves the key in doubt.
    pub(super) fn settle_failed(&mut self, failure: &Failure) {
        if let Some(permit) = self.permit.take_if(|_| failure.ran == Ran::No) {
            permit.settle(Outcome::NotRun);
        }
    }

    /// Whether the claim of the idempotency key is still good, just before the first byte leaves.
    fn check_permit(&self) -> Result<(), Failure> {
        if self.permit.as_ref().is_none_or(Permit::may_send) {
            return Ok(());
        }
        let message = "the call waited for longer than the claim of its idempotency key holds";
        Err(Failure::not_run(Code::NoCapacity, message).retry_after(CLAIM_RETRY))
    }

    /// Starts, and waits until an answer begins.
    pub(super) async fn start(&mut self) -> Result<Begun<C>, Failure> {
        let actions = self.step(Event::Started);
        self.proceed(actions).await
    }

    pub(super) fn step(&mut self, event: Event) -> Vec<Action> {
        self.exchange.step(self.gateway.parts().clock.now(), event)
    }

    /// Time left until the exchange wants to be woken.
    pub(super) fn pause(&self) -> Duration {
        let now = self.gateway.parts().clock.now();
        self.exchange.wake().saturating_sub(now)
    }

    /// The answer of an attempt broke; goes on with another one, if there may be one.
    pub(super) async fn broken(
        &mut self,
        attempt: u32,
        failure: Failure,
    ) -> Result<Begun<C>, Failure> {
        self.last = Some(failure);
        let actions = self.step(Event::Broken { attempt });
        self.proceed(actions).await
    }

    /// Ends because the key was withdrawn.
    pub(super) fn withdraw(&mut self, failure: Failure) -> Failure {
        let actions = self.step(Event::KeyWithdrawn);
        match ran(&actions) {
            Some(ran) => Failure { ran, ..failure },
            None => failure,
        }
    }

    /// Follows actions until an answer begins or the exchange fails.
    pub(super) async fn proceed(&mut self, actions: Vec<Action>) -> Result<Begun<C>, Failure> {
        let mut config = self.gateway.parts().config.clone();
        let call = self.call.clone();
        let failure = tokio::select! {
            biased;
            failure = withdrawn(&mut config, &call) => failure,
            begun = self.follow(actions) => return begun,
        };
        Err(self.withdraw(failure))
    }

    async fn follow(&mut self, mut actions: Vec<Action>) -> Result<Begun<C>, Failure> {
        loop {
            if let Some(failure) = self.failure(&actions) {
                return Err(failure);
            }
            let Some((attempt, offset)) = actions.iter().find_map(sending) else {
                sleep(self.pause()).await;
                actions = self.step(Event::Tick);
                continue;
            };
            match self.attempt(attempt, offset).await? {
                Step::Begun(begun) => return Ok(*begun),
                Step::Next(next) => actions = next,
            }
        }
    }

    /// The failure that the caller is told, if the exchange has failed.
    pub(super) fn failure(&self, actions: &[Action]) -> Option<Failure> {
        actions.iter().find_map(|action| match action {
            Action::Fail {
                code,
                ran,
                retry_after,
                ..
            } => Some(Failure {
                code: told(*code),
                message: self.message(*code),
                ran: *ran,
                retry_after: *retry_after,
            }),
            _ => None,
        })
    }

    fn message(&self, code: Cause) -> String {
        match (&self.last, code) {
            (_, Cause::DeadlineExceeded) => "the deadline has passed".into(),
            (Some(last), _) => last.message.clone(),
            (None, Cause::UpstreamSilent) => "the upstream was silent for too long".into(),
            (None, Cause::UpstreamUnreachable) => "no connection to the upstream was made".into(),
            (None, _) => "the upstream failed".into(),
        }
    }

    /// Places one attempt, sends it, and waits for its head.
    async fn attempt(&mut self, attempt: u32, offset: u64) -> Result<Step<C>, Failure> {
        if let Some(last) = self.last.as_ref().filter(|_| attempt > 0) {
            tracing::info!(request = self.call.request, attempt, offset, reason = %last, "sent again");
        }
        match self.place().await {
            Ok(Place::Upstream(target, slot)) => self.send(attempt, offset, target, slot).await,
            Ok(Place::Host(host)) if offset == 0 => self.forward(attempt, &host).await,
            Ok(Place::Host(_)) => Ok(self.unavailable(attempt, None)),
            Err(failure) if attempt == 0 => Err(failure),
            Err(failure) => Ok(self.unavailable(attempt, failure.retry_after)),
        }
    }

    fn unavailable(&mut self, attempt: u32, retry_after: Option<Duration>) -> Step<C> {
        Step::Next(self.step(Event::Unavailable {
            attempt,
            retry_after,
        }))
    }

    async fn place(&mut self) -> Result<Place<C>, Failure> {
        let gateway = self.gateway.clone();
        for _ in 0..CHOICES {
            let chosen = gateway.choose(&self.call, &self.tried);
            // With all tried, the ones tried may do again.
            let chosen = chosen.or_else(|failure| match self.tried.is_empty() {
                true => Err(failure),
                false => {
                    self.tried.clear();
                    gateway.choose(&self.call, &[])
                }
            });
            let pool = match chosen? {
                Next::Pool(pool) => pool,
                Next::Host(host) => return Ok(Place::Host(host)),
            };
            let arrived = gateway.parts().clock.now();
            let Some(slot) = gateway.admit(&self.call, &pool).await? else {
                continue;
            };
            let waited = gateway.parts().clock.now().saturating_sub(arrived);
            let target = gateway.target(&self.call, &pool, waited, &self.tried)?;
            self.tried.push(target.upstream.clone());
            return Ok(Place::Upstream(target, slot));
        }
        Err(failure(Refusal::Unavailable))
    }

    async fn send(
        &mut self,
        attempt: u32,
        offset: u64,
        target: super::choose::Target<C>,
        mut slot: Slot<C>,
    ) -> Result<Step<C>, Failure> {
        self.check_permit()?;
        let actions = self.step(Event::Sent { attempt });
        if !actions.is_empty() {
            return Ok(Step::Next(actions));
        }
        let gateway = self.gateway.clone();
        let call = self.call.clone();
        let sent = target.sent;
        let mut sending = pin!(gateway.response(&call, sent.address, offset));
        let response = loop {
            tokio::select! {
                biased;
                response = &mut sending => break response,
                () = sleep(self.pause()) => {
                    let actions = self.tick();
                    if !actions.is_empty() {
                        sent.failed();
                        return Ok(Step::Next(actions));
                    }
                }
            }
        };
        let response = match response {
            Ok(response) => response,
            Err(failure) => {
                sent.failed();
                if failure.ran == Ran::No {
                    slot.settle(0);
                }
                return Ok(Step::Next(self.unsent(attempt, failure)));
            }
        };
        let actions = self.head(attempt, offset, &response);
        if !actions.is_empty() {
            sent.failed();
            return Ok(Step::Next(actions));
        }
        let (head, body) = send::head(response, target.upstream, target.pool);
        let server_error = head.status >= 500;
        let sent = match server_error {
            true => {
                sent.failed();
                None
            }
            false => Some(sent),
        };
        Ok(Step::Begun(Box::new(Begun {
            attempt,
            head,
            source: Source::Upstream(body),
            sent,
            slot: Some(slot),
        })))
    }

    /// No head came.
    fn unsent(&mut self, attempt: u32, failure: Failure) -> Vec<Action> {
        let unreachable = failure.ran == Ran::No;
        self.last = Some(failure);
        self.step(match unreachable {
            true => Event::Unreachable { attempt },
            false => Event::Broken { attempt },
        })
    }

    fn failed(&mut self, message: String) {
        self.last = Some(Failure::new(Code::UpstreamFailed, Ran::Unknown, message));
    }

    /// Time passed. What follows is not empty if an upstream has been silent for too long.
    pub(super) fn tick(&mut self) -> Vec<Action> {
        let actions = self.step(Event::Tick);
        let silent = |action: &Action| matches!(action, Action::Abandon { .. });
        if actions.iter().any(silent) {
            self.failed("the upstream was silent for too long".into());
        }
        actions
    }

    /// A head came: none of the actions that are left means that it is taken.
    fn head<B>(&mut self, attempt: u32, offset: u64, response: &http::Response<B>) -> Vec<Action> {
        let status = response.status().as_u16();
        if offset > 0 && status != 200 {
            self.failed(format!("the upstream answered with status {status}"));
            return self.step(Event::Broken { attempt });
        }
        let given = response.headers().get(send::REQUEST_HEADER);
        let id = match given {
            Some(id) => String::from_utf8_lossy(id.as_bytes()).into_owned(),
            None => self.call.request.clone(),
        };
        let actions = self.step(Event::Head {
            attempt,
            status,
            id: Some(Id::from(id.as_str())),
            ran: None,
            retry_after: None,
        });
        if actions
            .iter()
            .any(|action| matches!(action, Action::Drop { .. }))
        {
            self.gateway.parts().metrics.crossed.inc();
            self.failed("the upstream answered another request".into());
        } else if actions
            .iter()
            .any(|action| matches!(action, Action::Cancel { .. }))
        {
            self.failed(format!("the upstream answered with status {status}"));
        }
        actions
            .into_iter()
            .filter(|action| !matches!(action, Action::Open { .. }))
            .collect()
    }

    async fn forward(&mut self, attempt: u32, host: &name::Host) -> Result<Step<C>, Failure> {
        self.check_permit()?;
        let actions = self.step(Event::Sent { attempt });
        if !actions.is_empty() {
            return Ok(Step::Next(actions));
        }
        let gateway = self.gateway.clone();
        match gateway.forward(&self.call, host).await {
            Ok((head, body)) => {
                self.step(Event::Head {
                    attempt,
                    status: 200,
                    id: Some(Id::from(self.call.request.as_str())),
                    ran: None,
                    retry_after: None,
                });
                Ok(Step::Begun(Box::new(Begun {
                    attempt,
                    head,
                    source: Source::Peer(Box::new(body)),
                    sent: None,
                    slot: None,
                })))
            }
            Err(failure) if failure.code == Code::Unreachable => {
                Ok(Step::Next(self.unsent(attempt, failure)))
            }
            // The other host has made its own attempts; what it says is final.
            Err(failure) => Err(failure),
        }
    }
}

impl<C: Clock> Drop for Attempts<C> {
    fn drop(&mut self) {
        self.gateway.parts().metrics.running.dec();
    }
}

fn sending(action: &Action) -> Option<(u32, u64)> {
    match *action {
        Action::Send { attempt, offset } => Some((attempt, offset)),
        _ => None,
    }
}

fn ran(actions: &[Action]) -> Option<Ran> {
    actions.iter().find_map(|action| match action {
        Action::Fail { ran, .. } => Some(*ran),
        _ => None,
    })
}

fn told(code: Cause) -> Code {
    match code {
        Cause::DeadlineExceeded => Code::Deadline,
        Cause::NoUpstream | Cause::UpstreamRefused => Code::NoCapacity,
        Cause::UpstreamUnreachable => Code::Unreachable,
        Cause::KeyWithdrawn => Code::KeyWithdrawn,
        Cause::UpstreamBroken
        | Cause::UpstreamSilent
        | Cause::UpstreamFailed
        | Cause::AnswerCrossed => Code::UpstreamFailed,
    }
}

/// How a call may be repeated, and its limits.
fn plan(call: &Call, now: Duration) -> Plan {
    let work = match (&call.ask, call.repeatable()) {
        (Some(ask), _) => Work::Model {
            resume: ask.stream && call.resumable(),
        },
        (None, true) => Work::Idempotent,
        (None, false) => Work::Once,
    };
    let left = call.deadline.saturating_sub(now);
    let (first, silence) = match work {
        Work::Once => (left, PAUSE),
        Work::Idempotent => (left / 3, PAUSE),
        Work::Model { resume: true } => (left / 3, RESUMABLE_PAUSE),
        Work::Model { resume: false } => (left / 3, PAUSE),
    };
    let mut seed = DefaultHasher::new();
    call.request.hash(&mut seed);
    Plan {
        id: Id::from(call.request.as_str()),
        work,
        deadline: call.deadline,
        connect: CONNECT_LIMIT,
        first,
        silence,
        hedge: None,
        attempts: ATTEMPTS,
        seed: seed.finish(),
        fault: Fault::None,
    }
}
