//! Cutting streams into whole events.

use bytes::Bytes;

use banyan_forward::events::EventSplitter;
use banyan_forward::events::EventStreamError;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token-{id}\n\n")
}

fn push(splitter: &mut EventSplitter, text: &str) -> Option<String> {
    let batch = splitter.push(Bytes::copy_from_slice(text.as_bytes())).expect("sound events");
    batch.map(|batch| String::from_utf8_lossy(&batch.bytes).into_owned())
}

#[test]
fn whole_events_pass_as_they_come() {
    let mut splitter = EventSplitter::default();
    assert_eq!(push(&mut splitter, &event(1)), Some(event(1)));
    assert_eq!(push(&mut splitter, &(event(2) + &event(3))), Some(event(2) + &event(3)));
    assert_eq!(splitter.last_id(), Some(3));
    assert!(!splitter.has_partial());
}

#[test]
fn a_part_of_an_event_waits_for_its_end() {
    // An engine may stop in the middle of an event; what goes on elsewhere would be joined to it.
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
fn bytes_that_come_one_by_one_make_the_same_events() {
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
fn an_event_out_of_order_is_never_passed_on() {
    let mut splitter = EventSplitter::after(Some(4));
    assert_eq!(push(&mut splitter, &event(5)), Some(event(5)));
    let missing = splitter.push(Bytes::from(event(7)));
    assert_eq!(missing, Err(EventStreamError::OutOfOrder { after: 5, found: 7 }));
    let mut splitter = EventSplitter::after(Some(4));
    let twice = splitter.push(Bytes::from(event(4)));
    assert_eq!(twice, Err(EventStreamError::OutOfOrder { after: 4, found: 4 }));
}

#[test]
fn an_event_without_end_is_refused_before_it_fills_the_memory() {
    let mut splitter = EventSplitter::default();
    let piece = Bytes::from(vec![b'x'; 1 << 16]);
    let fault = (0..64).find_map(|_| splitter.push(piece.clone()).err());
    assert_eq!(fault, Some(EventStreamError::TooLong));
}
