//! Service calls: [`run_call`] sends a call until it gets an answer or runs out of attempts.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use smol_str::SmolStr;

use crate::router::KeyDeduplication;
use crate::router::tables::RouterState;
use banyan_wire::platform::ReadReply;

/// The maximum number of attempts of a call.
const ATTEMPT_LIMIT: u32 = 3;
/// The path of the log stream that holds the claimed keys.
const CLAIM_PATH: &str = "/log/naive-claims";
/// The delay before a failed claim append is retried.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A service call received from a caller.
#[derive(Clone, Debug)]
pub(super) struct ServiceCall {
    /// The name of the service.
    pub(super) service: String,
    /// The name of the call within the service.
    pub(super) call: String,
    /// The idempotency key, if the caller sent one.
    pub(super) key: Option<SmolStr>,
    /// The request body.
    pub(super) body: Bytes,
}

/// Runs a call; `None` if there is no answer, which the caller sees as 'not run'.
pub(super) async fn run_call(state: Arc<RouterState>, call: ServiceCall) -> Option<Bytes> {
    let caller_timeout = state.options.caller_timeout;
    // A separate task, so that the answer is stored even if the caller disconnects.
    let task = tokio::spawn(async move { execute_call(&state, &call).await });
    tokio::time::timeout(caller_timeout, task).await.ok()?.ok()?
}

async fn execute_call(state: &RouterState, call: &ServiceCall) -> Option<Bytes> {
    if let Some(key) = &call.key {
        let answer = state.tables().answers.get(key).cloned();
        if answer.is_some() {
            return answer;
        }
        if state.options.keys == KeyDeduplication::LoggedClaims {
            claim_key(state, key).await?;
        }
    }
    for _ in 0..ATTEMPT_LIMIT {
        let answer = send_call(state, call).await;
        if let (Some(key), Some(answer)) = (&call.key, &answer) {
            state.tables().answers.insert(key.clone(), answer.clone());
        }
        if answer.is_some() {
            return answer;
        }
    }
    None
}

/// Sends a call to the next replica; `None` for any kind of failure.
async fn send_call(state: &RouterState, call: &ServiceCall) -> Option<Bytes> {
    let address = state.next_replica(&call.service)?;
    let path = format!("/call/{}", call.call);
    state.client.send(Method::POST, address, &path, call.body.clone()).await.ok()
}

/// Claims a key, retrying failed appends without limit; `None` if the key is already claimed or
/// the claims can't be read.
async fn claim_key(state: &RouterState, key: &SmolStr) -> Option<()> {
    let platform = state.options.platform;
    let claims: ReadReply = state.client.get(platform, CLAIM_PATH).await.ok()?;
    if claims.entries.iter().any(|entry| entry.body == key.as_str()) {
        return None;
    }
    let body = Bytes::from(key.to_string());
    while state.client.send(Method::POST, platform, CLAIM_PATH, body.clone()).await.is_err() {
        state.tables().failed_claims += 1;
        tokio::time::sleep(CLAIM_RETRY_DELAY).await;
    }
    Some(())
}
