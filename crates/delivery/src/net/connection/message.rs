//! Functions that read the parts of an HTTP message into the buffer of a connection.

use super::{Connection, ReadError};
use crate::net::http::{self, ChunkedDecoder, DecodeStep, Framing, ParseError};

impl Connection {
    /// Reads the status line of a response and returns its status.
    ///
    /// # Errors
    /// Fails if the connection ends first, or the line is malformed or longer than `max_len` bytes.
    pub async fn read_status_line(&mut self, max_len: usize) -> Result<u16, ReadError> {
        loop {
            if let Some(line) = http::parse_status_line(self.bytes())? {
                return Ok(line.status);
            }
            if self.bytes().len() > max_len {
                return Err(ParseError::HeadTooLarge.into());
            }
            self.fill_head().await?;
        }
    }

    /// Reads until the buffer contains a complete head, and returns the head's length in bytes.
    ///
    /// # Errors
    /// Fails if the connection ends first, or the head is longer than `max_len` bytes.
    pub async fn read_head(&mut self, max_len: usize) -> Result<usize, ReadError> {
        let mut searched = 0;
        loop {
            if let Some(end) = http::head_end(self.bytes(), searched) {
                return if end > max_len {
                    Err(ParseError::HeadTooLarge.into())
                } else {
                    Ok(end)
                };
            }
            searched = self.bytes().len();
            if searched > max_len {
                return Err(ParseError::HeadTooLarge.into());
            }
            self.fill_head().await?;
        }
    }

    /// Reads the body that follows a head of `head_len` bytes. Returns the length of the content, which then directly
    /// follows the head in the buffer.
    ///
    /// # Errors
    /// Fails if the connection ends first, or the body is malformed or longer than `max_len` bytes.
    pub async fn read_body(
        &mut self,
        head_len: usize,
        framing: Framing,
        max_len: usize,
    ) -> Result<usize, ReadError> {
        match framing {
            Framing::Length(len) => self.read_sized_body(head_len, len, max_len).await,
            Framing::Chunked => self.read_chunked_body(head_len, max_len).await,
            Framing::UntilEnd => self.read_body_until_end(head_len, max_len).await,
        }
    }

    async fn read_sized_body(
        &mut self,
        head_len: usize,
        len: usize,
        max_len: usize,
    ) -> Result<usize, ReadError> {
        if len > max_len {
            return Err(ParseError::BodyTooLarge.into());
        }
        while self.bytes().len() - head_len < len {
            self.fill_message().await?;
        }
        Ok(len)
    }

    async fn read_chunked_body(
        &mut self,
        head_len: usize,
        max_len: usize,
    ) -> Result<usize, ReadError> {
        let mut decoder = ChunkedDecoder::default();
        let mut content_len = 0;
        loop {
            match decoder.next(&self.bytes()[head_len + content_len..])? {
                DecodeStep::Done => return Ok(content_len),
                DecodeStep::NeedMore => self.fill_message().await?,
                DecodeStep::Content(len) => content_len += len,
                DecodeStep::Skip(len) => self.remove_bytes(head_len + content_len, len),
            }
            if content_len > max_len {
                return Err(ParseError::BodyTooLarge.into());
            }
        }
    }

    /// Removes `len` bytes at `offset` of the unconsumed bytes, which joins the content of two chunks in place.
    fn remove_bytes(&mut self, offset: usize, len: usize) {
        let start = self.consumed + offset;
        self.buffer.copy_within(start + len..self.filled, start);
        self.filled -= len;
    }

    async fn read_body_until_end(
        &mut self,
        head_len: usize,
        max_len: usize,
    ) -> Result<usize, ReadError> {
        loop {
            if self.bytes().len() - head_len > max_len {
                return Err(ParseError::BodyTooLarge.into());
            }
            if !self.fill().await.map_err(ReadError::Io)? {
                return Ok(self.bytes().len() - head_len);
            }
        }
    }

    /// Reads more bytes of a head. The connection may have received none of it yet.
    async fn fill_head(&mut self) -> Result<(), ReadError> {
        let is_between_messages = self.bytes().is_empty();
        match self.fill_message().await {
            Err(ReadError::Truncated) if is_between_messages => Err(ReadError::Closed),
            filled => filled,
        }
    }

    /// Reads more bytes of a message that has been received in part.
    async fn fill_message(&mut self) -> Result<(), ReadError> {
        match self.fill().await {
            Ok(true) => Ok(()),
            Ok(false) => Err(ReadError::Truncated),
            Err(error) => Err(ReadError::Io(error)),
        }
    }
}
