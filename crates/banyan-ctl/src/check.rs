//! `banyanctl check`: [`check_files`], and what `apply` shares with it.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::sync::Arc;

use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::error::CtlError;
use crate::report::CommandReport;
use crate::report::ExitKind;
use banyan_config::error::DeclarationError;
use banyan_config::validate_files;
use banyan_core::declaration::Declaration;
use banyan_core::ids::FileId;
use banyan_wire::operator::FileWire;

/// A declaration file read from disk.
#[derive(Clone, Debug)]
pub struct LocalFile {
    /// The name it is applied under.
    pub name: FileId,
    /// Its text.
    pub text: Arc<str>,
}

/// One error, as programs read it.
#[derive(Debug, Serialize)]
pub struct ErrorRow {
    /// The file's name.
    pub file: SmolStr,
    /// The line, from one.
    pub line: usize,
    /// The column, from one.
    pub column: usize,
    /// The field's path.
    pub field: SmolStr,
    /// What is wrong, what is allowed, and the remedy.
    pub message: String,
}

/// The result of a check, as programs read it.
#[derive(Debug, Serialize)]
struct CheckResult {
    valid: bool,
    errors: Vec<ErrorRow>,
    workspaces: usize,
    models: usize,
    targets: usize,
    services: usize,
}

/// Checks files together with those that are in force and have other names.
pub fn check_files(local: &[LocalFile], in_force: &[FileWire]) -> CommandReport {
    match validate_files(&union_of(local, in_force)) {
        Ok(declaration) => valid_report(local, &declaration),
        Err(errors) => {
            let result = CheckResult {
                valid: false,
                errors: error_rows(&errors),
                workspaces: 0,
                models: 0,
                targets: 0,
                services: 0,
            };
            CommandReport::new(ExitKind::Refused, error_text(&errors), &result)
        }
    }
}

fn valid_report(local: &[LocalFile], declaration: &Declaration) -> CommandReport {
    let result = CheckResult {
        valid: true,
        errors: Vec::new(),
        workspaces: declaration.workspaces.len(),
        models: declaration.models.len(),
        targets: declaration.targets.len(),
        services: declaration.services.len(),
    };
    let names: Vec<&str> = local.iter().map(|file| file.name.as_str()).collect();
    let text = format!(
        "{}: valid; workspaces {}, models {}, targets {}, services {}",
        names.join(", "),
        result.workspaces,
        result.models,
        result.targets,
        result.services,
    );
    CommandReport::new(ExitKind::Done, text, &result)
}

/// Reads a declaration file; it goes by the name given, or else by the file's own.
pub fn read_local(path: &str, name: Option<&FileId>) -> Result<LocalFile, CtlError> {
    let text = fs::read_to_string(path).map_err(|error| CtlError::FileUnreadable {
        file: SmolStr::new(path),
        reason: error.to_string(),
    })?;
    let own_name = Path::new(path).file_name().map(|name| name.to_string_lossy());
    let name = match name {
        Some(name) => name.clone(),
        None => own_name
            .unwrap_or_default()
            .parse()
            .map_err(|source| CtlError::BadName { file: SmolStr::new(path), source })?,
    };
    Ok(LocalFile { name, text: Arc::from(text) })
}

/// The texts of the files in force, with the local ones in their places.
pub fn union_of(local: &[LocalFile], in_force: &[FileWire]) -> BTreeMap<FileId, Arc<str>> {
    let mut files = BTreeMap::new();
    for file in in_force {
        // A name that an entry has in force was accepted as a name before.
        if let Ok(name) = file.file.parse() {
            files.insert(name, Arc::from(file.text.as_str()));
        }
    }
    for file in local {
        files.insert(file.name.clone(), file.text.clone());
    }
    files
}

/// The errors for people: one a line, and what that means.
pub fn error_text(errors: &[DeclarationError]) -> String {
    let mut lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.push(format!("invalid: {} errors; nothing was changed", errors.len()));
    lines.join("\n")
}

/// The errors for programs.
pub fn error_rows(errors: &[DeclarationError]) -> Vec<ErrorRow> {
    let row = |error: &DeclarationError| ErrorRow {
        file: error.position.file.clone(),
        line: error.position.line,
        column: error.position.column,
        field: error.field.clone(),
        message: format_smolstr!("{}", error.kind).to_string(),
    };
    errors.iter().map(row).collect()
}
