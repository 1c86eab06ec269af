//! The operators' HTTP surface.

use {
    super::{Phase, documents},
    crate::{clock::Clock, limit, metric::Metrics, platform::Listing, settings::Settings},
    http::{HeaderValue, StatusCode, header},
    std::sync::Arc,
    tokio::sync::watch,
    viz::{IntoResponse, Request, Response, Router},
};

/// What operators can see of a host.
#[derive(Debug, Clone)]
pub(super) struct View<C: Clock> {
    pub(super) settings: Settings,
    pub(super) metrics: Metrics,
    pub(super) phase: watch::Receiver<Phase>,
    pub(super) documents: documents::Handle,
    pub(super) listing: watch::Receiver<Arc<Listing>>,
    pub(super) limit: limit::Handle<C>,
}

impl<C: Clock> View<C> {
    /// `/healthz`, `/readyz`, `/metrics` and `/status`.
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
            .get("/readyz", page(View::ready))
            .get("/metrics", page(View::metrics))
            .get("/status", page(View::status))
    }

    fn reason_not_ready(&self) -> Option<&'static str> {
        if *self.phase.borrow() != Phase::Running {
            return Some("draining");
        }
        if self.documents.snapshot.borrow().is_none() {
            return Some("no configuration yet");
        }
        if !self.limit.ready() {
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

    fn status(&self) -> Response {
        let status = serde_json::json!({
            "host": self.settings.name,
            "region": self.settings.region,
            "domain": self.settings.domain,
            "phase": *self.phase.borrow(),
            "ready": self.reason_not_ready().is_none(),
            "running": self.metrics.running.get(),
            "limit": self.limit.view(),
            "documents": self.documents.standing(),
            "hosts": self.listing.borrow().hosts,
        });
        let mut response = status.to_string().into_response();
        response.headers_mut().insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        response
    }
}
