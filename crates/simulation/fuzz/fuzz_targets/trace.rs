#![no_main]
libfuzzer_sys::fuzz_target!(|bytes: &[u8]| marblefall_simulation::bodies::trace(bytes));
