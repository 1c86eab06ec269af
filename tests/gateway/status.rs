//! Answers with a status that no answer may have.

use {
    super::cut,
    crate::common::chat,
    testbed::{client::Call, raw},
};

/// Statuses outside 200 to 599.
const STATUSES: [u16; 5] = [0, 101, 199, 600, 999];

/// Answers with the status that the target or the prompt names.
fn answer(request: &raw::Request) -> raw::Answer {
    let text = format!(
        "{} {}",
        request.target,
        String::from_utf8_lossy(&request.body)
    );
    let named = text.split("status-").nth(1);
    let status = named.and_then(|named| named.get(..3)?.parse().ok());
    raw::Answer {
        status: status.unwrap_or(200),
        ..cut::answer(request)
    }
}

/// Callers got the status as an answer, or one that says that the request has not run.
#[tokio::test]
async fn a_status_that_is_not_valid_becomes_a_failure_that_may_have_run() {
    let (bed, _, hosts) = cut::deployment(answer).await;
    let mut failures = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        for status in STATUSES {
            let name = format!("status-{status:03}");
            let receipt = serde_json::json!({ "text": name });
            let calls = [
                ("idempotent", Call::get(format!("/lookups/{name}"))),
                ("once", Call::post("/receipts", &receipt)),
                ("model", chat(&name, 8, false)),
                ("stream", chat(&name, 8, true)),
            ];
            for (kind, call) in calls {
                let seen = cut::whole(&bed, host, &call).await;
                let is_failure = seen.as_ref().is_some_and(|(status, text)| {
                    *status == 502 && text.contains(r#""ran":"unknown""#)
                });
                if !is_failure {
                    failures.push(format!("host {number} {kind} {name}: {seen:?}"));
                }
                // A failing upstream needs successes to stay in use.
                for sound in [Call::get("/lookups/1"), chat("a question", 8, false)] {
                    cut::whole(&bed, host, &sound).await;
                }
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
