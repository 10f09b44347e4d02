//! Admission control: [`admit`] waits until a request may run and returns an [`AdmissionPermit`].
//!
//! Each model has its own queue in the
//! [`AdmissionTable`](crate::tables::admission_queues::AdmissionTable), so that one model's
//! overload neither delays nor refuses requests for another. A queue's capacity is this instance's
//! share of the requests that the model's engines can run at once.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::refusal::Refusal;
use crate::state::EntryState;
use crate::state::EntryTables;
use banyan_core::event::EventKind;
use banyan_core::ids::ModelId;
use banyan_core::ids::RequestId;
use banyan_core::ids::WorkspaceId;
use banyan_core::serving::admission::AdmissionVerdict;
use banyan_core::serving::admission_request::AdmissionRequest;
use banyan_core::units::Moment;

/// The time past its deadline for which a request stays queued without fair admission.
const UNFAIR_EXTRA_WAIT: Duration = Duration::from_secs(3600);

/// A completion that asks for admission.
#[derive(Clone, Debug)]
pub struct AdmissionOrder {
    /// The request's id.
    pub request: RequestId,
    /// The workspace that sent the request.
    pub workspace: WorkspaceId,
    /// The model, whose queue the request enters.
    pub model: ModelId,
    /// The maximum number of tokens that the request may generate.
    pub tokens: u64,
    /// The time by which the request must have ended.
    pub deadline: Moment,
}

/// Permission to run one request; dropping it frees its place in the queue's capacity.
#[derive(Debug)]
pub struct AdmissionPermit {
    state: Arc<EntryState>,
    order: AdmissionOrder,
}

impl AdmissionPermit {
    /// Gives unused tokens of the request back to its workspace's token limit.
    pub fn settle(&self, used: u64) {
        let order = &self.order;
        let mut tables = self.state.tables();
        if let Some(queue) = tables.admission.queues.get_mut(&order.model) {
            queue.settle(&order.request, used);
        }
        let unused = order.tokens.saturating_sub(used);
        tables.token_limits.give_back(&order.workspace, unused);
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let now = self.state.now();
        end_request(&mut self.state.tables(), &self.order, now);
    }
}

/// Removes a waiting request from its queue when its caller disconnects.
struct WaitGuard<'a> {
    state: &'a EntryState,
    order: &'a AdmissionOrder,
    armed: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let now = self.state.now();
        let mut tables = self.state.tables();
        if let Some(queue) = tables.admission.queues.get_mut(&self.order.model) {
            queue.withdraw(&self.order.request);
        }
        // The request may have been admitted just as its caller disconnected.
        end_request(&mut tables, self.order, now);
    }
}

/// Waits until a request may run, or refuses it.
pub async fn admit(
    state: &Arc<EntryState>,
    order: AdmissionOrder,
) -> Result<AdmissionPermit, Refusal> {
    if let Some(receiver) = offer(state, &order)? {
        wait_for_verdict(state, &order, receiver).await?;
    }
    let name = order.request.to_string();
    state.journal.record(EventKind::Admitted, &name, "", order.workspace.as_str());
    Ok(AdmissionPermit { state: state.clone(), order })
}

/// Runs one round of admission for every model and notifies the requests that were decided.
pub fn run_admission(tables: &mut EntryTables, now: Moment) {
    for queue in tables.admission.queues.values_mut() {
        let round = queue.tick(now);
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
}

fn end_request(tables: &mut EntryTables, order: &AdmissionOrder, now: Moment) {
    tables.waiters.remove(&order.request);
    if let Some(queue) = tables.admission.queues.get_mut(&order.model) {
        queue.release(&order.request, now);
    }
    run_admission(tables, now);
}

/// Charges the request to its workspace's limits and offers it to its model's queue.
fn offer(
    state: &EntryState,
    order: &AdmissionOrder,
) -> Result<Option<oneshot::Receiver<Result<(), Duration>>>, Refusal> {
    let now = state.now();
    let mut tables = state.tables();
    charge_limits(&mut tables, order, now)?;
    let request = admission_request(state, &tables, order);
    let queue = tables.admission.queues.entry(order.model.clone()).or_default();
    match queue.offer(request, now) {
        AdmissionVerdict::Admitted => Ok(None),
        AdmissionVerdict::Refused { retry_after } => {
            refund_limits(&mut tables, order);
            Err(Refusal::Overloaded { retry_after })
        }
        AdmissionVerdict::Queued => {
            let (sender, receiver) = oneshot::channel();
            tables.waiters.insert(order.request.clone(), sender);
            Ok(Some(receiver))
        }
    }
}

/// The request in the form that the queue takes. Without fair admission all requests look alike,
/// whatever their workspace and deadline, so that they are served in order of arrival.
fn admission_request(
    state: &EntryState,
    tables: &EntryTables,
    order: &AdmissionOrder,
) -> AdmissionRequest {
    let fair = state.decisions.fair_admission;
    let spec = tables.declaration.workspaces.get(&order.workspace).filter(|_| fair);
    let (share, priority) = spec.map_or((1, 5), |spec| (spec.share, spec.priority));
    let shared_workspace = || tables.declaration.workspaces.keys().next().cloned();
    let workspace = if fair { None } else { shared_workspace() };
    AdmissionRequest {
        request: order.request.clone(),
        workspace: workspace.unwrap_or_else(|| order.workspace.clone()),
        share,
        priority,
        tokens: order.tokens,
        deadline: if fair { order.deadline } else { order.deadline + UNFAIR_EXTRA_WAIT },
    }
}

fn charge_limits(
    tables: &mut EntryTables,
    order: &AdmissionOrder,
    now: Moment,
) -> Result<(), Refusal> {
    let Some(spec) = tables.declaration.workspaces.get(&order.workspace).cloned() else {
        return Ok(());
    };
    let limit_refusal = |retry_after| Refusal::WorkspaceLimit { retry_after };
    if let Some(limit) = spec.request_limit {
        tables.limits.take(&order.workspace, limit.0, 1, now).map_err(limit_refusal)?;
    }
    let Some(limit) = spec.token_limit else { return Ok(()) };
    if let Err(retry_after) = tables.token_limits.take(&order.workspace, limit.0, order.tokens, now)
    {
        if spec.request_limit.is_some() {
            tables.limits.give_back(&order.workspace, 1);
        }
        return Err(limit_refusal(retry_after));
    }
    Ok(())
}

fn refund_limits(tables: &mut EntryTables, order: &AdmissionOrder) {
    tables.limits.give_back(&order.workspace, 1);
    tables.token_limits.give_back(&order.workspace, order.tokens);
}

async fn wait_for_verdict(
    state: &EntryState,
    order: &AdmissionOrder,
    receiver: oneshot::Receiver<Result<(), Duration>>,
) -> Result<(), Refusal> {
    let mut guard = WaitGuard { state, order, armed: true };
    let verdict = receiver.await;
    match verdict {
        Ok(Ok(())) => {
            guard.armed = false;
            Ok(())
        }
        Ok(Err(retry_after)) => {
            guard.armed = false;
            refund_limits(&mut state.tables(), order);
            Err(Refusal::Overloaded { retry_after })
        }
        Err(_) => Err(Refusal::Overloaded { retry_after: Duration::from_secs(1) }),
    }
}
