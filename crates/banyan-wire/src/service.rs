//! The plain services' interface, over HTTP.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /call/{call}` | runs the call on the JSON body; carries [`SERVICE_REQUEST_ID_HEADER`] |
//! | `GET /health` | 200 while it takes work, 503 while it is leaving |

/// The header that carries our request id to a service.
pub const SERVICE_REQUEST_ID_HEADER: &str = "banyan-request-id";
