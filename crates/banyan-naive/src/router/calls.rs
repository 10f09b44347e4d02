//! Calls of plain services: [`run_call`] sends a call until it is answered.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use smol_str::SmolStr;

use crate::router::KeyDeduplication;
use crate::router::tables::RouterState;
use banyan_wire::platform::ReadReply;

/// The most tries of a call.
const TRY_LIMIT: u32 = 3;
/// The stream of the log that holds the claimed keys.
const CLAIM_PATH: &str = "/log/naive-claims";
/// The pause before a claim is appended again.
const CLAIM_PAUSE: Duration = Duration::from_millis(10);

/// A call as the caller made it.
#[derive(Clone, Debug)]
pub(super) struct CallOrder {
    /// The service.
    pub(super) service: String,
    /// The call.
    pub(super) call: String,
    /// The idempotency key.
    pub(super) key: Option<SmolStr>,
    /// The body.
    pub(super) body: Bytes,
}

/// Runs a call; nothing where there is no answer, which the caller is told as 'not run'.
pub(super) async fn run_call(state: Arc<RouterState>, order: CallOrder) -> Option<Bytes> {
    let caller_timeout = state.options.caller_timeout;
    // A task of its own, so that the answer is remembered also for a caller that went away.
    let task = tokio::spawn(async move { call(&state, &order).await });
    tokio::time::timeout(caller_timeout, task).await.ok()?.ok()?
}

async fn call(state: &RouterState, order: &CallOrder) -> Option<Bytes> {
    if let Some(key) = &order.key {
        let answer = state.tables().answers.get(key).cloned();
        if answer.is_some() {
            return answer;
        }
        if state.options.keys == KeyDeduplication::LoggedClaims {
            claim(state, key).await?;
        }
    }
    for _ in 0..TRY_LIMIT {
        let answer = send(state, order).await;
        if let (Some(key), Some(answer)) = (&order.key, &answer) {
            state.tables().answers.insert(key.clone(), answer.clone());
        }
        if answer.is_some() {
            return answer;
        }
    }
    None
}

/// Sends a call to the next replica; nothing where it failed, however it failed.
async fn send(state: &RouterState, order: &CallOrder) -> Option<Bytes> {
    let address = state.next_replica(&order.service)?;
    let path = format!("/call/{}", order.call);
    state.client.send(Method::POST, address, &path, order.body.clone()).await.ok()
}

/// Claims a key that nobody has claimed, for as long as it takes; nothing where it is claimed.
async fn claim(state: &RouterState, key: &SmolStr) -> Option<()> {
    let platform = state.options.platform;
    let claims: ReadReply = state.client.get(platform, CLAIM_PATH).await.ok()?;
    if claims.entries.iter().any(|entry| entry.body == key.as_str()) {
        return None;
    }
    let body = Bytes::from(key.to_string());
    while state.client.send(Method::POST, platform, CLAIM_PATH, body.clone()).await.is_err() {
        state.tables().failed_claims += 1;
        tokio::time::sleep(CLAIM_PAUSE).await;
    }
    Some(())
}
