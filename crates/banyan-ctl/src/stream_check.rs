//! Whether a streamed answer arrived whole: [`check_stream`].

use serde::Deserialize;
use smol_str::SmolStr;
use thiserror::Error;

use banyan_core::record::ContentDigest;
use banyan_wire::caller::ErrorReply;
use banyan_wire::caller::OutcomeWire;
use banyan_wire::caller::StreamEnd;

/// The line that ends a stream.
const DONE: &str = "[DONE]";

/// An answer that arrived whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WholeAnswer {
    /// The text.
    pub text: String,
    /// What the stream's end says, which the text agrees with.
    pub end: StreamEnd,
}

/// Why an answer is not whole.
#[derive(Clone, Debug, Error)]
pub enum StreamFault {
    /// The stream ends in an explicit error.
    #[error("the stream ended in an error: {}", .0.error.message)]
    Failed(Box<ErrorReply>),
    /// The stream has no end event, or no closing line behind it.
    #[error("the stream stopped without its end: take the answer as cut and ask again")]
    NoEnd,
    /// An event is not what the protocol says.
    #[error("the event '{text}' is not understood: check the versions of both sides")]
    Malformed {
        /// The event's data.
        text: SmolStr,
    },
    /// The end event's outcome is another one.
    #[error("the stream's end says {0} instead of complete: ask again")]
    NotComplete(OutcomeWire),
    /// The number of tokens differs.
    #[error("{received} tokens arrived, but the end says {sent}: take the answer as cut")]
    WrongCount {
        /// How many arrived.
        received: u64,
        /// How many were sent.
        sent: u64,
    },
    /// The text differs.
    #[error("the text's digest is {received}, but the end says {sent}: take it as damaged")]
    WrongChecksum {
        /// The digest of what arrived.
        received: SmolStr,
        /// The digest of what was sent.
        sent: SmolStr,
    },
}

/// The part of a chunk that matters here.
#[derive(Debug, Deserialize)]
struct ChunkText {
    choices: Vec<ChoiceText>,
}

/// One choice of a chunk.
#[derive(Debug, Deserialize)]
struct ChoiceText {
    text: SmolStr,
    finish_reason: Option<SmolStr>,
}

/// Reads a stream of server-sent events of `/v1/completions` and checks it against its end event.
pub fn check_stream(stream: &str) -> Result<WholeAnswer, StreamFault> {
    let mut text = String::new();
    let mut tokens = 0;
    let mut end: Option<StreamEnd> = None;
    let mut is_done = false;
    // Whatever follows the last blank line is an event that did not arrive whole.
    let whole = stream.rfind("\n\n").map_or("", |at| &stream[..at]);
    for event in whole.split("\n\n") {
        let (name, data) = event_parts(event);
        match name {
            "" if data.is_empty() => {}
            "" if data == DONE => is_done = true,
            "" => tokens += add_chunk(&mut text, data)?,
            "banyan" => end = Some(decode(data)?),
            "error" => return Err(StreamFault::Failed(Box::new(decode(data)?))),
            _ => return Err(malformed(data)),
        }
    }
    let end = end.filter(|_| is_done).ok_or(StreamFault::NoEnd)?;
    check_end(&end, &text, tokens)?;
    Ok(WholeAnswer { text, end })
}

fn check_end(end: &StreamEnd, text: &str, tokens: u64) -> Result<(), StreamFault> {
    if end.outcome != OutcomeWire::Complete {
        return Err(StreamFault::NotComplete(end.outcome));
    }
    if end.tokens != tokens {
        return Err(StreamFault::WrongCount { received: tokens, sent: end.tokens });
    }
    let received = smol_str::format_smolstr!("{}", ContentDigest::of(text.as_bytes()));
    if received != end.checksum {
        return Err(StreamFault::WrongChecksum { received, sent: end.checksum.clone() });
    }
    Ok(())
}

/// The name and data of an event; both are empty for a comment that keeps the connection alive.
fn event_parts(event: &str) -> (&str, &str) {
    let field = |name: &str| {
        let value = event.lines().find_map(|line| line.strip_prefix(name));
        value.map(|value| value.strip_prefix(' ').unwrap_or(value)).unwrap_or_default()
    };
    (field("event:"), field("data:"))
}

/// Adds the text of a chunk and gives the number of tokens in it: none for the closing chunk.
fn add_chunk(text: &mut String, data: &str) -> Result<u64, StreamFault> {
    let chunk: ChunkText = decode(data)?;
    let mut tokens = 0;
    for choice in &chunk.choices {
        text.push_str(&choice.text);
        tokens += u64::from(choice.finish_reason.is_none());
    }
    Ok(tokens)
}

fn decode<T: for<'de> Deserialize<'de>>(data: &str) -> Result<T, StreamFault> {
    serde_json::from_str(data).map_err(|_| malformed(data))
}

fn malformed(data: &str) -> StreamFault {
    StreamFault::Malformed { text: SmolStr::new(data) }
}
