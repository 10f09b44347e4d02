//! Communication with the other instances over [`peer_link`]: [`rounds`] discovers and calls them,
//! [`answers`] answers their calls, [`digests`] converts between tables and messages, and [`news`]
//! passes on what one instance has read from the platform's store.

pub mod answers;
pub mod digests;
pub mod news;
pub mod peer_link;
pub mod rounds;
