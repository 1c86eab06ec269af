//! Tests of exchanges with failing upstreams, the retry budget, the idempotency register and
//! server-sent events.

#[path = "attempt/bench.rs"]
mod bench;
#[path = "attempt/budget.rs"]
mod budget;
#[path = "attempt/exchange.rs"]
mod exchange;
#[path = "attempt/fleet.rs"]
mod fleet;
#[path = "attempt/register.rs"]
mod register;
#[path = "attempt/sse.rs"]
mod sse;
