//! Relays before the members' links, which do to what one member says to another what the schedule has.

use super::Fault;
use futures_lite::future::block_on;
use futures_lite::io::AssertAsync;
use marblefall_control_plane::group::transport::{encode_frame, read_frame, Hello};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// What a relay does with what one member says to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Does {
    /// It passes.
    Passes,
    /// All is taken and nothing given on, in either direction.
    Swallows,
    /// Connections end, and none is taken.
    Refuses,
    /// Each piece waits for so many milliseconds.
    Delays(u64),
    /// Each piece of so many bytes waits for a hundredth of a second.
    Throttles(usize),
    /// Connections are cut in the middle of what passes.
    CutsFrames,
}

/// What is done on each way, by the two members' numbers; all else passes.
#[derive(Clone, Debug, Default)]
pub struct Ways {
    does: Arc<Mutex<BTreeMap<(u32, u32), Does>>>,
    passed: Arc<AtomicUsize>,
}

impl Ways {
    /// Sets what is done with what one member says to another.
    pub fn set(&self, from: usize, to: usize, does: Does) {
        let mut all = self.does.lock().unwrap_or_else(PoisonError::into_inner);
        all.insert((from as u32, to as u32), does);
    }

    /// Both ways between some members and others.
    pub fn between(&self, some: &[usize], others: &[usize], does: Does) {
        for (some, other) in some
            .iter()
            .flat_map(|some| others.iter().map(move |other| (*some, *other)))
        {
            if some != other {
                self.set(some, other, does);
                self.set(other, some, does);
            }
        }
    }

    /// All pass again.
    pub fn heal(&self) {
        self.does
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    /// Bytes passed on so far.
    pub fn passed(&self) -> usize {
        self.passed.load(Ordering::SeqCst)
    }

    fn of(&self, from: Option<u32>, to: u32) -> Does {
        let all = self.does.lock().unwrap_or_else(PoisonError::into_inner);
        from.and_then(|from| all.get(&(from, to)).copied())
            .unwrap_or(Does::Passes)
    }
}

/// Starts a relay before a member's link; gives where it listens.
///
/// # Errors
/// Where no port is free.
pub fn start(to: usize, member: SocketAddr, ways: &Ways) -> Result<SocketAddr, Fault> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(Fault::at("a relay's port"))?;
    let at = listener.local_addr().map_err(Fault::at("a relay's port"))?;
    let ways = ways.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let ways = ways.clone();
            thread::spawn(move || drop(pass(stream, to as u32, member, &ways)));
        }
    });
    Ok(at)
}

/// Passes one connection on; who opened it is read from its first frame.
fn pass(mut near: TcpStream, to: u32, member: SocketAddr, ways: &Ways) -> std::io::Result<()> {
    let hello = block_on(read_frame::<Hello>(&mut AssertAsync::new(&mut near)));
    let hello = hello.map_err(|_| ErrorKind::InvalidData)?;
    let from = hello.member().map(|member| member.0);
    let (forth, back) = (ways.clone(), ways.clone());
    let does = move || forth.of(from, to);
    if does() == Does::Refuses {
        return Ok(());
    }
    let mut far = TcpStream::connect(member)?;
    far.set_nodelay(true)?;
    near.set_nodelay(true)?;
    if does() != Does::Swallows {
        far.write_all(&encode_frame(&hello))?;
    }
    let (from_far, to_near) = (far.try_clone()?, near.try_clone()?);
    let counted = back.clone();
    thread::spawn(move || carry(from_far, to_near, || back.of(from, to), &back.passed));
    carry(near, far, does, &counted.passed);
    Ok(())
}

fn carry(mut from: TcpStream, mut to: TcpStream, does: impl Fn() -> Does, passed: &AtomicUsize) {
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    let mut bytes = [0; 4096];
    loop {
        let most = match does() {
            Does::Refuses => break,
            Does::Throttles(most) => most.clamp(1, bytes.len()),
            _ => bytes.len(),
        };
        let got = match from.read(&mut bytes[..most]) {
            Ok(0) => break,
            Ok(got) => got,
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            Err(_) => break,
        };
        match does() {
            Does::Passes => {}
            Does::Swallows => continue,
            Does::Refuses => break,
            Does::Delays(ms) => thread::sleep(Duration::from_millis(ms)),
            Does::Throttles(_) => thread::sleep(Duration::from_millis(10)),
            Does::CutsFrames => {
                let _ = to.write_all(&bytes[..got / 2]);
                break;
            }
        }
        passed.fetch_add(got, Ordering::SeqCst);
        if to.write_all(&bytes[..got]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
