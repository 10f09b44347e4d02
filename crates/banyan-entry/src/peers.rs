//! The other instances: [`PeerTable`].

use std::collections::BTreeMap;

use banyan_core::ids::InstanceId;
use banyan_core::ids::Revision;
use banyan_core::units::Moment;

/// The other instances as this one sees them.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    /// The rows by instance.
    pub rows: BTreeMap<InstanceId, PeerRow>,
}

/// One other instance.
#[derive(Clone, Debug, Default)]
pub struct PeerRow {
    /// Where it is reached.
    pub address: Option<std::net::SocketAddr>,
    /// When it was last heard.
    pub heard: Option<Moment>,
    /// The revision in force there, as it last said.
    pub revision: Revision,
    /// Whether it is draining or listed as leaving.
    pub leaving: bool,
}
