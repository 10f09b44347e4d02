//! Declaration files: [`validate_files`] and, for the fold over the log, [`merge_files`].
//!
//! Reading goes in three steps: every file into rows as written, checks over the rows of all files,
//! and, only where nothing is wrong, the declaration. The result depends on the texts alone.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::check::check_rows;
use crate::error::DeclarationError;
use crate::reader::ErrorList;
use crate::reader::read_text;
use crate::rows::DeclaredRows;
use crate::rows::ModelRow;
use crate::rows::RoleRow;
use crate::rows::ServiceRow;
use crate::rows::TargetRow;
use crate::rows::WorkspaceRow;
use crate::rows::ZoneRow;
use crate::rows::read_file;
use banyan_core::declaration::Declaration;
use banyan_core::declaration::ModelSpec;
use banyan_core::declaration::ServiceSpec;
use banyan_core::declaration::TargetRole;
use banyan_core::declaration::TargetSpec;
use banyan_core::declaration::WorkspaceSpec;
use banyan_core::declaration::ZoneSpec;
use banyan_core::ids::FileId;
use banyan_core::ids::ModelId;
use banyan_core::ids::ServiceId;
use banyan_core::ids::TargetId;
use banyan_core::ids::WorkspaceId;
use banyan_core::ids::ZoneId;

/// The longest message about invalid files, in bytes, since every instance keeps it in its verdicts.
const MESSAGE_LIMIT_BYTES: usize = 8192;

/// The union of all files, validated, or a text that says what is wrong and how to mend it.
///
/// A pure function of the texts, so that every instance comes to the same verdict.
pub fn merge_files(files: &BTreeMap<FileId, Arc<str>>) -> Result<Declaration, String> {
    validate_files(files).map_err(|errors| bounded_message(&errors))
}

/// The errors, one a line, as far as the limit allows.
fn bounded_message(errors: &[DeclarationError]) -> String {
    let mut message = String::new();
    for error in errors {
        let line = error.to_string();
        if !message.is_empty() {
            message.push('\n');
        }
        if message.len() + line.len() > MESSAGE_LIMIT_BYTES {
            message.push_str("further errors do not fit here; see them all with banyanctl check");
            return message;
        }
        message.push_str(&line);
    }
    message
}

/// The union of all files, validated, or everything that is wrong with it, in order of place.
pub fn validate_files(
    files: &BTreeMap<FileId, Arc<str>>,
) -> Result<Declaration, Vec<DeclarationError>> {
    let mut errors = ErrorList::default();
    let mut rows = DeclaredRows::default();
    for (name, text) in files {
        read_text(&mut errors, name.as_str(), text, |reader, errors| {
            read_file(&mut rows, reader, errors);
        });
    }
    // Rows of a file that is no JSON are missing, so checks over rows would blame the others.
    if !errors.has_syntax_error() {
        check_rows(&rows, &mut errors);
    }
    if !errors.is_empty() {
        return Err(errors.into_errors());
    }
    Ok(build_declaration(rows))
}

/// The declaration of rows in which nothing is wrong; a row that lacks a field is left out, which
/// the checks have ruled out.
fn build_declaration(rows: DeclaredRows) -> Declaration {
    Declaration {
        zones: rows.zones.into_iter().filter_map(zone_entry).collect(),
        workspaces: rows.workspaces.into_iter().filter_map(workspace_entry).collect(),
        models: rows.models.into_iter().filter_map(model_entry).collect(),
        targets: rows.targets.into_iter().filter_map(target_entry).collect(),
        services: rows.services.into_iter().filter_map(service_entry).collect(),
        policy: rows.policy.map(|(_, policy)| policy).unwrap_or_default(),
    }
}

fn zone_entry(row: ZoneRow) -> Option<(ZoneId, ZoneSpec)> {
    Some((row.name?.value, ZoneSpec { region: row.region? }))
}

fn workspace_entry(row: WorkspaceRow) -> Option<(WorkspaceId, WorkspaceSpec)> {
    let spec = WorkspaceSpec {
        token_digests: row.digests.into_iter().map(|(_, digest)| digest.value).collect(),
        share: row.share,
        request_limit: row.request_limit,
        token_limit: row.token_limit,
        priority: row.priority,
    };
    Some((row.name?.value, spec))
}

fn model_entry(row: ModelRow) -> Option<(ModelId, ModelSpec)> {
    let spec =
        ModelSpec { layers: row.layers?, answer_limit: row.answer_limit, handoff: row.handoff };
    Some((row.name?.value, spec))
}

fn target_entry(row: TargetRow) -> Option<(TargetId, TargetSpec)> {
    let role = match row.role? {
        RoleRow::Engine(engine) => TargetRole::Engine {
            model: engine.model?.value,
            layers: engine.layers?.value,
            batch: engine.batch,
            accelerator: engine.accelerator,
            step_time: engine.step_time,
            link_bytes_per_second: engine.link_bytes_per_second,
        },
        RoleRow::Service { service, .. } => TargetRole::Service { service: service.value },
    };
    let spec = TargetSpec {
        address: row.address?.value,
        zone: row.zone?.value,
        role,
        checks_fence: row.checks_fence,
    };
    Some((row.name?.value, spec))
}

fn service_entry(row: ServiceRow) -> Option<(ServiceId, ServiceSpec)> {
    let calls = row.calls.into_iter().map(|(_, call, spec)| (call.value, spec)).collect();
    Some((row.name?.value, ServiceSpec { calls }))
}
