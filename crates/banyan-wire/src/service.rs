//! The HTTP interface of plain services.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /call/{call}` | runs the call on the JSON body; carries [`SERVICE_REQUEST_ID_HEADER`] |
//! | `GET /health` | 200 while it accepts work, 503 while it is leaving |

/// The header with the request's id in a call to a service.
pub const SERVICE_REQUEST_ID_HEADER: &str = "banyan-request-id";
