//! Checks over the rows of all files together: [`check_rows`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Display;

use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::error::DeclarationErrorKind;
use crate::layers::ChainFault;
use crate::layers::find_faults;
use crate::reader::ErrorList;
use crate::reader::Placed;
use crate::reader::TextPlace;
use crate::rows::DeclaredRows;
use crate::rows::EngineRow;
use crate::rows::ModelRow;
use crate::rows::RoleRow;
use crate::rows::TargetRow;
use banyan_core::ids::CallId;
use banyan_core::ids::LayerRange;
use banyan_core::ids::ModelId;
use banyan_core::ids::ServiceId;
use banyan_core::ids::ZoneId;

/// The most names that an error lists as allowed.
const LISTED_NAMES: usize = 12;

/// Notes every duplicate id, address and digest, every reference to nothing, and every model whose
/// layers its targets do not cover.
pub(crate) fn check_rows(rows: &DeclaredRows, errors: &mut ErrorList<'_>) {
    check_ids(rows, errors);
    check_digests(rows, errors);
    check_addresses(rows, errors);
    check_references(rows, errors);
    check_layers(rows, errors);
}

fn check_ids(rows: &DeclaredRows, errors: &mut ErrorList<'_>) {
    let zones = rows.zones.iter().map(|row| (&row.name, row.index));
    check_unique("availability zone", "zones", zones, errors);
    let workspaces = rows.workspaces.iter().map(|row| (&row.name, row.index));
    check_unique("workspace", "workspaces", workspaces, errors);
    let models = rows.models.iter().map(|row| (&row.name, row.index));
    check_unique("model", "models", models, errors);
    let targets = rows.targets.iter().map(|row| (&row.name, row.index));
    check_unique("target", "targets", targets, errors);
    let services = rows.services.iter().map(|row| (&row.name, row.index));
    check_unique("service", "services", services, errors);
    for row in &rows.services {
        let mut seen: BTreeMap<&CallId, TextPlace> = BTreeMap::new();
        for (index, call, _) in &row.calls {
            let field = || format!("services[{}].calls[{index}].name", row.index);
            note_duplicate("call", &mut seen, call, field, errors);
        }
    }
}

fn check_unique<'r, T: Display + Ord + 'r>(
    kind: &'static str,
    section: &str,
    names: impl Iterator<Item = (&'r Option<Placed<T>>, usize)>,
    errors: &mut ErrorList<'_>,
) {
    let mut seen = BTreeMap::new();
    for (name, index) in names {
        if let Some(name) = name {
            let field = || format!("{section}[{index}].name");
            note_duplicate(kind, &mut seen, name, field, errors);
        }
    }
}

fn note_duplicate<'r, T: Display + Ord>(
    kind: &'static str,
    seen: &mut BTreeMap<&'r T, TextPlace>,
    name: &'r Placed<T>,
    field: impl FnOnce() -> String,
    errors: &mut ErrorList<'_>,
) {
    let Some(first) = seen.get(&name.value) else {
        seen.insert(&name.value, name.place);
        return;
    };
    let first = errors.position(*first);
    let text = format_smolstr!("{}", name.value);
    errors.add(name.place, field(), DeclarationErrorKind::DuplicateId { kind, name: text, first });
}

fn check_digests(rows: &DeclaredRows, errors: &mut ErrorList<'_>) {
    let mut seen: BTreeMap<&SmolStr, TextPlace> = BTreeMap::new();
    for row in &rows.workspaces {
        for (index, digest) in &row.digests {
            let Some(first) = seen.insert(&digest.value, digest.place) else { continue };
            let first = errors.position(first);
            let field = format!("workspaces[{}].token_digests[{index}]", row.index);
            errors.add(digest.place, field, DeclarationErrorKind::DigestInUse { first });
        }
    }
}

fn check_addresses(rows: &DeclaredRows, errors: &mut ErrorList<'_>) {
    let mut seen = BTreeMap::new();
    for row in &rows.targets {
        let Some(address) = row.address else { continue };
        let Some(first) = seen.insert(address.value, address.place) else { continue };
        let first = errors.position(first);
        let kind = DeclarationErrorKind::AddressInUse { address: address.value, first };
        errors.add(address.place, format!("targets[{}].address", row.index), kind);
    }
}

fn check_references(rows: &DeclaredRows, errors: &mut ErrorList<'_>) {
    let zones: BTreeSet<&ZoneId> =
        rows.zones.iter().filter_map(|row| Some(&row.name.as_ref()?.value)).collect();
    let models: BTreeSet<&ModelId> =
        rows.models.iter().filter_map(|row| Some(&row.name.as_ref()?.value)).collect();
    let mut services: BTreeMap<&ServiceId, BTreeSet<&CallId>> = BTreeMap::new();
    for row in &rows.services {
        let Some(name) = &row.name else { continue };
        services.insert(&name.value, row.calls.iter().map(|(_, call, _)| &call.value).collect());
    }
    for row in &rows.targets {
        if let Some(zone) = row.zone.as_ref().filter(|zone| !zones.contains(&zone.value)) {
            let kind = DeclarationErrorKind::UnknownZone {
                name: format_smolstr!("{}", zone.value),
                known: listed(zones.iter()),
            };
            errors.add(zone.place, format!("targets[{}].zone", row.index), kind);
        }
        match &row.role {
            Some(RoleRow::Engine(engine)) => check_model(row, engine, &models, errors),
            Some(RoleRow::Service { service, calls, place }) => {
                check_service(row, service, calls.as_deref(), *place, &services, errors);
            }
            None => {}
        }
    }
}

fn check_model(
    row: &TargetRow,
    engine: &EngineRow,
    models: &BTreeSet<&ModelId>,
    errors: &mut ErrorList<'_>,
) {
    let Some(model) = engine.model.as_ref().filter(|model| !models.contains(&model.value)) else {
        return;
    };
    let kind = DeclarationErrorKind::UnknownModel {
        name: format_smolstr!("{}", model.value),
        known: listed(models.iter()),
    };
    errors.add(model.place, format!("targets[{}].engine.model", row.index), kind);
}

fn check_service(
    row: &TargetRow,
    service: &Placed<ServiceId>,
    calls: Option<&[(usize, Placed<CallId>)]>,
    place: TextPlace,
    services: &BTreeMap<&ServiceId, BTreeSet<&CallId>>,
    errors: &mut ErrorList<'_>,
) {
    let name = format_smolstr!("{}", service.value);
    let Some(known) = services.get(&service.value) else {
        let kind = DeclarationErrorKind::UnknownService { name, known: listed(services.keys()) };
        errors.add(service.place, format!("targets[{}].service", row.index), kind);
        return;
    };
    let Some(calls) = calls else { return };
    for (index, call) in calls.iter().filter(|(_, call)| !known.contains(&call.value)) {
        let kind = DeclarationErrorKind::UnknownCall {
            service: name.clone(),
            name: format_smolstr!("{}", call.value),
            known: listed(known.iter()),
        };
        errors.add(call.place, format!("targets[{}].calls[{index}]", row.index), kind);
    }
    let given: BTreeSet<&CallId> = calls.iter().map(|(_, call)| &call.value).collect();
    for call in known.difference(&given) {
        let kind = DeclarationErrorKind::MissingCall {
            service: name.clone(),
            name: format_smolstr!("{call}"),
        };
        errors.add(place, format!("targets[{}].calls", row.index), kind);
    }
}

/// The ranges of one model, each with the first target row that declares it.
#[derive(Default)]
struct ModelRanges {
    ranges: BTreeMap<LayerRange, (TextPlace, usize)>,
    /// Whether a range could not be read, so that nothing can be said about the chain.
    doubtful: bool,
}

fn check_layers(rows: &DeclaredRows, errors: &mut ErrorList<'_>) {
    let mut by_model: BTreeMap<&ModelId, ModelRanges> = BTreeMap::new();
    for row in &rows.targets {
        let Some(RoleRow::Engine(engine)) = &row.role else { continue };
        let Some(model) = &engine.model else { continue };
        let entry = by_model.entry(&model.value).or_default();
        match &engine.layers {
            Some(layers) => {
                entry.ranges.entry(layers.value).or_insert((layers.place, row.index));
            }
            None => entry.doubtful = true,
        }
    }
    for row in &rows.models {
        let Some(name) = &row.name else { continue };
        let Some(layers) = row.layers else { continue };
        check_chain(row, name, layers, by_model.get(&name.value), errors);
    }
}

fn check_chain(
    row: &ModelRow,
    name: &Placed<ModelId>,
    layers: u32,
    entry: Option<&ModelRanges>,
    errors: &mut ErrorList<'_>,
) {
    let model = format_smolstr!("{}", name.value);
    let last = layers - 1;
    let Some(entry) = entry else {
        let kind = DeclarationErrorKind::ModelWithoutTargets { model, last };
        errors.add(name.place, format!("models[{}].name", row.index), kind);
        return;
    };
    let mut past_end = false;
    for (range, (place, target)) in entry.ranges.iter().filter(|(range, _)| range.end > layers) {
        past_end = true;
        let kind =
            DeclarationErrorKind::LayersPastEnd { model: model.clone(), layers: *range, last };
        errors.add(*place, format!("targets[{target}].engine.layers"), kind);
    }
    if past_end || entry.doubtful {
        return;
    }
    let ranges: BTreeSet<LayerRange> = entry.ranges.keys().copied().collect();
    for (range, fault) in find_faults(&ranges, layers) {
        let Some((place, target)) = entry.ranges.get(&range) else { continue };
        let model = model.clone();
        let kind = match fault {
            ChainFault::Gap { gap } => {
                DeclarationErrorKind::LayerGap { model, layers: range, gap, last }
            }
            ChainFault::Overlap { other, overlap } => {
                DeclarationErrorKind::LayerOverlap { model, layers: range, other, overlap, last }
            }
        };
        errors.add(*place, format!("targets[{target}].engine.layers"), kind);
    }
}

/// The first names of a set, for an error.
fn listed<T: Display>(names: impl ExactSizeIterator<Item = T>) -> SmolStr {
    let count = names.len();
    if count == 0 {
        return SmolStr::new_static("none is declared");
    }
    let shown: Vec<String> = names.take(LISTED_NAMES).map(|name| name.to_string()).collect();
    let mut text = shown.join(", ");
    if count > LISTED_NAMES {
        text.push_str(&format!(" and {} more", count - LISTED_NAMES));
    }
    SmolStr::from(text)
}
