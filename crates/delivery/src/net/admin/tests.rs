use super::*;
use async_executor::LocalExecutor;
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;

/// Accepts all calls, and records them.
#[derive(Default)]
struct RecordingHandler(RefCell<Vec<String>>);

impl AdminHandler for RecordingHandler {
    fn handle(&self, call: AdminCall<'_>) -> u16 {
        self.0.borrow_mut().push(format!("{call:?}"));
        200
    }
}

async fn read_status(connection: &mut Connection) -> u16 {
    let head = connection.read_head(MAX_LEN).await.unwrap();
    http::response(&connection.bytes()[..head]).unwrap().status
}

/// Runs a test against operators' calls served on loopback.
fn served<F: Future<Output = ()>>(test: impl FnOnce(SocketAddr, Rc<RecordingHandler>) -> F) {
    let tasks = Rc::new(LocalExecutor::new());
    let spawner = Spawner::new(&tasks);
    async_io::block_on(tasks.run(async {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let address = listener.get_ref().local_addr().unwrap();
        let handler = Rc::new(RecordingHandler::default());
        spawner
            .clone()
            .spawn(serve(listener, handler.clone(), spawner));
        test(address, handler).await;
    }));
}

#[test]
fn unfinished_calls_time_out_without_delaying_others() {
    served(|address, handler| async move {
        let mut silent = Connection::connect(address).await.unwrap();
        let mut half = Connection::connect(address).await.unwrap();
        half.write(
            b"POST /endpoints/disable HTTP/1.1\r\nContent-Length: 8\r\n\r\ns-",
            b"",
        )
        .await
        .unwrap();
        let mut whole = Connection::connect(address).await.unwrap();
        whole
            .write(
                b"POST /endpoints/disable HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-1",
                b"",
            )
            .await
            .unwrap();
        assert_eq!(read_status(&mut whole).await, 200);
        assert_eq!(
            *handler.0.borrow(),
            ["Disable(\"s-1\")"],
            "responded to while two others wait"
        );
        assert_eq!(read_status(&mut half).await, 408);
        assert_eq!(read_status(&mut silent).await, 408);
        let mut wrong = Connection::connect(address).await.unwrap();
        wrong
            .write(b"DELETE /ready HTTP/1.1\r\n\r\n", b"")
            .await
            .unwrap();
        assert_eq!(read_status(&mut wrong).await, 405);
    });
}

/// The call was rejected at its head, and its connection closed over the rest: the reset took the response with it.
#[test]
fn call_that_is_too_long_reads_its_response() {
    served(|address, _| async move {
        let mut caller = Connection::connect(address).await.unwrap();
        let body = vec![b'x'; 8 << 20];
        let head = format!(
            "POST /endpoints/disable HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let written = caller.write(head.as_bytes(), &body).await;
        assert!(written.is_ok(), "cut off while sending: {written:?}");
        assert_eq!(read_status(&mut caller).await, 413);
    });
}
