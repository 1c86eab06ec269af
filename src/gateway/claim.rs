//! Claims the idempotency key of a call that must not run twice.

use {
    super::{Call, Gateway},
    crate::{
        attempt::register::{Key, Permit, Reason, Refusal},
        clock::Clock,
        failure::{Code, Failure},
        name, rendezvous,
    },
    std::collections::BTreeSet,
};

/// Request header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

impl<C: Clock> Gateway<C> {
    /// Claims a call's idempotency key in its home region. Returns `None` if the call has no key or
    /// is repeatable.
    pub(super) async fn claim(&self, call: &Call) -> Result<Option<Permit<C>>, Failure> {
        let (Some(key), Some(home)) = (claim_key(call), home_region(call)) else {
            return Ok(None);
        };
        let register = &self.dependencies().register;
        let permit = register.claim(key, home.clone()).await;
        permit.map(Some).map_err(|refusal| {
            tracing::info!(
                request = call.request_id,
                route = %call.route,
                %home,
                reason = refusal.reason.as_str(),
                "idempotency key refused"
            );
            failure(refusal)
        })
    }
}

fn claim_key(call: &Call) -> Option<Key> {
    if call.is_repeatable() {
        return None;
    }
    let header = call
        .headers
        .iter()
        .find(|header| header.name == KEY_HEADER)?;
    let customer = call.customer.clone().unwrap_or_else(|| "".into());
    let text = String::from_utf8_lossy(&header.value);
    Some(Key::new(&customer, &call.route, &text))
}

/// The home region of a call's idempotency key. It depends only on the customer and the route, so
/// that every host computes the same one.
fn home_region(call: &Call) -> Option<name::Region> {
    let residency = call.customer().map(|row| &row.residency);
    if let Some(residency) = residency.filter(|regions| regions.len() == 1) {
        return residency.first().cloned();
    }
    let pools = &call.route().ok()?.pools;
    let regions: BTreeSet<&str> = pools
        .iter()
        .filter_map(|pool| Some(call.snapshot.pools.get(pool)?.region.as_str()))
        .collect();
    let customer = call.customer.as_ref().map_or("", name::Customer::as_str);
    let scope = format!("{customer}/{}", call.route);
    let first = rendezvous::order(&scope, regions).into_iter().next()?;
    Some(first.into())
}

fn failure(refusal: Refusal) -> Failure {
    let message = match refusal.reason {
        Reason::Done(status) => {
            format!("the idempotency key has run; its answer had status {status}")
        }
        Reason::Claimed => "the idempotency key is in use, or was and its end is not known".into(),
        Reason::Doubtful => "it can't be known now whether the idempotency key has run".into(),
    };
    let failure = Failure::new(Code::Duplicate, refusal.reason.ran(), message);
    match refusal.retry_after {
        Some(wait) => failure.retry_after(wait),
        None => failure,
    }
}
