//! Functions that read the parts of an HTTP message into the buffer of a connection.

use super::{Connection, ReadError};
use crate::net::http::{self, ChunkedDecoder, DecodeStep, Framing, ParseError};
use std::ops::Range;

/// Length of the framing of a chunked body that may be in the buffer beside the content, in bytes.
const MAX_CHUNK_FRAMING: usize = 1024;

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
            self.fill_head(max_len).await?;
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
            self.fill_head(max_len).await?;
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
        self.reserve(head_len + len).await?;
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
        self.reserve(head_len + max_len + MAX_CHUNK_FRAMING).await?;
        let mut decoder = ChunkedDecoder::default();
        let mut content_end = head_len;
        // The undecoded bytes start here. The gap before them is what remains of decoded framing.
        let mut undecoded = head_len;
        loop {
            match decoder.next(&self.bytes()[undecoded..])? {
                DecodeStep::Done => {
                    self.remove_bytes(content_end..undecoded);
                    return Ok(content_end - head_len);
                }
                DecodeStep::NeedMore => {
                    self.remove_bytes(content_end..undecoded);
                    undecoded = content_end;
                    self.fill_message().await?;
                }
                DecodeStep::Content(len) => {
                    self.move_bytes(undecoded..undecoded + len, content_end);
                    content_end += len;
                    undecoded += len;
                }
                DecodeStep::Skip(len) => undecoded += len,
            }
            if content_end - head_len > max_len {
                return Err(ParseError::BodyTooLarge.into());
            }
        }
    }

    /// Removes a range of the unconsumed bytes.
    fn remove_bytes(&mut self, range: Range<usize>) {
        self.buffer
            .drain(self.consumed + range.start..self.consumed + range.end);
    }

    /// Copies a range of the unconsumed bytes to an index before it.
    fn move_bytes(&mut self, range: Range<usize>, to: usize) {
        let range = self.consumed + range.start..self.consumed + range.end;
        self.buffer.copy_within(range, self.consumed + to);
    }

    async fn read_body_until_end(
        &mut self,
        head_len: usize,
        max_len: usize,
    ) -> Result<usize, ReadError> {
        self.reserve(head_len + max_len + 1).await?;
        loop {
            if self.bytes().len() - head_len > max_len {
                return Err(ParseError::BodyTooLarge.into());
            }
            if !self.fill().await.map_err(ReadError::Io)? {
                return Ok(self.bytes().len() - head_len);
            }
        }
    }

    /// Reads and discards the body that follows a consumed head.
    ///
    /// # Errors
    /// Fails if the connection ends first, or the body is malformed or longer than `max_len` bytes.
    pub async fn discard_body(
        &mut self,
        framing: Framing,
        max_len: usize,
    ) -> Result<(), ReadError> {
        match framing {
            Framing::Length(len) => self.discard_sized_body(len, max_len).await,
            Framing::Chunked => self.discard_chunked_body(max_len).await,
            Framing::UntilEnd => self.discard_body_until_end(max_len).await,
        }
    }

    async fn discard_sized_body(&mut self, len: usize, max_len: usize) -> Result<(), ReadError> {
        if len > max_len {
            return Err(ParseError::BodyTooLarge.into());
        }
        let mut missing = len;
        loop {
            let received = missing.min(self.bytes().len());
            self.consume(received);
            missing -= received;
            if missing == 0 {
                return Ok(());
            }
            self.fill_message().await?;
        }
    }

    async fn discard_chunked_body(&mut self, max_len: usize) -> Result<(), ReadError> {
        let mut decoder = ChunkedDecoder::default();
        let mut content_len = 0;
        loop {
            match decoder.next(self.bytes())? {
                DecodeStep::Done => return Ok(()),
                DecodeStep::NeedMore => self.fill_message().await?,
                DecodeStep::Content(len) => {
                    content_len += len;
                    self.consume(len);
                }
                DecodeStep::Skip(len) => self.consume(len),
            }
            if content_len > max_len {
                return Err(ParseError::BodyTooLarge.into());
            }
        }
    }

    async fn discard_body_until_end(&mut self, max_len: usize) -> Result<(), ReadError> {
        let mut content_len = 0;
        loop {
            content_len += self.bytes().len();
            self.consume(self.bytes().len());
            if content_len > max_len {
                return Err(ParseError::BodyTooLarge.into());
            }
            if !self.fill().await.map_err(ReadError::Io)? {
                return Ok(());
            }
        }
    }

    /// Reads more bytes of a head of at most `max_len` bytes. The connection may have received none of it yet.
    async fn fill_head(&mut self, max_len: usize) -> Result<(), ReadError> {
        if self.bytes().len() > max_len {
            return Err(ParseError::HeadTooLarge.into());
        }
        if self.free_space() == 0 {
            self.reserve(max_len + 1).await?;
        }
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
