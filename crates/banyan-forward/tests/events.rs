//! Splitting of byte streams into complete events.

use bytes::Bytes;

use banyan_forward::engines::events::EventSplitter;
use banyan_forward::engines::events::EventStreamError;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token-{id}\n\n")
}

fn push(splitter: &mut EventSplitter, text: &str) -> Option<String> {
    let batch = splitter.push(Bytes::copy_from_slice(text.as_bytes())).expect("valid events");
    batch.map(|batch| String::from_utf8_lossy(&batch.bytes).into_owned())
}

#[test]
fn complete_events_are_returned_unchanged() {
    let mut splitter = EventSplitter::default();
    assert_eq!(push(&mut splitter, &event(1)), Some(event(1)));
    assert_eq!(push(&mut splitter, &(event(2) + &event(3))), Some(event(2) + &event(3)));
    assert_eq!(splitter.last_id(), Some(3));
    assert!(!splitter.has_partial());
}

#[test]
fn an_incomplete_event_is_buffered() {
    // An engine may fail in the middle of an event. If the first part were passed on, the caller
    // would join it to the event with which another engine continues.
    let mut splitter = EventSplitter::default();
    let both = event(1) + &event(2);
    for cut in 1..both.len() - 1 {
        let mut splitter = EventSplitter::default();
        let first = push(&mut splitter, &both[..cut]).unwrap_or_default();
        let second = push(&mut splitter, &both[cut..]).unwrap_or_default();
        assert_eq!(first + &second, both, "cut at {cut}");
    }
    assert_eq!(push(&mut splitter, "id: 1\ndata: to"), None);
    assert!(splitter.has_partial());
    assert_eq!(splitter.last_id(), None);
}

#[test]
fn single_bytes_yield_the_same_events() {
    let text: String = (1..=5).map(event).collect();
    let mut splitter = EventSplitter::default();
    let mut passed = String::new();
    for byte in text.as_bytes() {
        let one = std::str::from_utf8(std::slice::from_ref(byte)).expect("ASCII");
        passed += &push(&mut splitter, one).unwrap_or_default();
    }
    assert_eq!(passed, text);
}

#[test]
fn missing_and_repeated_events_are_rejected() {
    let mut splitter = EventSplitter::resuming_after(Some(4));
    assert_eq!(push(&mut splitter, &event(5)), Some(event(5)));
    let skipped = splitter.push(Bytes::from(event(7)));
    assert_eq!(skipped, Err(EventStreamError::OutOfOrder { after: 5, found: 7 }));
    let mut splitter = EventSplitter::resuming_after(Some(4));
    let repeated = splitter.push(Bytes::from(event(4)));
    assert_eq!(repeated, Err(EventStreamError::OutOfOrder { after: 4, found: 4 }));
}

#[test]
fn sound_events_before_a_malformed_one_are_returned_first() {
    // They count as received, so that they have to be passed on before the stream resumes.
    let malformed = [
        ("data: token-4\n\n", EventStreamError::MissingId),
        ("id: 7\n\n", EventStreamError::OutOfOrder { after: 3, found: 7 }),
        ("id: 4\nid: 6\n\n", EventStreamError::OutOfOrder { after: 4, found: 6 }),
    ];
    for (bytes, fault) in malformed {
        let mut splitter = EventSplitter::resuming_after(Some(1));
        let pushed = push(&mut splitter, &(event(2) + &event(3) + bytes + &event(4)));
        assert_eq!(pushed, Some(event(2) + &event(3)));
        assert_eq!(splitter.last_id(), Some(3));
        assert_eq!(splitter.fault(), Some(fault));
        assert_eq!(splitter.push(Bytes::from(event(4))), Err(fault), "nothing follows a fault");
    }
}

#[test]
fn an_event_over_the_size_limit_is_rejected() {
    let mut splitter = EventSplitter::default();
    let piece = Bytes::from(vec![b'x'; 1 << 16]);
    let fault = (0..64).find_map(|_| splitter.push(piece.clone()).err());
    assert_eq!(fault, Some(EventStreamError::TooLong));
}
