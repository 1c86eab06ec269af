//! Chooses where a call is sent: to an upstream of this region, or to another host.

use {
    super::{Call, Gateway},
    crate::{
        clock::Clock,
        failure::{Code, Failure},
        name,
        route::{Choice, InFlight, Prefix, Refusal, Request, Routed},
    },
    std::{
        fmt::{self, Display, Formatter},
        sync::atomic::Ordering,
        time::Duration,
    },
};

/// `retry_after` of a call for which no host of the chosen region is known.
const NO_CAPACITY_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Rough number of bytes of text per token.
pub(super) const BYTES_PER_TOKEN: u64 = 4;
/// Most tokens of a prompt that count as a prefix shared with other prompts.
const MAX_PREFIX_TOKENS: u64 = 512;

/// Where a call is sent next.
#[derive(Debug)]
pub(super) enum Placement {
    /// A pool of this region.
    Pool(name::Pool),
    /// Another host.
    Host(name::Host),
}

/// The upstream chosen for an attempt.
#[derive(Debug)]
pub(super) struct Target<C: Clock> {
    pub(super) upstream: name::Upstream,
    pub(super) pool: name::Pool,
    pub(super) in_flight: InFlight<C>,
}

impl<C: Clock> Gateway<C> {
    /// Chooses a pool or a host for a call, given the upstreams already tried.
    pub(super) fn choose(
        &self,
        call: &Call,
        tried: &[name::Upstream],
    ) -> Result<Placement, Failure> {
        let router = &self.dependencies().router;
        let request = routing_request(call, tried)?;
        let mut choice = router.choose(&request).map_err(refusal_failure)?;
        let is_here = choice.region == self.dependencies().settings.region;
        if is_here && choice.upstream.is_none() && self.choose_host(call, &choice).is_err() {
            // The neighbours that are listed are not live.
            choice = router
                .choose_without_neighbours(&request)
                .map_err(refusal_failure)?;
        }
        if choice.upstream.is_some() {
            return Ok(Placement::Pool(choice.pool));
        }
        let host = self.choose_host(call, &choice)?;
        log_choice(call, &choice, Some(&host), Duration::ZERO);
        Ok(Placement::Host(host))
    }

    /// Chooses an upstream of a pool for a call that the queue has admitted.
    pub(super) fn choose_upstream(
        &self,
        call: &Call,
        pool: &name::Pool,
        waited: Duration,
        tried: &[name::Upstream],
    ) -> Result<Target<C>, Failure> {
        let routed = self
            .dependencies()
            .router
            .choose_replica(&routing_request(call, tried)?, pool);
        let Routed { choice, in_flight } = routed.map_err(refusal_failure)?;
        log_choice(call, &choice, None, waited);
        Ok(Target {
            upstream: choice
                .upstream
                .ok_or_else(|| refusal_failure(Refusal::Unavailable))?,
            pool: choice.pool,
            in_flight,
        })
    }

    /// Picks a live host of the chosen region, leaving out hosts that the call has visited and
    /// those that can't connect to the chosen pool.
    fn choose_host(&self, call: &Call, choice: &Choice) -> Result<name::Host, Failure> {
        let Choice { region, pool, .. } = choice;
        let view = self.dependencies().view.borrow().clone();
        let rotation = self.0.sequence.load(Ordering::Relaxed) as usize;
        let mut hosts: Vec<_> = view
            .live_others(&self.dependencies().settings.name)
            .filter(|(_, member)| member.region == *region)
            .map(|(host, _)| host)
            .filter(|host| !call.visited_hosts.contains(host))
            .collect();
        self.dependencies().router.with(|router, now| {
            hosts.retain(|host| router.reaches(now, region, host, pool));
        });
        if hosts.is_empty() {
            let message = format!("no host of region {region} is known");
            return Err(
                Failure::not_run(Code::NoCapacity, message).retry_after(NO_CAPACITY_RETRY_AFTER)
            );
        }
        Ok(hosts[rotation % hosts.len()].clone())
    }
}

/// The properties of a call that routing depends on.
fn routing_request<'a>(
    call: &'a Call,
    tried: &'a [name::Upstream],
) -> Result<Request<'a>, Failure> {
    let prompt = call
        .model_request
        .as_ref()
        .map_or(0, |model_request| model_request.prompt_bytes);
    let tokens = prompt / BYTES_PER_TOKEN;
    let answer = call
        .model_request
        .as_ref()
        .map_or(0, |model_request| model_request.answer_tokens);
    let prefix = call.model_request.as_ref().map(|model_request| Prefix {
        hash: model_request.prefix_hash,
        tokens: tokens.min(MAX_PREFIX_TOKENS) as u32,
    });
    Ok(Request {
        route: call.route()?,
        customer: call.customer(),
        prefix,
        prompt_tokens: tokens.try_into().unwrap_or(u32::MAX),
        bytes: call.body.len() as u64 + answer * BYTES_PER_TOKEN,
        deadline: call.deadline,
        visited: &call.visited_regions,
        hosts: &call.visited_hosts,
        hops_left: call.hops_left,
        on_demand: false,
        tried,
    })
}

pub(super) fn refusal_failure(refusal: Refusal) -> Failure {
    let code = match refusal {
        Refusal::Closed => Code::RouteForbidden,
        Refusal::Residency => Code::Residency,
        Refusal::Loop | Refusal::Hops => Code::LoopRefused,
        Refusal::Unavailable | Refusal::Unreached | Refusal::Link => Code::NoCapacity,
    };
    let failure = Failure::not_run(code, refusal.to_string());
    match refusal.retry_after() {
        Some(wait) => failure.retry_after(wait),
        None => failure,
    }
}

/// Logs a choice with its reason and runners-up, so that operators can see why it was made.
fn log_choice(call: &Call, choice: &Choice, host: Option<&name::Host>, waited: Duration) {
    let runners_up = (!choice.runners_up.is_empty()).then_some(RunnersUp(choice));
    tracing::info!(
        request = call.request_id,
        route = %call.route,
        customer = call.customer.as_ref().map(tracing::field::display),
        region = %choice.region,
        pool = %choice.pool,
        upstream = choice.upstream.as_ref().map(tracing::field::display),
        host = host.map(tracing::field::display),
        reason = %choice.reason,
        waited_ms = waited.as_millis() as u64,
        runners_up = runners_up.map(tracing::field::display),
        "routed"
    );
}

/// Displays the runners-up of a choice, each with its expected delay.
struct RunnersUp<'a>(&'a Choice);

impl Display for RunnersUp<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (place, candidate) in self.0.runners_up.iter().enumerate() {
            let separator = if place > 0 { " " } else { "" };
            match &candidate.upstream {
                Some(upstream) => write!(f, "{separator}{upstream}:{}ms", candidate.cost_ms)?,
                None => write!(f, "{separator}{}:{}ms", candidate.region, candidate.cost_ms)?,
            }
        }
        Ok(())
    }
}
