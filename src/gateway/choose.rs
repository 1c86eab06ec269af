//! Where a call goes next: to an upstream of this region, or to a host of another.

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

/// When to come back after no upstream could take a call.
const NO_CAPACITY_RETRY: Duration = Duration::from_secs(2);
/// Bytes of text that make a token, roughly.
pub(super) const BYTES_PER_TOKEN: u64 = 4;
/// Prompt tokens that are taken for a shared prefix at the most.
const PREFIX_TOKENS: u64 = 512;

/// Where a call goes next.
#[derive(Debug)]
pub(super) enum Next {
    /// To a pool of this region.
    Pool(name::Pool),
    /// To a host of another region.
    Host(name::Host),
}

/// An upstream that was chosen.
#[derive(Debug)]
pub(super) struct Target<C: Clock> {
    pub(super) upstream: name::Upstream,
    pub(super) pool: name::Pool,
    pub(super) sent: InFlight<C>,
}

impl<C: Clock> Gateway<C> {
    /// Chooses where a call goes next.
    pub(super) fn choose(&self, call: &Call, tried: &[name::Upstream]) -> Result<Next, Failure> {
        let choice = self
            .parts()
            .router
            .choose(&request(call, tried)?)
            .map_err(failure)?;
        if choice.upstream.is_some() {
            return Ok(Next::Pool(choice.pool));
        }
        let host = self.host_in(call, &choice.region)?;
        log(call, &choice, Some(&host), Duration::ZERO);
        Ok(Next::Host(host))
    }

    /// Chooses an upstream of a pool for a call that has waited for its turn.
    pub(super) fn target(
        &self,
        call: &Call,
        pool: &name::Pool,
        waited: Duration,
        tried: &[name::Upstream],
    ) -> Result<Target<C>, Failure> {
        let routed = self
            .parts()
            .router
            .choose_replica(&request(call, tried)?, pool);
        let Routed {
            choice,
            in_flight: sent,
        } = routed.map_err(failure)?;
        log(call, &choice, None, waited);
        Ok(Target {
            upstream: choice
                .upstream
                .ok_or_else(|| failure(Refusal::Unavailable))?,
            pool: choice.pool,
            sent,
        })
    }

    /// A host of a region that the call has not visited.
    fn host_in(&self, call: &Call, region: &name::Region) -> Result<name::Host, Failure> {
        let view = self.parts().view.borrow().clone();
        let turn = self.0.sequence.load(Ordering::Relaxed) as usize;
        let hosts: Vec<_> = view
            .live(&self.parts().settings.name)
            .filter(|(_, member)| member.region == *region)
            .map(|(host, _)| host)
            .filter(|host| !call.hosts.contains(host))
            .collect();
        if hosts.is_empty() {
            let message = format!("no host of region {region} is known");
            return Err(Failure::not_run(Code::NoCapacity, message).retry_after(NO_CAPACITY_RETRY));
        }
        Ok(hosts[turn % hosts.len()].clone())
    }
}

/// What routing looks at of a call.
fn request<'a>(call: &'a Call, tried: &'a [name::Upstream]) -> Result<Request<'a>, Failure> {
    let prompt = call.ask.as_ref().map_or(0, |ask| ask.prompt_bytes);
    let tokens = prompt / BYTES_PER_TOKEN;
    let answer = call.ask.as_ref().map_or(0, |ask| ask.answer_tokens);
    let prefix = call.ask.as_ref().map(|ask| Prefix {
        hash: ask.prefix,
        tokens: tokens.min(PREFIX_TOKENS) as u32,
    });
    Ok(Request {
        route: call.route()?,
        customer: call.customer(),
        prefix,
        prompt_tokens: tokens.try_into().unwrap_or(u32::MAX),
        bytes: call.body.len() as u64 + answer * BYTES_PER_TOKEN,
        deadline: call.deadline,
        visited: &call.visited,
        hosts: &call.hosts,
        hops_left: call.hops,
        on_demand: false,
        tried,
    })
}

pub(super) fn failure(refusal: Refusal) -> Failure {
    let code = match refusal {
        Refusal::Closed => Code::RouteForbidden,
        Refusal::Residency => Code::Residency,
        Refusal::Loop | Refusal::Hops => Code::LoopRefused,
        Refusal::Unavailable | Refusal::Link => Code::NoCapacity,
    };
    let failure = Failure::not_run(code, refusal.to_string());
    match refusal.retry_after() {
        Some(wait) => failure.retry_after(wait),
        None => failure,
    }
}

/// One line a choice, from which a person can tell why.
fn log(call: &Call, choice: &Choice, host: Option<&name::Host>, waited: Duration) {
    let runners_up = (!choice.runners_up.is_empty()).then_some(RunnersUp(choice));
    tracing::info!(
        request = call.request,
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

/// The runners-up of a choice, each with its expected delay.
struct RunnersUp<'a>(&'a Choice);

impl Display for RunnersUp<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (place, one) in self.0.runners_up.iter().enumerate() {
            let gap = if place > 0 { " " } else { "" };
            match &one.upstream {
                Some(upstream) => write!(f, "{gap}{upstream}:{}ms", one.cost_ms)?,
                None => write!(f, "{gap}{}:{}ms", one.region, one.cost_ms)?,
            }
        }
        Ok(())
    }
}
