//! One instance reads the platform's store for others: [`run_source`] asks it, [`wait_for_news`]
//! answers.
//!
//! The question waits at the reader until there is something new, so that followers learn of a
//! configuration as soon as the reader does. A reader whose own reads fail or lag says so, and its
//! followers read the store themselves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;

use crate::digests::before;
use crate::digests::millis;
use crate::edges::Platform;
use crate::feeds;
use crate::peers::call_context;
use crate::peers::linked;
use crate::state::ForwardState;
use banyan_core::ids::InstanceId;
use banyan_core::ids::LogOffset;
use banyan_core::ids::TargetId;
use banyan_core::pipeline::fleet::FleetChange;
use banyan_core::pipeline::fleet::TargetReport;
use banyan_core::pipeline::readers::FeedSource;
use banyan_core::pipeline::readers::MAX_READ_AGE;
use banyan_wire::forward::FeedPosition;
use banyan_wire::forward::FeedUpdate;
use banyan_wire::forward::FleetUpdate;
use banyan_wire::forward::ForwardServiceClient;
use banyan_wire::forward::ForwardWireError;
use banyan_wire::forward::TargetWire;

/// The time for which a question waits at the reader for news.
const NEWS_WAIT: Duration = Duration::from_millis(500);
/// The time that an answer may take beyond that before the reader counts as silent.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);
/// The time between two looks at whether a peer reads the store for this instance.
const SOURCE_PAUSE: Duration = Duration::from_millis(200);

/// Why a reader's news cannot be used.
#[derive(Debug, Error)]
enum NewsError {
    #[error("it did not answer in time")]
    Silent,
    #[error("it does not read the store, or its reads lag")]
    Stale,
    #[error("{0}")]
    Unreadable(#[from] ForwardWireError),
}

/// Decides again and again whether this instance reads the store or asks a peer for news, and asks.
pub async fn run_source<P: Platform>(state: Arc<ForwardState<P>>) {
    let mut link: Option<(SocketAddr, ForwardServiceClient)> = None;
    loop {
        match current_source(&state) {
            FeedSource::Store => {
                set_reading(&state, true);
                tokio::time::sleep(SOURCE_PAUSE).await;
            }
            FeedSource::Peer(peer, address) => {
                let kept = link.take().filter(|(known, _)| *known == address);
                match follow(&state, address, kept.map(|(_, client)| client)).await {
                    Ok(client) => {
                        link = Some((address, client));
                        set_reading(&state, false);
                    }
                    Err(error) => leave_reader(&state, &peer, &error),
                }
            }
        }
    }
}

fn current_source<P>(state: &ForwardState<P>) -> FeedSource {
    let settings = state.settings();
    let tables = state.tables();
    // What is known must be whole before another instance is asked only for what is new.
    if !tables.routes_known || !tables.fleet_known {
        return FeedSource::Store;
    }
    tables.readers.source(&settings.instance, &settings.zone, tables.own_trouble, state.now())
}

fn set_reading<P>(state: &ForwardState<P>, reads: bool) {
    let changed =
        state.reading.send_if_modified(|reading| std::mem::replace(reading, reads) != reads);
    if changed {
        tracing::info!(part = "store", reads, "Whether this instance reads the store has changed.");
    }
}

fn leave_reader<P>(state: &ForwardState<P>, peer: &InstanceId, error: &NewsError) {
    tracing::info!(part = "store", %peer, %error, "A peer gave no news.");
    metrics::counter!("banyan_reader_failures_total").increment(1);
    state.tables().readers.note_failure(peer, state.now());
}

/// Asks a reader once and takes in what it tells.
async fn follow<P: Platform>(
    state: &ForwardState<P>,
    address: SocketAddr,
    link: Option<ForwardServiceClient>,
) -> Result<ForwardServiceClient, NewsError> {
    let limit = NEWS_WAIT + ANSWER_LIMIT;
    let behind = position(state);
    let asking = async {
        let link = linked(address, link).await?;
        let news = link.news(call_context(limit), behind).await.ok()?;
        Some((link, news))
    };
    let answer = tokio::time::timeout(limit, asking).await.ok().flatten();
    let (link, news) = answer.ok_or(NewsError::Silent)?;
    take_news(state, news)?;
    Ok(link)
}

fn position<P>(state: &ForwardState<P>) -> FeedPosition {
    let tables = state.tables();
    FeedPosition {
        configuration: tables.routes.as_ref().map_or(0, |record| record.table.version),
        fleet_next: tables.history.next().map_or(0, |next| next.0),
    }
}

/// What this instance has read behind a position, as soon as there is something or a while has passed.
pub async fn wait_for_news<P>(state: &ForwardState<P>, behind: FeedPosition) -> FeedUpdate {
    let mut changed = state.read_news.subscribe();
    let until = tokio::time::Instant::now() + NEWS_WAIT;
    loop {
        let news = own_news(state, behind);
        let fresh = news.read_age_ms.is_some_and(|age| age < millis(MAX_READ_AGE));
        let told = !news.configuration.is_empty() || news.fleet != FleetUpdate::Changes(Vec::new());
        if !fresh || told || tokio::time::timeout_at(until, changed.changed()).await.is_err() {
            return news;
        }
    }
}

fn own_news<P>(state: &ForwardState<P>, behind: FeedPosition) -> FeedUpdate {
    let now = state.now();
    let tables = state.tables();
    let from = LogOffset(behind.fleet_next);
    let fleet = match tables.history.since(from) {
        Some(changes) => FleetUpdate::Changes(changes.into_iter().map(Into::into).collect()),
        None => {
            FleetUpdate::Listing(tables.history.listed().iter().map(TargetWire::from).collect())
        }
    };
    let newer = tables.routes.as_ref().filter(|record| record.table.version > behind.configuration);
    FeedUpdate {
        read_age_ms: state.read_age(&tables, now).map(millis),
        trouble_age_ms: tables.store_trouble.map(|at| millis(now.since(at))),
        configuration: newer.map_or(Vec::new(), |record| record.bytes.to_vec()),
        fleet,
        fleet_next: tables.history.next().map_or(0, |next| next.0),
    }
}

fn take_news<P: Platform>(state: &ForwardState<P>, news: FeedUpdate) -> Result<(), NewsError> {
    let now = state.now();
    let age = news.read_age_ms.map(Duration::from_millis);
    let age = age.filter(|age| *age < MAX_READ_AGE).ok_or(NewsError::Stale)?;
    if !news.configuration.is_empty() {
        match state.platform.read_configuration(news.configuration.into()) {
            Ok(record) => feeds::put_in_force(state, record),
            Err(error) => tracing::warn!(part = "configuration", %error, "A peer's was not taken."),
        }
    }
    let next = LogOffset(news.fleet_next);
    match news.fleet {
        FleetUpdate::Changes(changes) => {
            let changes: Result<Vec<FleetChange>, _> =
                changes.into_iter().map(TryInto::try_into).collect();
            feeds::put_changes(state, changes?, next);
        }
        FleetUpdate::Listing(listing) => {
            let listing: Result<Vec<(TargetId, TargetReport)>, _> =
                listing.into_iter().map(TryInto::try_into).collect();
            feeds::put_listing(state, listing?.into_iter().collect(), next);
        }
    }
    let mut tables = state.tables();
    tables.fleet_read = before(now, millis(age));
    let trouble = news.trouble_age_ms.map(|age_ms| before(now, age_ms));
    tables.store_trouble = tables.store_trouble.max(trouble);
    drop(tables);
    feeds::settle_fleet(state);
    Ok(())
}
