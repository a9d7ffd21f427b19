//! Access to the replaced functions of libc: looks them up in the next library in load order.

use std::ffi::CStr;
use std::sync::atomic::{AtomicPtr, Ordering};

/// A function of libc, looked up by name at the first use.
pub(crate) struct RealFunction {
    name: &'static CStr,
    address: AtomicPtr<libc::c_void>,
}

impl RealFunction {
    pub(crate) const fn new(name: &'static CStr) -> RealFunction {
        RealFunction { name, address: AtomicPtr::new(std::ptr::null_mut()) }
    }

    /// Address of the function; aborts the process if it does not exist.
    pub(crate) fn address(&self) -> *mut libc::c_void {
        let known = self.address.load(Ordering::Relaxed);
        if !known.is_null() {
            return known;
        }
        // SAFETY: the name is a C string with static lifetime.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
        if found.is_null() {
            // SAFETY: it has no preconditions. Without the real function the call can't be passed on.
            unsafe { libc::abort() };
        }
        self.address.store(found, Ordering::Relaxed);
        found
    }
}

/// Calls the real function of this name and type.
macro_rules! real {
    ($name:ident($($argument:expr),*): fn($($type:ty),*) -> $result:ty) => {{
        static REAL: crate::real::RealFunction = {
            const NAME: &str = concat!(stringify!($name), "\0");
            match std::ffi::CStr::from_bytes_with_nul(NAME.as_bytes()) {
                Ok(name) => crate::real::RealFunction::new(name),
                Err(_) => panic!("the function name contains a zero byte"),
            }
        };
        type Function = unsafe extern "C" fn($($type),*) -> $result;
        // SAFETY: the address is that of libc's function of this name and type; the caller passed the arguments by the
        // rules of that function.
        unsafe { std::mem::transmute::<*mut libc::c_void, Function>(REAL.address())($($argument),*) }
    }};
}

/// Defines replacements of libc's functions: each fails if the plan says so for its call, or calls the real function.
macro_rules! replace {
    ($($name:ident($($argument:ident: $type:ty),*) -> $result:ty, $call:expr;)*) => {$(
        /// Replaces libc's function of this name.
        ///
        /// # Safety
        /// The same as for libc's function.
        // SAFETY: it has the name and type of libc's function.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($($argument: $type),*) -> $result {
            if crate::session::fails($call) {
                return -1;
            }
            real!($name($($argument),*): fn($($type),*) -> $result)
        }
    )*};
}

pub(crate) use {real, replace};
