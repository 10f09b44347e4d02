//! The plain services' interface, over HTTP.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /call/{call}` | runs the call on the JSON body; carries [`REQUEST_HEADER`] |
//! | `GET /health` | 200 while it takes work, 503 while it is leaving |

/// The header that carries our request id to a service.
pub const REQUEST_HEADER: &str = "banyan-request-id";
