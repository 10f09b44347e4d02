//! Tests of the daemon's control plane: daemons in the test process with stand-ins on loopback.

mod control_checkpoints;
mod control_claims;
mod control_forgotten;
mod control_isolation;
mod control_joining;
mod control_leaving;
mod control_outage;
mod control_peers;
mod control_status;
mod support;
