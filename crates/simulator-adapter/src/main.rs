//! Puts marblefall_scheduler's decisions on the simulator's wire: batches of events on standard input, one
//! reply for each on standard output. A line it cannot use ends it with one plain line on standard error.

mod host;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic of the module goes out as `broken`; its usual print would only repeat that.
    std::panic::set_hook(Box::new(|_| {}));
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("marblefall-drill: {cause}");
            ExitCode::FAILURE
        }
    }
}

fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), String> {
    let mut host = host::Host::default();
    let mut text = Vec::new();
    for number in 1u64.. {
        text.clear();
        if input
            .read_until(b'\n', &mut text)
            .map_err(|error| format!("line {number}: {error}"))?
            == 0
        {
            if host.inside_batch() {
                return Err(format!("line {number}: the input ends inside a batch"));
            }
            break;
        }
        let line =
            serde_json::from_slice(&text).map_err(|error| format!("line {number}: {error}"))?;
        if let Some(reply) = host
            .take(line)
            .map_err(|cause| format!("line {number}: {cause}"))?
        {
            output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| e.to_string())?;
        }
    }
    Ok(())
}
