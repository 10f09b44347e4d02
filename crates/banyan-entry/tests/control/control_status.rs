//! What an instance tells operators of itself.

use crate::support::start_booking;
use crate::support::start_entries;
use crate::support::start_platform;
use banyan_core::units::Moment;
use banyan_entry::operator::log_status;

#[tokio::test(flavor = "multi_thread")]
async fn a_read_that_ends_while_the_status_is_made_is_no_silence() {
    let platform = start_platform().await;
    let booking = start_booking().await;
    let entries = start_entries(1, platform.address, booking.address).await;
    let folds = entries[0].state.folds.tables();
    // The status takes the time first, and the stream may be read before it looks at the folds.
    let status = log_status(&folds, Moment(0));
    assert_eq!(status.silent_ms, 0);
}
