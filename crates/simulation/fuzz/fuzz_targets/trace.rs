#![no_main]
libfuzzer_sys::fuzz_target!(|bytes: &[u8]| marblefall_simulation::fuzz_targets::trace(bytes));
