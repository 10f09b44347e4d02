//! Reads from the platform: the instance list once, the configuration continuously.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::router::tables::RouterState;
use crate::router::tables::RouterTables;
use banyan_config::merge_files;
use banyan_core::ids::FileId;
use banyan_core::ids::LogOffset;
use banyan_core::record::FactBody;
use banyan_core::units::WallMillis;
use banyan_http::client::CallError;
use banyan_wire::checkpoint::decode_configuration;
use banyan_wire::log::decode_entry;
use banyan_wire::platform::InstanceState;
use banyan_wire::platform::InstancesReply;
use banyan_wire::platform::ReadEntry;
use banyan_wire::platform::ReadReply;

/// The delay between two reads of the log.
const READ_INTERVAL: Duration = Duration::from_millis(10);

/// Reads the leaving targets from the instance list; the list is never read again.
pub(super) async fn read_instance_list(state: &RouterState) -> Result<(), CallError> {
    let list: InstancesReply = state.client.get(state.options.platform, "/instances").await?;
    let leaving = list.instances.into_iter().filter(|row| row.state == InstanceState::Leaving);
    state.tables().leaving = leaving.map(|row| row.name).collect();
    Ok(())
}

/// Follows the configuration for as long as the router runs.
pub(super) async fn follow_configuration(state: Arc<RouterState>) {
    loop {
        let path = format!("/log/configuration?from={}", state.tables().next_offset);
        let read: Result<ReadReply, _> = state.client.get(state.options.platform, &path).await;
        if let Ok(reply) = read {
            reply.entries.iter().for_each(|entry| apply_entry(&mut state.tables(), entry));
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

/// Applies the latest proposal or checkpoint without checking its base or coverage.
fn apply_entry(tables: &mut RouterTables, entry: &ReadEntry) {
    let (offset, at) = (LogOffset(entry.offset), WallMillis(entry.at_ms));
    let facts = decode_entry(offset, at, entry.body.as_bytes()).map(|entry| entry.facts);
    for fact in facts.unwrap_or_default() {
        let mut files = tables.files.clone();
        match fact.body {
            FactBody::Proposal { file, text, .. } => {
                files.insert(file, text.into());
            }
            FactBody::Checkpoint { body, .. } => files = checkpoint_files(&body),
            _ => continue,
        }
        if let Ok(declaration) = merge_files(&files) {
            tables.declaration = declaration;
            tables.files = files;
        }
    }
    tables.next_offset = entry.offset + 1;
}

/// Returns the files of a checkpoint that has a single part; empty if it can't be decoded.
fn checkpoint_files(body: &[u8]) -> BTreeMap<FileId, Arc<str>> {
    let files = decode_configuration(body).map(|snapshot| snapshot.files).unwrap_or_default();
    files.into_iter().map(|(file, row)| (file, row.text)).collect()
}
