//! Reads the body of an HTTP message into one buffer.
//!
//! hyper delivers a body in frames, one for each read of the socket or chunk of the message, and each frame
//! keeps alive the read buffer in which it arrived. A body that comes in pieces of a few bytes would
//! therefore take a read buffer for each piece. The bytes are copied out of each frame instead.

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use thiserror::Error;

/// Why a body could not be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[error("body exceeds {max_bytes} bytes")]
    TooLarge {
        /// Maximum length, in bytes.
        max_bytes: usize,
    },
    /// The connection failed, or the body is malformed or truncated.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
}

/// Reads a body of at most `max_bytes` bytes; trailers are dropped. No frame is kept, and the buffer never
/// has a capacity of more than `max_bytes`.
///
/// # Errors
///
/// Returns a [`BodyError`]. A body whose stated length exceeds the maximum is rejected without reading it.
pub async fn read(mut body: Incoming, max_bytes: usize) -> Result<Vec<u8>, BodyError> {
    let stated_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated_bytes > max_bytes {
        return Err(BodyError::TooLarge { max_bytes });
    }
    let mut buffer = Vec::with_capacity(stated_bytes);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if data.len() > max_bytes - buffer.len() {
            return Err(BodyError::TooLarge { max_bytes });
        }
        reserve(&mut buffer, data.len(), max_bytes);
        buffer.extend_from_slice(&data);
    }
    Ok(buffer)
}

/// Makes room for `additional` bytes. At least doubles the capacity, but not beyond `max_bytes`.
fn reserve(buffer: &mut Vec<u8>, additional: usize, max_bytes: usize) {
    let needed = buffer.len() + additional;
    if needed > buffer.capacity() {
        let capacity = needed.max(2 * buffer.capacity()).min(max_bytes);
        buffer.reserve_exact(capacity - buffer.len());
    }
}
