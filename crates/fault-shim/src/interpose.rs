//! Helpers of the interposed functions: lookup of the original function, and failure with an error number.

use libc::c_int;

/// Sets `errno` and returns -1, the result of a failed call.
pub(crate) fn fail(error: c_int) -> c_int {
    // SAFETY: `errno` is local to the thread and may be written at any time.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Returns the next function with this name in the search order of the dynamic linker, normally the C library's, as a
/// function pointer of the given type.
macro_rules! next_function {
    ($name:ident: $type:ty) => {{
        static NEXT: std::sync::OnceLock<usize> = std::sync::OnceLock::new();
        let address = *NEXT.get_or_init(|| {
            let name = concat!(stringify!($name), "\0");
            // SAFETY: the name ends with a zero byte.
            unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr().cast()) as usize }
        });
        // SAFETY: the C library's function of this name has this type.
        unsafe { std::mem::transmute::<usize, $type>(address) }
    }};
}

pub(crate) use next_function;
