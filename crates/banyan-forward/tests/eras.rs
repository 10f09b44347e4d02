//! Eras of the store: which answers are usable, and who learns of a return.

use banyan_core::ids::LogOffset;
use banyan_core::ids::StoreEra;
use banyan_core::pipeline::log_position::LogPosition;
use banyan_forward::edges::StoreError;
use banyan_forward::store::eras::EraTracker;
use banyan_forward::store::eras::check_era;

fn position(era: u64, offset: u64) -> LogPosition {
    LogPosition { era: StoreEra(era), offset: LogOffset(offset) }
}

#[test]
fn every_position_of_an_era_comes_after_those_of_earlier_ones() {
    assert!(position(2, 0) > position(1, 900));
    assert!(position(2, 4) > position(2, 3));
    assert_eq!(position(3, 40).to_string(), "3:40");
}

#[test]
fn an_answer_without_an_era_is_of_the_newest_known_one() {
    let eras = EraTracker::default();
    assert_eq!(eras.note(None), StoreEra(0));
    assert_eq!(eras.note(Some(StoreEra(4))), StoreEra(4));
    assert_eq!(eras.note(None), StoreEra(4));
}

#[test]
fn an_answer_that_arrives_late_keeps_its_own_era() {
    let eras = EraTracker::default();
    eras.note(Some(StoreEra(5)));
    assert_eq!(eras.note(Some(StoreEra(4))), StoreEra(4));
    assert_eq!(eras.note(None), StoreEra(5));
}

#[test]
fn an_answer_of_another_era_is_not_used() {
    let from = position(2, 30);
    assert!(check_era(from, StoreEra(2)).is_ok());
    let later = check_era(from, StoreEra(3));
    assert!(matches!(later, Err(StoreError::LaterEra { era: StoreEra(3) })));
    let earlier = check_era(from, StoreEra(1));
    assert!(matches!(earlier, Err(StoreError::EarlierEra { .. })));
}

#[tokio::test(start_paused = true)]
async fn those_that_wait_learn_of_each_later_era_once() {
    let eras = EraTracker::default();
    eras.note(Some(StoreEra(1)));
    let (learned, ()) = tokio::join!(eras.later_than(StoreEra(1)), async {
        tokio::task::yield_now().await;
        eras.note(Some(StoreEra(3)));
    });
    assert_eq!(learned, StoreEra(3));
    let wait = std::time::Duration::from_secs(60);
    assert!(tokio::time::timeout(wait, eras.later_than(StoreEra(3))).await.is_err());
}
