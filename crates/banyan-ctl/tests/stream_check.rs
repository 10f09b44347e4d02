//! A streamed answer counts as whole only with its end event, its count and its checksum.

use banyan_core::record::ContentDigest;
use banyan_ctl::stream_check::StreamFault;
use banyan_ctl::stream_check::check_stream;

fn chunk(text: &str, end: &str) -> String {
    format!("data:{{\"choices\":[{{\"text\":\"{text}\",\"finish_reason\":{end}}}]}}\n\n")
}

fn stream(outcome: &str, tokens: u64, digest_of: &str) -> String {
    let checksum = ContentDigest::of(digest_of.as_bytes());
    let end = format!(
        "{{\"outcome\":\"{outcome}\",\"request_id\":\"r.1\",\"tokens\":{tokens},\
         \"checksum\":\"{checksum}\"}}"
    );
    format!(
        ":\n\n{}{}{}event:banyan\ndata: {end}\n\ndata:[DONE]\n\n",
        chunk("one ", "null"),
        chunk("two ", "null"),
        chunk("", "\"stop\"")
    )
}

#[test]
fn whole_stream_is_whole() {
    let answer = check_stream(&stream("complete", 2, "one two ")).unwrap();
    assert_eq!((answer.text.as_str(), answer.end.tokens), ("one two ", 2));
}

#[test]
fn stream_cut_at_any_byte_is_not_whole() {
    let whole = stream("complete", 2, "one two ");
    for length in 0..whole.len() {
        let fault = check_stream(&whole[..length]).unwrap_err();
        assert!(matches!(fault, StreamFault::NoEnd), "{length}: {fault}");
    }
}

#[test]
fn lost_token_changed_text_and_other_outcome_are_told_apart() {
    let lost = stream("complete", 3, "one two ");
    assert!(matches!(check_stream(&lost), Err(StreamFault::WrongCount { received: 2, sent: 3 })));
    let changed = stream("complete", 2, "one too ");
    assert!(matches!(check_stream(&changed), Err(StreamFault::WrongChecksum { .. })));
    let unknown = stream("unknown", 2, "one two ");
    assert!(matches!(check_stream(&unknown), Err(StreamFault::NotComplete(_))));
    let failed = "event:error\ndata:{\"error\":{\"message\":\"m\",\"type\":\"answer_cut\",\
                  \"outcome\":\"unknown\",\"request_id\":\"r\",\"retry_after_ms\":null}}\n\n";
    assert!(matches!(check_stream(failed), Err(StreamFault::Failed(_))));
}
