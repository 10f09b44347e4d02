//! Tells which statuses the answer to a request may have: [`may_have_status`].

use std::ops::Range;

use http::HeaderMap;
use http::HeaderName;
use http::StatusCode;
use http::header::IF_MODIFIED_SINCE;
use http::header::IF_NONE_MATCH;
use http::header::RANGE;

/// The statuses of final answers. Lower ones are interim, and no class of higher ones is defined.
const FINAL_STATUSES: Range<u16> = 200..600;
/// The header by which a caller accepts changes to what it has in place of the whole.
const ACCEPTED_CHANGES: HeaderName = HeaderName::from_static("a-im");

/// Whether the final answer to a request with these headers may have this status.
///
/// A part of a body, changes to one, or the statement that the caller has it already answer only
/// those who asked for that. Others would take them for the whole. Connections are never upgraded.
pub fn may_have_status(status: StatusCode, asked: &HeaderMap) -> bool {
    let was_asked_for = match status {
        StatusCode::PARTIAL_CONTENT => asked.contains_key(RANGE),
        StatusCode::IM_USED => asked.contains_key(ACCEPTED_CHANGES),
        StatusCode::NOT_MODIFIED => {
            asked.contains_key(IF_NONE_MATCH) || asked.contains_key(IF_MODIFIED_SINCE)
        }
        _ => true,
    };
    was_asked_for && FINAL_STATUSES.contains(&status.as_u16())
}
