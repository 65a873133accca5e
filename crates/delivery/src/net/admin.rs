//! Where operators call: HTTP/1.1, one call a connection, each answered within a second however the caller
//! behaves. What a call means is the instance's affair, behind [`Operators`]; this file reads and answers.

use super::http;
use super::link::{until, Link, Stop};
use super::server::Spawner;
use crate::log_line;
use async_io::Async;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A call is answered by then from its connection's start: operators' tools want an answer within 1 s, and
/// some callers send nothing, or half a call, and stay.
const ANSWER_BY: Duration = Duration::from_millis(800);
/// The longest call: a head and an endpoint's id.
const MOST: usize = 4 * 1024;

/// What operators ask of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call<'a> {
    /// `GET /ready`: whether it takes clients.
    Ready,
    /// `POST /endpoints/disable` with an endpoint's id as the body: send it nothing new.
    Disable(&'a str),
    /// `POST /endpoints/enable` with the id: it may serve again.
    Enable(&'a str),
    /// `POST /drain`: send clients away.
    Drain,
    /// `POST /undrain`: take clients again.
    Undrain,
}

/// Carries calls out; gives the status to answer with: 2xx is yes, 4xx and 5xx no.
pub trait Operators {
    /// Carries out a call at once.
    fn call(&self, call: Call<'_>) -> u16;
}

/// What a request asks for, or the status that refuses it: 404 for a place that is not one, 405 for a wrong
/// method there, 400 for an id that is empty or not text.
pub fn call<'a>(method: &str, path: &str, body: &'a [u8]) -> Result<Call<'a>, u16> {
    let id = || match std::str::from_utf8(body).map(str::trim) {
        Ok(id) if !id.is_empty() && !id.contains(char::is_whitespace) => Ok(id),
        _ => Err(400),
    };
    let (wanted, call) = match path {
        "/ready" => ("GET", Ok(Call::Ready)),
        "/endpoints/disable" => ("POST", id().map(Call::Disable)),
        "/endpoints/enable" => ("POST", id().map(Call::Enable)),
        "/drain" => ("POST", Ok(Call::Drain)),
        "/undrain" => ("POST", Ok(Call::Undrain)),
        _ => return Err(404),
    };
    if method != wanted {
        return Err(405);
    }
    call
}

/// Accepts operators' connections for ever, each served in a task of its own.
pub async fn listen(listener: Async<TcpListener>, operators: Rc<dyn Operators>, tasks: Spawner) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let operators = operators.clone();
                tasks.spawn(async move {
                    let mut link = Link::new(stream);
                    let by = Instant::now() + ANSWER_BY;
                    let (status, code) =
                        match until(by, read(&mut link)).await.unwrap_or(Err(Stop::Late)) {
                            Ok((head, len)) => answer(
                                &link.bytes()[..head],
                                &link.bytes()[head..head + len],
                                &*operators,
                            ),
                            Err(Stop::Late) => (408, "late"),
                            Err(Stop::Fault(fault)) => (fault.status(), fault.code()),
                            Err(stop) => {
                                let code = stop.code();
                                return log_line!(code, "operators' call ended unanswered");
                            }
                        };
                    let head = format!(
                        "HTTP/1.1 {status} {}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                        http::phrase(status)
                    );
                    let _ = until(by + ANSWER_BY / 4, link.write(head.as_bytes(), b"")).await;
                    log_line!(code, "operators' call answered with {status}");
                });
            }
            Err(error) => {
                log_line!("no operators' connection accepted: {error}");
                async_io::Timer::after(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn read(link: &mut Link) -> Result<(usize, usize), Stop> {
    let head = link.head(MOST).await?;
    let framing = http::request(&link.bytes()[..head])?.framing;
    let len = link.body(head, framing, MOST).await?;
    Ok((head, len))
}

fn answer(head: &[u8], body: &[u8], operators: &dyn Operators) -> (u16, &'static str) {
    let Ok(request) = http::request(head) else {
        return (400, "malformed");
    };
    match call(request.method, request.path, body) {
        Ok(call) => (operators.call(call), "called"),
        Err(status) => (status, "not-a-call"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use async_executor::LocalExecutor;
    use std::cell::RefCell;

    /// Says yes to all, and notes what it was asked.
    #[derive(Default)]
    struct Yes(RefCell<Vec<String>>);

    impl Operators for Yes {
        fn call(&self, call: Call<'_>) -> u16 {
            self.0.borrow_mut().push(format!("{call:?}"));
            200
        }
    }

    async fn status(link: &mut Link) -> u16 {
        let head = link.head(MOST).await.unwrap();
        http::response(&link.bytes()[..head]).unwrap().status
    }

    #[test]
    fn who_sends_nothing_or_half_holds_up_nobody_and_is_answered_itself() {
        let tasks = Rc::new(LocalExecutor::new());
        let spawner = Spawner::new(&tasks);
        async_io::block_on(tasks.run(async {
            let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
            let at = listener.get_ref().local_addr().unwrap();
            let yes = Rc::new(Yes::default());
            spawner
                .clone()
                .spawn(listen(listener, yes.clone(), spawner));
            let mut silent = Link::connect(at).await.unwrap();
            let mut half = Link::connect(at).await.unwrap();
            half.write(
                b"POST /endpoints/disable HTTP/1.1\r\nContent-Length: 8\r\n\r\ns-",
                b"",
            )
            .await
            .unwrap();
            let mut whole = Link::connect(at).await.unwrap();
            whole
                .write(
                    b"POST /endpoints/disable HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-1",
                    b"",
                )
                .await
                .unwrap();
            assert_eq!(status(&mut whole).await, 200);
            assert_eq!(
                *yes.0.borrow(),
                ["Disable(\"s-1\")"],
                "answered while two others wait"
            );
            assert_eq!(status(&mut half).await, 408);
            assert_eq!(status(&mut silent).await, 408);
            let mut wrong = Link::connect(at).await.unwrap();
            wrong
                .write(b"DELETE /ready HTTP/1.1\r\n\r\n", b"")
                .await
                .unwrap();
            assert_eq!(status(&mut wrong).await, 405);
        }));
    }
}
