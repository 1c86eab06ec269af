//! Runs the attempts of one call.
//!
//! The call's [`Exchange`] decides when to send, repeat, resume or fail. This module executes these
//! decisions: it places each attempt, sends or forwards it, and reports the outcome back. An attempt
//! beside a silent one runs until either has something for the caller.

use {
    super::{
        Call, Gateway,
        choose::{Placement, Target, refusal_failure},
        relay::{Source, wait_for_withdrawal},
        send,
    },
    crate::{
        attempt::{
            Action, Code as Cause, Event, Exchange, Id, LATE_DELIVERY, Mutant, Plan, Work, budget,
            register::{Outcome, Permit},
        },
        clock::Clock,
        failure::{Code, Failure, Ran},
        link::exchange::{self, Head},
        machine::Machine,
        name,
        queue::Slot,
        route::{InFlight, Refusal},
        upstream,
    },
    futures::stream::{FuturesUnordered, StreamExt},
    http::Response,
    std::{
        collections::BTreeMap,
        convert::Infallible,
        future::{Future, pending},
        hash::{DefaultHasher, Hash, Hasher},
        net::SocketAddr,
        pin::pin,
        sync::Arc,
        time::Duration,
    },
    tokio::time::sleep,
};

/// Placements tried for one attempt. Another one is needed if the pool loses its last live replica
/// while the call is queued.
const MAX_PLACEMENTS: usize = 3;
/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: u32 = 4;
/// `retry_after` of a call whose claim of the idempotency key expired before it was sent.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Gap between two chunks of an answer after which another attempt is made to resume it.
const RESUMABLE_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Gap between two chunks of any other answer after which another attempt is made if it may be.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The attempts of one call. The call counts as running until this is dropped, so that a drain
/// also waits for calls whose answer has no head yet.
#[derive(Debug)]
pub(super) struct Attempts<C: Clock> {
    pub(super) gateway: Gateway<C>,
    pub(super) call: Arc<Call>,
    exchange: Exchange<budget::Shared>,
    tried_upstreams: Vec<name::Upstream>,
    /// One place in the queue of each pool with an attempt. Attempts beside each other share it, so
    /// that silent ones never keep out the one that is to replace them.
    slots: BTreeMap<name::Pool, Slot<C>>,
    last_failure: Option<Failure>,
    permit: Option<Permit<C>>,
}

/// The answer of one attempt, from its head on.
#[derive(Debug)]
pub(super) struct Answer<C: Clock> {
    pub(super) attempt: u32,
    pub(super) head: Head,
    pub(super) source: Source,
    pub(super) in_flight: Option<InFlight<C>>,
}

/// What comes next for the caller.
pub(super) enum Next<C: Clock, T> {
    /// The answer of another attempt.
    Answer(Box<Answer<C>>),
    /// The rest of the present answer.
    Rest(T),
}

/// A step of an attempt that takes time.
enum Task {
    Place {
        tried_upstreams: Vec<name::Upstream>,
        /// Pools that the call has a slot of.
        admitted: Vec<name::Pool>,
    },
    Send {
        upstream: name::Upstream,
        address: SocketAddr,
        offset: u64,
    },
    Forward(name::Host),
}

/// Result of a [`Task`].
enum Done<C: Clock> {
    Placed(Result<Placed<C>, Failure>),
    Sent(Result<Response<upstream::Body>, Failure>),
    Forwarded(Result<(Head, Box<exchange::Body>), Failure>),
}

/// Where an attempt is sent.
enum Placed<C: Clock> {
    Upstream {
        target: Target<C>,
        /// `None` if the call already has one of the pool.
        slot: Option<Slot<C>>,
        tried_upstreams: Vec<name::Upstream>,
    },
    Host(name::Host),
}

/// The attempts of a call that are under way.
struct Flights<C: Clock> {
    /// Offsets of all attempts so far.
    offsets: BTreeMap<u32, u64>,
    /// Attempts that were sent to an upstream and have no head yet.
    sent: BTreeMap<u32, Target<C>>,
}

/// What follows from an event.
enum Step<C: Clock> {
    Answer(Box<Answer<C>>),
    Actions(Vec<Action>),
    Task(Task),
}

impl<C: Clock> Attempts<C> {
    pub(super) fn new(gateway: &Gateway<C>, call: Call) -> Self {
        gateway.dependencies().metrics.running.inc();
        let plan = plan(&call, gateway.dependencies().clock.now());
        Self {
            exchange: Exchange::new(plan, gateway.budget()),
            gateway: gateway.clone(),
            call: Arc::new(call),
            tried_upstreams: Vec::new(),
            slots: BTreeMap::new(),
            last_failure: None,
            permit: None,
        }
    }

    /// Sets the claim of the call's idempotency key; `None` for a call without one.
    pub(super) fn with_permit(mut self, permit: Option<Permit<C>>) -> Self {
        self.permit = permit;
        self
    }

    /// Settles the idempotency key after a whole answer.
    pub(super) fn settle_done(&mut self, status: u16) {
        if let Some(permit) = self.permit.take() {
            permit.settle(Outcome::Done(status));
        }
    }

    /// Settles the idempotency key after a failure. The key stays in doubt unless the call surely
    /// did not run.
    pub(super) fn settle_failed(&mut self, failure: &Failure) {
        if let Some(permit) = self.permit.take_if(|_| failure.ran == Ran::No) {
            permit.settle(Outcome::NotRun);
        }
    }

    /// Fails if the claim of the idempotency key has expired. Checked just before the first byte is
    /// sent.
    fn check_permit(&self) -> Result<(), Failure> {
        if self.permit.as_ref().is_none_or(Permit::may_send) {
            return Ok(());
        }
        let message = "the call waited for longer than the claim of its idempotency key holds";
        Err(Failure::not_run(Code::NoCapacity, message).retry_after(CLAIM_RETRY_AFTER))
    }

    /// Starts the exchange and waits until an answer begins.
    pub(super) async fn start(&mut self) -> Result<Answer<C>, Failure> {
        let actions = self.step(Event::Started);
        self.run_without_answer(actions).await
    }

    pub(super) fn step(&mut self, event: Event) -> Vec<Action> {
        self.exchange
            .step(self.gateway.dependencies().clock.now(), event)
    }

    /// Time until the next tick of the exchange is due.
    pub(super) fn time_until_wake(&self) -> Duration {
        let now = self.gateway.dependencies().clock.now();
        self.exchange.wake().saturating_sub(now)
    }

    /// Whether the call's deadline passed so long ago that not even chunks that are there already
    /// are relayed.
    pub(super) fn is_overdue(&self) -> bool {
        let now = self.gateway.dependencies().clock.now();
        now >= self.call.deadline + LATE_DELIVERY
    }

    /// Reports a broken answer to the exchange and waits for the answer of another attempt, if the
    /// exchange allows one.
    pub(super) async fn retry_broken(
        &mut self,
        attempt: u32,
        failure: Failure,
    ) -> Result<Answer<C>, Failure> {
        self.last_failure = Some(failure);
        self.slots.clear();
        let actions = self.step(Event::Broken { attempt });
        self.run_without_answer(actions).await
    }

    /// Sets the tokens that the call has really used at a pool, and leaves the pool.
    pub(super) fn settle_slot(&mut self, pool: &name::Pool, used: Option<f64>) {
        if let (Some(mut slot), Some(used)) = (self.slots.remove(pool), used) {
            slot.settle(used as u64);
        }
    }

    /// Leaves all pools but this one.
    pub(super) fn keep_slot(&mut self, pool: &name::Pool) {
        self.slots.retain(|admitted, _| admitted == pool);
    }

    fn release_slots_if(&mut self, is_idle: bool) {
        if is_idle {
            self.slots.clear();
        }
    }

    /// Ends the exchange because the key was withdrawn. The returned failure tells whether the call
    /// ran.
    pub(super) fn fail_withdrawn(&mut self, failure: Failure) -> Failure {
        let actions = self.step(Event::KeyWithdrawn);
        match ran(&actions) {
            Some(ran) => Failure { ran, ..failure },
            None => failure,
        }
    }

    async fn run_without_answer(&mut self, actions: Vec<Action>) -> Result<Answer<C>, Failure> {
        let rest = pending::<Result<Infallible, Failure>>();
        let Next::Answer(answer) = self.run(actions, None, rest).await?;
        Ok(*answer)
    }

    /// Executes actions until the answer of another attempt begins, the `rest` of the `present`
    /// attempt's answer goes on, the exchange fails or the key is withdrawn.
    pub(super) async fn run<T>(
        &mut self,
        actions: Vec<Action>,
        present: Option<u32>,
        rest: impl Future<Output = Result<T, Failure>>,
    ) -> Result<Next<C, T>, Failure> {
        let mut config = self.gateway.dependencies().config.clone();
        let call = self.call.clone();
        let failure = tokio::select! {
            biased;
            failure = wait_for_withdrawal(&mut config, &call) => failure,
            next = self.run_actions(actions, present, rest) => return next,
        };
        Err(self.fail_withdrawn(failure))
    }

    async fn run_actions<T>(
        &mut self,
        mut actions: Vec<Action>,
        mut present: Option<u32>,
        rest: impl Future<Output = Result<T, Failure>>,
    ) -> Result<Next<C, T>, Failure> {
        let mut rest = pin!(rest);
        let mut tasks = FuturesUnordered::new();
        let mut flights = Flights::new();
        loop {
            let failure = self.caller_failure(&actions);
            flights.end_attempts(&actions, failure.is_some());
            if let Some(failure) = failure {
                return Err(failure);
            }
            for (attempt, offset) in actions.iter().filter_map(send_parameters) {
                flights.offsets.insert(attempt, offset);
                let task = self.begin(attempt, offset);
                tasks.push(self.perform(attempt, task));
            }
            // The queue and the other host keep to the deadline by themselves.
            let has_timer = present.is_some() || !flights.sent.is_empty() || tasks.is_empty();
            actions = tokio::select! {
                biased;
                rest = &mut rest, if present.is_some() => {
                    let attempt = present.take().unwrap_or_default();
                    match rest {
                        Ok(rest) => {
                            self.step(Event::Chunk { attempt, tokens: 0 });
                            return Ok(Next::Rest(rest));
                        }
                        Err(failure) => {
                            self.last_failure = Some(failure);
                            self.release_slots_if(tasks.is_empty());
                            self.step(Event::Broken { attempt })
                        }
                    }
                }
                Some((attempt, done)) = tasks.next() => {
                    let is_only = present.is_none() && tasks.is_empty();
                    match self.receive(attempt, done, &mut flights, is_only)? {
                        Step::Answer(answer) => return Ok(Next::Answer(answer)),
                        Step::Actions(actions) => actions,
                        Step::Task(task) => {
                            tasks.push(self.perform(attempt, task));
                            Vec::new()
                        }
                    }
                }
                () = sleep(self.time_until_wake()), if has_timer => self.tick(),
            };
        }
    }

    fn begin(&self, attempt: u32, offset: u64) -> Task {
        if let Some(last) = self.last_failure.as_ref().filter(|_| attempt > 0) {
            tracing::info!(request = self.call.request_id, attempt, offset, reason = %last, "sent again");
        }
        Task::Place {
            tried_upstreams: self.tried_upstreams.clone(),
            admitted: self.slots.keys().cloned().collect(),
        }
    }

    /// Carries out one step of an attempt.
    fn perform(&self, attempt: u32, task: Task) -> impl Future<Output = (u32, Done<C>)> + use<C> {
        let gateway = self.gateway.clone();
        let call = self.call.clone();
        async move {
            let done = match task {
                Task::Place {
                    tried_upstreams,
                    admitted,
                } => Done::Placed(gateway.place(&call, tried_upstreams, &admitted).await),
                Task::Send {
                    upstream,
                    address,
                    offset,
                } => {
                    let sending = gateway.send_to_upstream(&call, &upstream, address, offset);
                    Done::Sent(sending.await)
                }
                Task::Forward(host) => {
                    let forwarded = gateway.forward(&call, &host).await;
                    Done::Forwarded(forwarded.map(|(head, body)| (head, Box::new(body))))
                }
            };
            (attempt, done)
        }
    }

    /// Takes the result of a task. `is_only` tells that no other attempt is under way.
    fn receive(
        &mut self,
        attempt: u32,
        done: Done<C>,
        flights: &mut Flights<C>,
        is_only: bool,
    ) -> Result<Step<C>, Failure> {
        match done {
            Done::Placed(Ok(placed)) => self.receive_place(attempt, placed, flights),
            Done::Placed(Err(failure)) if attempt == 0 => Err(failure),
            Done::Placed(Err(failure)) => Ok(self.report_unavailable(attempt, failure.retry_after)),
            Done::Sent(response) => Ok(self.receive_response(attempt, response, flights, is_only)),
            Done::Forwarded(Ok((head, body))) => {
                Ok(self.receive_peer_head(attempt, head, body, flights))
            }
            Done::Forwarded(Err(failure)) if failure.code == Code::Unreachable => {
                Ok(Step::Actions(self.report_no_head(attempt, failure)))
            }
            // The other host has made its own attempts: its failure is final.
            Done::Forwarded(Err(failure)) if is_only => Err(failure),
            Done::Forwarded(Err(failure)) => {
                Ok(self.report_unavailable(attempt, failure.retry_after))
            }
        }
    }

    fn receive_place(
        &mut self,
        attempt: u32,
        placed: Placed<C>,
        flights: &mut Flights<C>,
    ) -> Result<Step<C>, Failure> {
        let offset = flights.offset(attempt);
        if matches!(placed, Placed::Host(_)) && offset > 0 {
            return Ok(self.report_unavailable(attempt, None));
        }
        self.check_permit()?;
        let actions = self.step(Event::Sending { attempt });
        if !actions.is_empty() {
            return Ok(Step::Actions(actions));
        }
        Ok(Step::Task(match placed {
            Placed::Host(host) => Task::Forward(host),
            Placed::Upstream {
                target,
                slot,
                tried_upstreams,
            } => {
                self.tried_upstreams = tried_upstreams;
                let slot = slot.map(|slot| (target.pool.clone(), slot));
                self.slots.extend(slot);
                let address = target.in_flight.address;
                let upstream = target.upstream.clone();
                flights.sent.insert(attempt, target);
                Task::Send {
                    upstream,
                    address,
                    offset,
                }
            }
        }))
    }

    fn receive_peer_head(
        &mut self,
        attempt: u32,
        head: Head,
        body: Box<exchange::Body>,
        flights: &mut Flights<C>,
    ) -> Step<C> {
        let actions = self.step(Event::Head {
            attempt,
            status: 200,
            id: Some(Id::from(self.call.request_id.as_str())),
            ran: None,
            retry_after: None,
        });
        flights.end_attempts(&actions, false);
        Step::Answer(Box::new(Answer {
            attempt,
            head,
            source: Source::Peer(body),
            in_flight: None,
        }))
    }

    /// Takes the head of an upstream's answer, or the failure to get one.
    fn receive_response(
        &mut self,
        attempt: u32,
        response: Result<Response<upstream::Body>, Failure>,
        flights: &mut Flights<C>,
        is_only: bool,
    ) -> Step<C> {
        let Some(mut sent) = flights.sent.remove(&attempt) else {
            return Step::Actions(Vec::new());
        };
        let mut response = match response {
            Ok(response) => response,
            Err(failure) => {
                sent.in_flight.fail();
                let slot = self.slots.get_mut(&sent.pool);
                if let Some(slot) = slot.filter(|_| is_only && failure.ran == Ran::No) {
                    slot.settle(0);
                }
                self.release_slots_if(is_only);
                return Step::Actions(self.report_no_head(attempt, failure));
            }
        };
        sent.in_flight.record_head();
        if !response.headers().contains_key(send::REQUEST_HEADER) {
            response.body_mut().close_at_end();
        }
        let answered_id = self.answered_id(&response);
        let is_own = answered_id.as_deref() == Some(&*self.call.request_id);
        let rest = send::requested_rest(&response).filter(|_| is_own);
        let actions = self.check_head(attempt, flights.offset(attempt), &response, answered_id);
        if !self.exchange.is_receiving(attempt) {
            end_refused(sent.in_flight, rest);
            self.release_slots_if(is_only);
            return Step::Actions(actions);
        }
        flights.end_attempts(&actions, false);
        let (head, body) = send::split_response(response, sent.upstream, sent.pool);
        let in_flight = match head.status >= 500 {
            true => {
                end_refused(sent.in_flight, rest);
                None
            }
            false => Some(sent.in_flight),
        };
        Step::Answer(Box::new(Answer {
            attempt,
            head,
            source: Source::Upstream(body),
            in_flight,
        }))
    }

    /// The failure to report to the caller, if the exchange has failed.
    pub(super) fn caller_failure(&self, actions: &[Action]) -> Option<Failure> {
        actions.iter().find_map(|action| match action {
            Action::Fail {
                code,
                ran,
                retry_after,
                ..
            } => Some(Failure {
                code: caller_code(*code),
                message: self.failure_message(*code),
                ran: *ran,
                retry_after: *retry_after,
            }),
            _ => None,
        })
    }

    fn failure_message(&self, code: Cause) -> String {
        match (&self.last_failure, code) {
            (_, Cause::DeadlineExceeded) => "the deadline has passed".into(),
            (Some(last), _) => last.message.clone(),
            (None, Cause::UpstreamUnreachable) => "no connection to the upstream was made".into(),
            (None, _) => "the upstream failed".into(),
        }
    }

    fn report_unavailable(&mut self, attempt: u32, retry_after: Option<Duration>) -> Step<C> {
        Step::Actions(self.step(Event::Unavailable {
            attempt,
            retry_after,
        }))
    }

    /// Reports an attempt that ended without a head to the exchange.
    fn report_no_head(&mut self, attempt: u32, failure: Failure) -> Vec<Action> {
        let is_unreachable = failure.ran == Ran::No;
        self.last_failure = Some(failure);
        self.step(match is_unreachable {
            true => Event::Unreachable { attempt },
            false => Event::Broken { attempt },
        })
    }

    fn record_failure(&mut self, message: String) {
        self.last_failure = Some(Failure::new(Code::UpstreamFailed, Ran::Unknown, message));
    }

    /// Reports to the exchange that time has passed.
    pub(super) fn tick(&mut self) -> Vec<Action> {
        let silent_count = self.exchange.silent_count();
        let actions = self.step(Event::Tick);
        if self.exchange.silent_count() > silent_count {
            self.record_failure("the upstream was silent for too long".into());
        }
        actions
    }

    /// The id of the call that an answer belongs to, if it can be told.
    fn answered_id(&self, response: &Response<upstream::Body>) -> Option<String> {
        match response.headers().get(send::REQUEST_HEADER) {
            Some(id) => Some(String::from_utf8_lossy(id.as_bytes()).into_owned()),
            // On a connection in use again it may be an earlier answer that was written once more.
            None => {
                let is_first = response.body().exchange().is_first();
                is_first.then(|| self.call.request_id.clone())
            }
        }
    }

    /// Reports the head of an answer to the exchange.
    fn check_head(
        &mut self,
        attempt: u32,
        offset: u64,
        response: &Response<upstream::Body>,
        answered_id: Option<String>,
    ) -> Vec<Action> {
        let status = response.status().as_u16();
        if offset > 0 && status != 200 {
            self.record_failure(format!("the upstream answered with status {status}"));
            return self.step(Event::Broken { attempt });
        }
        let actions = self.step(Event::Head {
            attempt,
            status,
            id: answered_id.as_deref().map(Id::from),
            ran: None,
            retry_after: send::requested_rest(response),
        });
        if actions
            .iter()
            .any(|action| matches!(action, Action::Drop { .. }))
        {
            self.gateway.dependencies().metrics.crossed.inc();
            let exchange = response.body().exchange();
            tracing::info!(
                request = self.call.request_id,
                attempt,
                status,
                answered = answered_id,
                connection = exchange.connection,
                position = exchange.position,
                "crossed"
            );
            self.record_failure("the upstream answered another request".into());
        } else if !self.exchange.is_receiving(attempt) {
            self.record_failure(format!("the upstream answered with status {status}"));
        }
        actions
    }
}

/// Ends an attempt whose answer is a failure: the upstream's fault unless it asks for rest.
fn end_refused<C: Clock>(in_flight: InFlight<C>, rest: Option<Duration>) {
    match rest {
        Some(rest) => in_flight.rest(rest),
        None => in_flight.fail(),
    }
}

impl<C: Clock> Flights<C> {
    fn new() -> Self {
        Self {
            offsets: BTreeMap::new(),
            sent: BTreeMap::new(),
        }
    }

    fn offset(&self, attempt: u32) -> u64 {
        self.offsets.get(&attempt).copied().unwrap_or(0)
    }

    /// Ends the attempts that these actions cancel, as failures of their upstreams if these were
    /// silent or the exchange has failed.
    fn end_attempts(&mut self, actions: &[Action], has_failed: bool) {
        for action in actions {
            match *action {
                Action::Cancel { attempt } if !has_failed => {
                    self.sent.remove(&attempt);
                }
                Action::Cancel { attempt } | Action::CloseConnection { attempt } => {
                    let sent = self.sent.remove(&attempt);
                    sent.into_iter().for_each(|sent| sent.in_flight.fail());
                }
                _ => {}
            }
        }
    }
}

impl<C: Clock> Drop for Attempts<C> {
    fn drop(&mut self) {
        self.gateway.dependencies().metrics.running.dec();
    }
}

impl<C: Clock> Gateway<C> {
    /// Chooses the destination of an attempt, and waits in the queue of its pool unless the call is
    /// already admitted there.
    async fn place(
        &self,
        call: &Call,
        mut tried_upstreams: Vec<name::Upstream>,
        admitted: &[name::Pool],
    ) -> Result<Placed<C>, Failure> {
        for _ in 0..MAX_PLACEMENTS {
            let placement = self.choose(call, &tried_upstreams);
            // If every upstream has been tried, all of them are allowed again.
            let placement = placement.or_else(|failure| match tried_upstreams.is_empty() {
                true => Err(failure),
                false => {
                    tried_upstreams.clear();
                    self.choose(call, &[])
                }
            });
            let pool = match placement? {
                Placement::Pool(pool) => pool,
                Placement::Host(host) => return Ok(Placed::Host(host)),
            };
            let queued_at = self.dependencies().clock.now();
            let mut slot = None;
            if !admitted.contains(&pool) {
                slot = self.admit(call, &pool).await?;
                if slot.is_none() {
                    continue;
                }
            }
            let waited = self.dependencies().clock.now().saturating_sub(queued_at);
            let target = self.choose_upstream(call, &pool, waited, &tried_upstreams)?;
            tried_upstreams.push(target.upstream.clone());
            return Ok(Placed::Upstream {
                target,
                slot,
                tried_upstreams,
            });
        }
        Err(refusal_failure(Refusal::Unavailable))
    }
}

fn send_parameters(action: &Action) -> Option<(u32, u64)> {
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

fn caller_code(code: Cause) -> Code {
    match code {
        Cause::DeadlineExceeded => Code::Deadline,
        Cause::NoUpstream | Cause::UpstreamRefused => Code::NoCapacity,
        Cause::UpstreamUnreachable => Code::Unreachable,
        Cause::KeyWithdrawn => Code::KeyWithdrawn,
        Cause::UpstreamBroken | Cause::UpstreamFailed | Cause::AnswerCrossed => {
            Code::UpstreamFailed
        }
    }
}

/// Decides how a call may be repeated, and its time limits.
fn plan(call: &Call, now: Duration) -> Plan {
    let work = match (&call.model_request, call.is_repeatable()) {
        (Some(model_request), _) => Work::Model {
            resume: model_request.stream && call.is_resumable(),
        },
        (None, true) => Work::Idempotent,
        (None, false) => Work::Once,
    };
    let remaining = call.deadline.saturating_sub(now);
    let (first_byte_timeout, idle_timeout) = match work {
        Work::Once => (remaining, IDLE_TIMEOUT),
        Work::Idempotent => (remaining / 3, IDLE_TIMEOUT),
        Work::Model { resume: true } => (remaining / 3, RESUMABLE_IDLE_TIMEOUT),
        Work::Model { resume: false } => (remaining / 3, IDLE_TIMEOUT),
    };
    let mut seed = DefaultHasher::new();
    call.request_id.hash(&mut seed);
    Plan {
        id: Id::from(call.request_id.as_str()),
        work,
        deadline: call.deadline,
        // Includes the wait in a queue; the client limits the time to connect.
        connect_timeout: remaining,
        first_byte_timeout,
        idle_timeout,
        hedge_after: None,
        max_attempts: MAX_ATTEMPTS,
        seed: seed.finish(),
        mutant: Mutant::None,
    }
}
