//! Small stand-ins for what stands around the system: the platform, model engines and services.
//!
//! Each speaks the protocol that the wire crate documents, takes faults by a control call and keeps
//! the ground truth of what it ran. [`reference`](mod@reference) gives the right answer of the
//! modelled engines without running any.

pub mod reference;
