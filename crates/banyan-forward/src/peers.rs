//! Communication with the other instances over [`peer_link`]: [`rounds`] discovers and calls them,
//! [`answers`] answers their calls, [`digests`] converts between tables and messages, [`news`]
//! passes on what one instance has read from the platform's store, [`crash_alerts`] which
//! requests may crash targets, and [`limit_alerts`] the limits that targets name.

pub mod alerts;
pub mod answers;
pub mod crash_alerts;
pub mod digests;
pub mod limit_alerts;
pub mod members;
pub mod news;
pub mod peer_link;
pub mod rounds;
