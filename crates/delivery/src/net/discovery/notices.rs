//! Notices of ends to the platform, each sent until it is taken.

use super::{Home, BACKOFF, HEAD};
use crate::core::engine::EngineEvent;
use crate::core::{FinalOutcome, MessageId};
use crate::log_line;
use crate::net::http;
use crate::net::link::{until, Link, Stop};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const NOTICE_PATIENCE: Duration = Duration::from_secs(2);
/// Notices that go out together at most.
const NOTICES: usize = 200;

/// Tells the platform of ends, worded by the front that owes them, each until it is taken.
pub async fn notices(
    mut home: Home,
    owed: Receiver<(MessageId, Vec<u8>, FinalOutcome)>,
    taken: Sender<EngineEvent>,
    word: fn(&[u8], FinalOutcome) -> String,
) {
    let mut kept: Option<Link> = None;
    let mut wait = BACKOFF.0;
    let mut due: Vec<(MessageId, String)> = Vec::new();
    loop {
        let address = home.address;
        let turn = async {
            if due.is_empty() {
                let (seq, id, end) = owed.recv().await.ok()?;
                due.push((seq, word(&id, end)));
            }
            while due.len() < NOTICES {
                let Ok((seq, id, end)) = owed.try_recv() else {
                    break;
                };
                due.push((seq, word(&id, end)));
            }
            let body: String = due.iter().map(|(_, line)| line.as_str()).collect();
            let told = until(
                Instant::now() + NOTICE_PATIENCE,
                tell(&mut kept, address, &body),
            )
            .await;
            let code = match told.unwrap_or(Err(Stop::Late)) {
                Ok(204) => {
                    wait = BACKOFF.0;
                    return Some(true);
                }
                Ok(status) => status.to_string(),
                Err(stop) => stop.code().to_owned(),
            };
            kept = None;
            log_line!(code = %code, "discovery {address}: {} notices not taken", due.len());
            Timer::after(wait).await;
            wait = (wait * 2).min(BACKOFF.1);
            Some(false)
        };
        match home.unless_moved(turn).await {
            Some(None) => return,
            Some(Some(false)) => {}
            Some(Some(true)) => {
                for (seq, _) in due.drain(..) {
                    let _ = taken.send(EngineEvent::NoticeAcknowledged(seq)).await;
                }
            }
            // What is due goes to the new address, also what the old one may have taken: a notice does no harm.
            None => (kept, wait) = (None, BACKOFF.0),
        }
    }
}

/// Tells it over the connection that is kept or a new one, which is kept then if it can be.
async fn tell(kept: &mut Option<Link>, address: SocketAddr, body: &str) -> Result<u16, Stop> {
    let mut link = match kept.take().filter(Link::is_fresh) {
        Some(link) => link,
        None => Link::connect(address).await.map_err(Stop::Broke)?,
    };
    let len = body.len();
    let head = format!("POST /status HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len}\r\n\r\n");
    link.write(head.as_bytes(), body.as_bytes())
        .await
        .map_err(Stop::Broke)?;
    let head = link.head(HEAD).await?;
    let read = http::response(&link.bytes()[..head])?;
    let (status, framing, keeps) = (read.status, read.framing, read.keeps);
    let len = link.body(head, framing, HEAD).await?;
    link.consume(head + len);
    *kept = Some(link).filter(|_| keeps);
    Ok(status)
}
