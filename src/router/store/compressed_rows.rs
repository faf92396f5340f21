//! Compressed form of table rows on links between entries.

use std::{
    io::{Read, Write},
    sync::Arc,
    time::Duration,
};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize};

use crate::{
    ids::{Era, Revision, StoreVersion},
    platform::store::{Row, Table, is_first},
    protocol::{Error, Result, decode, encode},
    router::store::table_views::TableUpdate,
};

/// Maximum size of decompressed rows in bytes: ten times the rows of 2,100 servers.
const MAX_DECOMPRESSED: usize = 8 << 20;
/// Maximum size of compressed rows in bytes. A heartbeat may hold all five tables, and links take 16 MiB.
const MAX_COMPRESSED: usize = 2 << 20;

/// Rows of one table, compressed. After an outage of all entries each seed sends all rows to dozens
/// of others at once: 60 KB each for 160 servers, and a sixth of that when compressed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CompressedUpdate {
    table: Table,
    version: Revision,
    store_now: Duration,
    is_whole: bool,
    /// Omitted while the store has never been restored from a backup.
    #[serde(default, skip_serializing_if = "is_first")]
    era: Era,
    /// Whether rows were added that the store lost.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    is_amended: bool,
    rows: Arc<CompressedBytes>,
}

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CompressedBytes(#[serde(with = "serde_bytes")] Vec<u8>);

impl CompressedUpdate {
    /// Compresses the rows of an update. Rows above the limits are held back, since followers could not read them:
    /// the update then can't be decompressed, and followers ask the store.
    pub(crate) fn compress(update: &TableUpdate) -> Self {
        let encoded = encode(&update.rows);
        let is_too_large = encoded.len() > MAX_DECOMPRESSED;
        let rows = if is_too_large { Vec::new() } else { deflate(&encoded) };
        let rows = Some(rows).filter(|rows| rows.len() <= MAX_COMPRESSED).unwrap_or_default();
        Self {
            table: update.table,
            version: update.version.revision,
            store_now: update.store_now,
            is_whole: update.is_whole,
            era: update.version.era,
            is_amended: update.is_amended,
            rows: Arc::new(CompressedBytes(rows)),
        }
    }

    /// Table of the rows.
    pub(crate) fn table(&self) -> Table {
        self.table
    }

    /// Decompresses the update.
    ///
    /// # Errors
    /// When the rows are too large, were held back, or were not compressed by [`CompressedUpdate::compress`].
    pub(crate) fn decompress(&self) -> Result<TableUpdate> {
        if self.rows.0.is_empty() {
            return Err(Error::InvalidFrame(
                "the rows were held back, since they are too large".into(),
            ));
        }
        let mut decompressed = Vec::new();
        let mut decoder = DeflateDecoder::new(&self.rows.0[..]).take(MAX_DECOMPRESSED as u64 + 1);
        decoder.read_to_end(&mut decompressed)?;
        if decompressed.len() > MAX_DECOMPRESSED {
            return Err(Error::InvalidFrame("the rows are too large".into()));
        }
        Ok(TableUpdate {
            table: self.table,
            version: StoreVersion { era: self.era, revision: self.version },
            store_now: self.store_now,
            is_whole: self.is_whole,
            is_amended: self.is_amended,
            rows: decode::<Vec<Row>>(&decompressed)?,
        })
    }
}

fn deflate(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(bytes).and_then(|()| encoder.finish());
    written.expect("writing to memory can't fail")
}
