//! The operators' HTTP interface: health, readiness, metrics and status.

use {
    super::{Phase, fleet},
    crate::{clock::Clock, limit, member::Member, metric::Metrics, name, settings::Settings},
    http::{HeaderValue, StatusCode, header},
    serde::Serialize,
    std::sync::Arc,
    tokio::sync::watch,
    viz::{IntoResponse, Request, Response, Router},
};

/// The state of a host that the operators' pages show.
#[derive(Debug, Clone)]
pub(super) struct Admin<C: Clock> {
    pub(super) settings: Settings,
    pub(super) metrics: Metrics,
    pub(super) phase: watch::Receiver<Phase>,
    pub(super) fleet: fleet::Handle<C>,
    pub(super) limit: limit::Handle<C>,
}

/// A member of the fleet on the status page.
#[derive(Debug, Serialize)]
struct Row {
    name: name::Host,
    #[serde(flatten)]
    member: Member,
}

impl<C: Clock> Admin<C> {
    /// HTTP routes for `/healthz`, `/readyz`, `/metrics` and `/status`.
    pub(super) fn router(self) -> Router {
        let view = Arc::new(self);
        let page = |read: fn(&Self) -> Response| {
            let view = view.clone();
            move |_: Request| {
                let response = read(&view);
                async move { Ok::<_, viz::Error>(response) }
            }
        };
        Router::new()
            .get("/healthz", page(|_| "ok\n".into_response()))
            .get("/readyz", page(Self::ready))
            .get("/metrics", page(Self::metrics))
            .get("/status", page(Self::status))
    }

    fn reason_not_ready(&self) -> Option<&'static str> {
        if *self.phase.borrow() != Phase::Running {
            return Some("draining");
        }
        if self.fleet.snapshot.borrow().is_none() || !self.fleet.liveness.is_current() {
            return Some("no confirmed configuration yet");
        }
        if !self.limit.is_ready() {
            return Some("no part of the customers' rates yet");
        }
        None
    }

    fn ready(&self) -> Response {
        let Some(reason) = self.reason_not_ready() else {
            return "ready\n".into_response();
        };
        let mut response = format!("not ready: {reason}\n").into_response();
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
    }

    fn metrics(&self) -> Response {
        let mut response = self.metrics.render().into_response();
        response.headers_mut().insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8"),
        );
        response
    }

    /// The members of the fleet, one row per host.
    fn hosts(&self) -> Vec<Row> {
        let view = self.fleet.view.borrow().clone();
        let row = |(name, member): (&name::Host, &Member)| Row {
            name: name.clone(),
            member: member.clone(),
        };
        view.hosts.iter().map(row).collect()
    }

    fn status(&self) -> Response {
        let status = serde_json::json!({
            "host": self.settings.name,
            "region": self.settings.region,
            "domain": self.settings.domain,
            "phase": *self.phase.borrow(),
            "ready": self.reason_not_ready().is_none(),
            "running": self.metrics.running.get(),
            "limit": self.limit.view(),
            "documents": **self.fleet.status.borrow(),
            "hosts": self.hosts(),
        });
        let mut response = status.to_string().into_response();
        response.headers_mut().insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        response
    }
}
