//! What every interposed function needs: the next function of its name, and a way to fail.

use libc::c_int;

/// Sets `errno`, and returns the result of a failed call.
pub(crate) fn fail(error: c_int) -> c_int {
    // SAFETY: the C library gives each thread an `errno` of its own that may be written at any time.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// The function of a name in the next library, as a pointer of the caller's type.
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
