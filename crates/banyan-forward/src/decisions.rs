//! Decisions of the daemon: [`tables`] holds what they are based on, [`placement`] plans which
//! engine holds which layers while this instance leads, and [`orders`] sends those orders.

pub mod orders;
pub mod placement;
pub mod tables;
