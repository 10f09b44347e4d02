//! Decisions of the daemon: [`tables`] holds what they are based on, [`leading`] tells whether this
//! instance leads, [`placement`] plans which engine holds which layers, and [`orders`] sends the
//! orders for that. [`admission`] admits requests by priority, and [`waiting`] holds
//! those that wait for room. [`relisting`] tells for how long removed targets stay usable.

pub mod admission;
pub mod leading;
pub mod orders;
pub mod placement;
pub mod relisting;
pub mod tables;
pub mod waiting;
