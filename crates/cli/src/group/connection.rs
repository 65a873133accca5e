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

/// A daemon answers within a second, also while the group has no leader.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

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
    pub fn ask(&mut self, request: &Request) -> Result<OperatorResponse, CommandError> {
        let frame = encode_frame(request);
        self.stream
            .write_all(&frame)
            .map_err(CommandError::RequestNotSent)?;
        let mut stream = AssertAsync::new(&mut self.stream);
        block_on(read_frame::<OperatorResponse>(&mut stream)).map_err(CommandError::Response)
    }

    /// The home as a member of its group.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Whether the leader has heard a member within the duration of a lease; `None` where it never did.
    pub fn is_heard(&self, member: &MemberStatus) -> Option<bool> {
        let lease_ms = self.membership.group.lease_ms as i64;
        member
            .since_last_request
            .map(|micros| micros / 1000 <= lease_ms)
    }

    /// A member's name.
    pub fn name(&self, member: MemberId) -> String {
        let mut names = self.membership.group.members.keys();
        let name = names.nth(member.0 as usize).cloned();
        name.unwrap_or_else(|| member.0.to_string())
    }

    /// The names of members, for people.
    pub fn names(&self, members: &[MemberId]) -> String {
        let names: Vec<String> = members.iter().map(|member| self.name(*member)).collect();
        names.join(", ")
    }
}
