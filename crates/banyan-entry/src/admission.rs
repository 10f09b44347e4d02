//! Lets requests in: [`admit`] waits for the core's verdict and gives an [`AdmissionPass`].

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::refusal::Refusal;
use crate::state::EntryState;
use crate::state::EntryTables;
use banyan_core::event::EventKind;
use banyan_core::ids::RequestId;
use banyan_core::ids::WorkspaceId;
use banyan_core::serving::admission::AdmissionRequest;
use banyan_core::serving::admission::AdmissionVerdict;
use banyan_core::units::Moment;

/// Leave to run one request; dropping it makes room for the next.
#[derive(Debug)]
pub struct AdmissionPass {
    state: Arc<EntryState>,
    request: RequestId,
}

impl Drop for AdmissionPass {
    fn drop(&mut self) {
        let now = self.state.now();
        let mut tables = self.state.tables();
        tables.admission.release(&self.request, now);
        tables.waiters.remove(&self.request);
        run_admission(&mut tables, now);
    }
}

/// Forgets a waiting request whose caller went away.
struct WaitGuard<'a> {
    state: &'a EntryState,
    request: &'a RequestId,
    armed: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let mut tables = self.state.tables();
        tables.waiters.remove(self.request);
        tables.admission.withdraw(self.request);
        // The verdict may have crossed with the caller's leaving.
        let now = self.state.now();
        tables.admission.release(self.request, now);
        run_admission(&mut tables, now);
    }
}

/// Waits until a request may run, or refuses it. `tokens` is the most that it may generate.
pub async fn admit(
    state: &Arc<EntryState>,
    request: &RequestId,
    workspace: &WorkspaceId,
    tokens: u64,
    deadline: Moment,
) -> Result<AdmissionPass, Refusal> {
    let now = state.now();
    let receiver = {
        let mut tables = state.tables();
        let spec = tables.declaration.workspaces.get(workspace);
        let (share, priority) = spec.map_or((1, 5), |spec| (spec.share, spec.priority));
        let offer = AdmissionRequest {
            request: request.clone(),
            workspace: workspace.clone(),
            share,
            priority,
            tokens,
            deadline,
        };
        match tables.admission.offer(offer, now) {
            AdmissionVerdict::Admitted => None,
            AdmissionVerdict::Refused { retry_after } => {
                return Err(Refusal::Overloaded { retry_after });
            }
            AdmissionVerdict::Queued => {
                let (sender, receiver) = oneshot::channel();
                tables.waiters.insert(request.clone(), sender);
                Some(receiver)
            }
        }
    };
    if let Some(receiver) = receiver {
        wait(state, request, receiver).await?;
    }
    state.journal.record(EventKind::Admitted, &request.to_string(), "", workspace.as_str());
    Ok(AdmissionPass { state: state.clone(), request: request.clone() })
}

/// Carries out one round of admission.
pub fn run_admission(tables: &mut EntryTables, now: Moment) {
    let round = tables.admission.tick(now);
    for request in round.admitted {
        if let Some(waiter) = tables.waiters.remove(&request) {
            let _ = waiter.send(Ok(()));
        }
    }
    for (request, retry_after) in round.refused {
        if let Some(waiter) = tables.waiters.remove(&request) {
            let _ = waiter.send(Err(retry_after));
        }
    }
}

async fn wait(
    state: &EntryState,
    request: &RequestId,
    receiver: oneshot::Receiver<Result<(), Duration>>,
) -> Result<(), Refusal> {
    let mut guard = WaitGuard { state, request, armed: true };
    let verdict = receiver.await;
    match verdict {
        Ok(Ok(())) => {
            guard.armed = false;
            Ok(())
        }
        Ok(Err(retry_after)) => {
            guard.armed = false;
            Err(Refusal::Overloaded { retry_after })
        }
        Err(_) => Err(Refusal::Overloaded { retry_after: Duration::from_secs(1) }),
    }
}
