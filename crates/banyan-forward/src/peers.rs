//! Communication with the other instances over [`peer_link`]: [`rounds`] discovers and calls them,
//! [`answers`] answers their calls, [`digests`] converts between tables and messages, [`news`]
//! passes on what one instance has read from the platform's store, and [`crash_alerts`] which
//! requests may crash targets.

pub mod answers;
pub mod crash_alerts;
pub mod digests;
pub mod news;
pub mod peer_link;
pub mod rounds;
