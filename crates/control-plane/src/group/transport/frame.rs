//! The encoding of frames: the length of the content and its CRC-32, each as four bytes in little-endian order, and then
//! the content in `postcard` format.

use futures_lite::{future, AsyncReadExt};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::{self, ErrorKind};

/// Maximum length of a frame's content in bytes. A manifest with 100,000 destinations fits.
const MAX_LENGTH: usize = 64 << 20;
/// Maximum length in bytes of the content of a frame from a peer that is not known yet.
pub const MAX_HELLO_LENGTH: usize = 16 * 1024;
/// Number of bytes that are read at once.
const READ_SIZE: usize = 16 * 1024;

/// An error of reading a frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection broke or ended.
    #[error("{0}")]
    Connection(#[from] io::Error),
    /// The length of the frame's content exceeds the limit.
    #[error("a frame of {0} bytes, which is too long")]
    TooLong(usize),
    /// The checksum does not match the content.
    #[error("a frame whose checksum does not match its content")]
    Checksum,
    /// The content cannot be decoded.
    #[error("a frame that cannot be decoded")]
    Undecodable(#[source] postcard::Error),
}

impl FrameError {
    /// Returns the reason code for log lines.
    pub(super) fn code(&self) -> &'static str {
        match self {
            FrameError::Connection(_) => "link-failed",
            FrameError::TooLong(_) => "frame-too-long",
            FrameError::Checksum => "frame-corrupted",
            FrameError::Undecodable(_) => "frame-unreadable",
        }
    }
}

/// Encodes a frame.
pub fn encode_frame(content: &impl Serialize) -> Vec<u8> {
    // Encoding cannot fail, because the length of each sequence is known.
    let body = postcard::to_allocvec(content).unwrap_or_default();
    let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// Reads one frame.
///
/// # Errors
/// The connection breaks, or the received bytes are not a valid frame.
pub async fn read_frame<T: DeserializeOwned>(
    stream: &mut (impl AsyncReadExt + Unpin),
) -> Result<T, FrameError> {
    read_frame_up_to(stream, MAX_LENGTH).await
}

/// Reads one frame whose content has at most `max_length` bytes.
///
/// # Errors
/// The connection breaks, the frame is longer, or the received bytes are not a valid frame.
pub async fn read_frame_up_to<T: DeserializeOwned>(
    stream: &mut (impl AsyncReadExt + Unpin),
    max_length: usize,
) -> Result<T, FrameError> {
    let mut length = [0; 4];
    let mut checksum = [0; 4];
    stream.read_exact(&mut length).await?;
    stream.read_exact(&mut checksum).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > max_length {
        return Err(FrameError::TooLong(length));
    }
    let body = read_body(stream, length).await?;
    if crc32fast::hash(&body) != u32::from_le_bytes(checksum) {
        return Err(FrameError::Checksum);
    }
    postcard::from_bytes(&body).map_err(FrameError::Undecodable)
}

/// Reads the content of a frame. Memory is allocated as bytes arrive, so that a false length alone allocates nothing.
async fn read_body(stream: &mut (impl AsyncReadExt + Unpin), length: usize) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let mut part = [0; READ_SIZE];
    while body.len() < length {
        let wanted = (length - body.len()).min(part.len());
        let received = stream.read(&mut part[..wanted]).await?;
        if received == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        body.extend_from_slice(&part[..received]);
        // Reads do not suspend while the peer's bytes arrive as fast as they are read.
        future::yield_now().await;
    }
    Ok(body)
}
