//! The newest configuration record ([`ConfigurationRecord`]), and its compressed form in messages
//! between instances.

use std::io::Read;
use std::io::Write;
use std::sync::Arc;
use std::sync::OnceLock;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use thiserror::Error;

use banyan_core::pipeline::routes::RouteTable;

/// The largest record that is accepted from a peer, in bytes after decompression.
const MAX_RECORD_BYTES: u64 = 32 << 20;

/// Why a compressed record from a peer cannot be used.
#[derive(Debug, Error)]
pub enum CompressedRecordError {
    /// The bytes are not a DEFLATE stream.
    #[error("the record cannot be decompressed ({0}): run the same version on all instances")]
    Malformed(#[from] std::io::Error),
    /// The record exceeds the limit.
    #[error("the record exceeds {MAX_RECORD_BYTES} bytes: remove routes that are not in use")]
    TooLarge,
}

/// The newest configuration record.
#[derive(Clone, Debug)]
pub struct ConfigurationRecord {
    /// The decoded routes and limits.
    pub table: Arc<RouteTable>,
    /// The record as the platform stores it.
    bytes: Bytes,
    /// The record for peers. It is compressed once, when the first peer asks for it.
    compressed: Arc<OnceLock<Vec<u8>>>,
}

impl ConfigurationRecord {
    /// A record that was read from the platform or from a peer.
    pub fn new(table: Arc<RouteTable>, bytes: Bytes) -> Self {
        Self { table, bytes, compressed: Arc::default() }
    }

    /// The record for peers that do not read the platform's store themselves.
    ///
    /// One reader sends it to all instances of its zone at the same time. A record with many
    /// routes would occupy the reader's link longer than the followers wait for it.
    pub fn compressed(&self) -> &[u8] {
        self.compressed.get_or_init(|| {
            compress(&self.bytes).unwrap_or_else(|error| {
                tracing::error!(part = "configuration", %error, "Compressing the record failed.");
                // Peers take an empty record for none, and read the store themselves.
                Vec::new()
            })
        })
    }
}

/// Restores a record that a peer compressed.
pub fn decompress(compressed: &[u8]) -> Result<Bytes, CompressedRecordError> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(compressed).take(MAX_RECORD_BYTES + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MAX_RECORD_BYTES {
        return Err(CompressedRecordError::TooLarge);
    }
    Ok(bytes.into())
}

fn compress(bytes: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}
