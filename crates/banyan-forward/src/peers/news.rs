//! Relay of the platform's data between instances: one instance reads the store for others.
//! [`run_source`] requests updates from the reader, [`wait_for_update`] answers such requests.
//!
//! Requests are long polls: the reader answers as soon as it has newer data, so that followers
//! receive a configuration as soon as the reader does. A reader whose own reads fail or lag reports
//! this, and its followers then read the store themselves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;

use crate::edges::Platform;
use crate::peers::digests::millis;
use crate::peers::peer_link::call_context;
use crate::peers::peer_link::connect_or_reuse;
use crate::state::ForwardState;
use crate::store::configuration_record::ConfigurationRecord;
use crate::store::configuration_record::decompress;
use crate::store::feeds;
use banyan_core::ids::InstanceId;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::fleet::TargetReport;
use banyan_core::pipeline::history::RecordOrigin;
use banyan_core::pipeline::log_position::LogPosition;
use banyan_core::pipeline::readers::FeedRole;
use banyan_core::pipeline::readers::FeedSource;
use banyan_core::pipeline::readers::max_read_age;
use banyan_wire::forward::FeedPosition;
use banyan_wire::forward::FeedUpdate;
use banyan_wire::forward::FleetUpdate;
use banyan_wire::forward::ForwardServiceClient;
use banyan_wire::forward::ForwardWireError;
use banyan_wire::forward::TargetWire;

/// The time for which a request for an update waits at the peer that reads the store.
const UPDATE_WAIT: Duration = Duration::from_millis(500);
/// The time beyond `UPDATE_WAIT` after which the reader counts as unresponsive.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// The time between two checks whether a peer reads the store for this instance.
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Why a reader's update could not be obtained or used.
#[derive(Debug, Error)]
enum UpdateError {
    #[error("the peer did not answer in time")]
    Silent,
    #[error("the peer does not read the store, or its reads lag")]
    Stale,
    #[error("the peer does not know yet that the store came back from a copy")]
    EarlierEra,
    #[error("{0}")]
    Unreadable(#[from] ForwardWireError),
}

/// Determines repeatedly whether this instance reads the store itself or requests updates from a
/// peer, and sends these requests. Runs until the daemon stops.
pub async fn run_source<P: Platform>(state: Arc<ForwardState<P>>) {
    let mut link: Option<(SocketAddr, ForwardServiceClient)> = None;
    loop {
        match current_source(&state) {
            FeedSource::Store => {
                state.tables().followed = None;
                set_role(&state, FeedRole::Reader);
                tokio::time::sleep(SOURCE_CHECK_INTERVAL).await;
            }
            FeedSource::Peer(peer, address) => {
                let existing = link.take().filter(|(known, _)| *known == address);
                match request_update(&state, address, existing.map(|(_, client)| client)).await {
                    Ok(client) => {
                        link = Some((address, client));
                        let role = role_behind(&state, &peer);
                        let follows = role == FeedRole::Follower;
                        state.tables().followed = follows.then_some(peer);
                        set_role(&state, role);
                    }
                    Err(error) => record_reader_failure(&state, &peer, &error),
                }
            }
        }
    }
}

fn current_source<P>(state: &ForwardState<P>) -> FeedSource {
    let settings = state.settings();
    let tables = state.tables();
    // Updates are incremental: the configuration and targets must be known before one can be
    // applied.
    if !tables.configuration_known || !tables.fleet_known {
        return FeedSource::Store;
    }
    let last_failure = tables.own_store_failure_at;
    tables.readers.source(&settings.own_instance(), last_failure, state.now())
}

/// The role of this instance while it asks a peer.
fn role_behind<P>(state: &ForwardState<P>, peer: &InstanceId) -> FeedRole {
    let settings = state.settings();
    state.tables().readers.role_behind(&settings.own_instance(), peer)
}

fn set_role<P>(state: &ForwardState<P>, role: FeedRole) {
    let changed = state.feed_role.send_if_modified(|known| std::mem::replace(known, role) != role);
    if changed {
        let reads = role == FeedRole::Reader;
        tracing::info!(part = "store", reads, ?role, "Switched the source of the platform's data.");
    }
}

fn record_reader_failure<P>(state: &ForwardState<P>, peer: &InstanceId, error: &UpdateError) {
    tracing::info!(part = "store", %peer, %error, "A request to a peer for an update failed.");
    metrics::counter!("banyan_reader_failures_total").increment(1);
    let mut tables = state.tables();
    tables.followed = None;
    tables.readers.note_failure(peer, state.now());
}

/// Sends one request for an update to a reader and applies the answer.
async fn request_update<P: Platform>(
    state: &ForwardState<P>,
    address: SocketAddr,
    link: Option<ForwardServiceClient>,
) -> Result<ForwardServiceClient, UpdateError> {
    let limit = UPDATE_WAIT + ANSWER_MARGIN;
    let position = feed_position(state);
    let call = async {
        let link = connect_or_reuse(address, link).await?;
        let update = link.news(call_context(limit), position).await.ok()?;
        Some((link, update))
    };
    let answer = tokio::time::timeout(limit, call).await.ok().flatten();
    let (link, update) = answer.ok_or(UpdateError::Silent)?;
    apply_update(state, address, update)?;
    Ok(link)
}

/// How far this instance has read the platform's data. Peers pass on only changes, and most reports
/// are none, so the full list is needed to learn which unconfirmed targets have written again.
fn feed_position<P>(state: &ForwardState<P>) -> FeedPosition {
    let tables = state.tables();
    let next = tables.history.next().filter(|_| tables.history.unconfirmed_count() == 0);
    FeedPosition {
        configuration: tables.configuration.as_ref().map_or(0, |record| record.table.version),
        fleet_next: next.map(Into::into),
    }
}

/// The data that this instance has read after a position. Waits for new data for up to
/// `UPDATE_WAIT`, but answers at once if this instance's own reads are outdated.
pub async fn wait_for_update<P>(state: &ForwardState<P>, position: FeedPosition) -> FeedUpdate {
    let mut changed = state.feed_changed.subscribe();
    let deadline = tokio::time::Instant::now() + UPDATE_WAIT;
    loop {
        let update = update_after(state, position);
        let limit = max_read_age(*state.feed_role.borrow());
        let fresh =
            update.read_age_ms.is_some_and(|age| limit.is_some_and(|max| age < millis(max)));
        let has_changes =
            !update.configuration.is_empty() || update.fleet != FleetUpdate::Changes(Vec::new());
        if !fresh
            || has_changes
            || tokio::time::timeout_at(deadline, changed.changed()).await.is_err()
        {
            return update;
        }
    }
}

/// The data that this instance has read after a position.
fn update_after<P>(state: &ForwardState<P>, position: FeedPosition) -> FeedUpdate {
    let now = state.now();
    let tables = state.tables();
    let from = position.fleet_next.map(LogPosition::from);
    let fleet = match from.and_then(|from| tables.history.since(from)) {
        Some(changes) => FleetUpdate::Changes(changes.into_iter().map(Into::into).collect()),
        None => {
            FleetUpdate::Listing(tables.history.listed().iter().map(TargetWire::from).collect())
        }
    };
    let is_newer = |record: &&ConfigurationRecord| record.table.version > position.configuration;
    let newer = tables.configuration.as_ref().filter(is_newer).cloned();
    let read_age_ms = state.read_age(&tables, now).map(millis);
    let fleet_next = tables.history.next().unwrap_or_default().into();
    drop(tables);
    FeedUpdate {
        relayed: *state.feed_role.borrow() == FeedRole::Relay,
        read_age_ms,
        configuration: newer.map_or(Vec::new(), |record| record.compressed().to_vec()),
        fleet,
        fleet_next,
    }
}

/// Activates the configuration in a peer's message, if it contains one.
pub(super) fn activate_peer_configuration<P: Platform>(
    state: &ForwardState<P>,
    address: SocketAddr,
    compressed: &[u8],
) {
    if compressed.is_empty() {
        return;
    }
    let bytes = match decompress(compressed) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::warn!(part = "configuration", %address, %error, "Ignored a peer's configuration.");
            return;
        }
    };
    match state.platform.read_configuration(bytes) {
        Ok(record) => feeds::activate_configuration(state, record),
        Err(error) => {
            tracing::warn!(part = "configuration", %address, %error, "Ignored a peer's configuration.")
        }
    }
}

/// Applies a reader's update, unless its own reads are outdated.
fn apply_update<P: Platform>(
    state: &ForwardState<P>,
    address: SocketAddr,
    update: FeedUpdate,
) -> Result<(), UpdateError> {
    let now = state.now();
    let age = update.read_age_ms.map(Duration::from_millis);
    let sender_role = if update.relayed { FeedRole::Relay } else { FeedRole::Reader };
    let limit = max_read_age(sender_role).unwrap_or_default();
    let age = age.filter(|age| *age < limit).ok_or(UpdateError::Stale)?;
    activate_peer_configuration(state, address, &update.configuration);
    let next = LogPosition::from(update.fleet_next);
    if state.tables().history.next().is_some_and(|known| next.era < known.era) {
        return Err(UpdateError::EarlierEra);
    }
    match update.fleet {
        FleetUpdate::Changes(changes) => {
            let changes: Result<Vec<FleetChange>, _> =
                changes.into_iter().map(TryInto::try_into).collect();
            feeds::apply_changes(state, changes?, next, RecordOrigin::Peer);
        }
        FleetUpdate::Listing(listing) => {
            let listing: Result<Vec<(TargetId, TargetReport)>, _> =
                listing.into_iter().map(TryInto::try_into).collect();
            let listing = listing?.into_iter().collect();
            feeds::apply_listing(state, listing, next, RecordOrigin::Peer);
        }
    }
    let settings = state.settings();
    state.tables().note_fleet_read(now.before(age), &settings);
    feeds::expire_fleet_entries(state);
    Ok(())
}
