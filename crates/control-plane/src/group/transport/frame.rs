//! Frames on a connection: a length and a CRC-32, both of four bytes in little-endian order, then the content as
//! `postcard`.

use futures_lite::AsyncReadExt;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::{self, ErrorKind};

/// The longest frame, in bytes: the manifest of a hundred thousand destinations is shorter.
const MAX_LENGTH: usize = 64 << 20;
/// Bytes that are read at once.
const READ_SIZE: usize = 16 * 1024;

/// Why a frame is not accepted.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection broke or ended.
    #[error("{0}")]
    Connection(#[from] io::Error),
    /// It is longer than any frame.
    #[error("a frame of {0} bytes")]
    TooLong(usize),
    /// Its checksum does not fit.
    #[error("a frame whose checksum does not fit")]
    Checksum,
    /// Its content cannot be decoded.
    #[error("a frame that cannot be read")]
    Undecodable(#[source] postcard::Error),
}

impl FrameError {
    /// The reason code of its log line.
    pub(super) fn code(&self) -> &'static str {
        match self {
            FrameError::Connection(_) => "link-broke",
            FrameError::TooLong(_) => "frame-too-long",
            FrameError::Checksum => "frame-torn",
            FrameError::Undecodable(_) => "frame-unreadable",
        }
    }
}

/// A frame as it is sent.
pub fn encode_frame(content: &impl Serialize) -> Vec<u8> {
    // Cannot fail: the length of each sequence is known.
    let body = postcard::to_allocvec(content).unwrap_or_default();
    let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// Reads one frame.
///
/// # Errors
/// Where the connection breaks, or what is received is no frame.
pub async fn read_frame<T: DeserializeOwned>(
    stream: &mut (impl AsyncReadExt + Unpin),
) -> Result<T, FrameError> {
    let mut length = [0; 4];
    let mut checksum = [0; 4];
    stream.read_exact(&mut length).await?;
    stream.read_exact(&mut checksum).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_LENGTH {
        return Err(FrameError::TooLong(length));
    }
    let body = read_body(stream, length).await?;
    if crc32fast::hash(&body) != u32::from_le_bytes(checksum) {
        return Err(FrameError::Checksum);
    }
    postcard::from_bytes(&body).map_err(FrameError::Undecodable)
}

/// Memory is allocated as bytes are received: a length alone costs nothing.
async fn read_body(stream: &mut (impl AsyncReadExt + Unpin), length: usize) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let mut part = [0; READ_SIZE];
    while body.len() < length {
        let want = (length - body.len()).min(part.len());
        let received = stream.read(&mut part[..want]).await?;
        if received == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        body.extend_from_slice(&part[..received]);
    }
    Ok(body)
}
