//! A connection to the daemon of a home.

use crate::error::CommandError;
use futures_lite::future::block_on;
use futures_lite::io::AssertAsync;
use marblefall_control_plane::group::transport::{
    encode_frame, read_frame, Hello, OperatorResponse,
};
use marblefall_control_plane::group::Membership;
use marblefall_coordination::identifiers::MemberId;
use marblefall_coordination::node::{MemberStatus, Request};
use std::io::{self, Write};
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;

/// Timeout for a response. A daemon responds within a second, even while the group has no leader.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Microseconds per millisecond.
const MICROS_PER_MS: i64 = 1000;

/// The state of the leader's contact with a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// The leader received a request from the member within the duration of a lease.
    Recent,
    /// The member's last request is older than the duration of a lease.
    Lost,
    /// The leader has never received a request from the member.
    Never,
}

/// A connection to the daemon of a home.
pub struct Connection {
    stream: TcpStream,
    membership: Membership,
}

impl Connection {
    /// Connects to the daemon of a home.
    pub fn open(home: &Path) -> Result<Connection, CommandError> {
        let membership = Membership::read(home)?;
        let membership = membership.ok_or_else(|| CommandError::NoGroup(home.to_owned()))?;
        let address = membership.group.members[&membership.name].link;
        let unreachable = |source: io::Error| CommandError::DaemonUnreachable {
            member: membership.name.clone(),
            address,
            home: home.to_owned(),
            source,
        };
        let stream = TcpStream::connect_timeout(&address, RESPONSE_TIMEOUT).map_err(unreachable)?;
        let timeout = Some(RESPONSE_TIMEOUT);
        stream.set_read_timeout(timeout).map_err(unreachable)?;
        let hello = encode_frame(&Hello::from_operator(&membership.group.name));
        (&stream).write_all(&hello).map_err(unreachable)?;
        Ok(Connection { stream, membership })
    }

    /// Sends a request, and waits for the response.
    pub fn request(&mut self, request: &Request) -> Result<OperatorResponse, CommandError> {
        let frame = encode_frame(request);
        self.stream
            .write_all(&frame)
            .map_err(CommandError::RequestNotSent)?;
        let mut stream = AssertAsync::new(&mut self.stream);
        block_on(read_frame::<OperatorResponse>(&mut stream)).map_err(CommandError::Response)
    }

    /// Returns the home's membership in its group.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the state of the leader's contact with a member.
    pub fn contact(&self, member: &MemberStatus) -> Contact {
        let lease_ms = self.membership.group.lease_ms as i64;
        match member.since_last_request {
            None => Contact::Never,
            Some(micros) if micros / MICROS_PER_MS > lease_ms => Contact::Lost,
            Some(_) => Contact::Recent,
        }
    }

    /// Returns the name of a member, or its number if it has no name.
    pub fn name(&self, member: MemberId) -> String {
        let mut names = self.membership.group.members.keys();
        let name = names.nth(member.0 as usize).cloned();
        name.unwrap_or_else(|| member.0.to_string())
    }

    /// Returns the names of members, separated by commas.
    pub fn names(&self, members: &[MemberId]) -> String {
        let names: Vec<String> = members.iter().map(|member| self.name(*member)).collect();
        names.join(", ")
    }
}
