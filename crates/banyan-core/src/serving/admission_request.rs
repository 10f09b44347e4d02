//! A request that asks to be admitted: [`AdmissionRequest`].

use crate::ids::RequestId;
use crate::ids::WorkspaceId;
use crate::units::Moment;

/// A request for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The request.
    pub request: RequestId,
    /// The workspace that sent it.
    pub workspace: WorkspaceId,
    /// The workspace's weight in fair sharing.
    pub share: u32,
    /// The workspace's priority.
    pub priority: u8,
    /// The most tokens that it may generate. Its workspace is charged for them.
    pub tokens: u64,
    /// The deadline for its end.
    pub deadline: Moment,
}
