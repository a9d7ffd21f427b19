//! The real functions: those that the next library by load order has.

use std::ffi::CStr;
use std::sync::atomic::{AtomicPtr, Ordering};

/// A function of this name, looked up once.
pub(crate) struct Real {
    name: &'static CStr,
    found: AtomicPtr<libc::c_void>,
}

impl Real {
    pub(crate) const fn new(name: &'static CStr) -> Real {
        Real { name, found: AtomicPtr::new(std::ptr::null_mut()) }
    }

    /// Its address; ends the process if there is none.
    pub(crate) fn address(&self) -> *mut libc::c_void {
        let found = self.found.load(Ordering::Relaxed);
        if !found.is_null() {
            return found;
        }
        // SAFETY: the name is a C string that lives for ever.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
        if found.is_null() {
            // SAFETY: always allowed; there is nothing to go on with.
            unsafe { libc::abort() };
        }
        self.found.store(found, Ordering::Relaxed);
        found
    }
}

/// Calls the real function of this name and type.
macro_rules! real {
    ($name:ident($($argument:expr),*): fn($($type:ty),*) -> $result:ty) => {{
        static REAL: crate::real::Real = {
            const NAME: &str = concat!(stringify!($name), "\0");
            match std::ffi::CStr::from_bytes_with_nul(NAME.as_bytes()) {
                Ok(name) => crate::real::Real::new(name),
                Err(_) => panic!("a name without zeros"),
            }
        };
        type Function = unsafe extern "C" fn($($type),*) -> $result;
        // SAFETY: the address is that of libc's function of this name, whose type this is; the arguments are those that
        // the caller handed in by the function's own rules.
        unsafe { std::mem::transmute::<*mut libc::c_void, Function>(REAL.address())($($argument),*) }
    }};
}

/// Takes the place of a function: it fails if the plan says so for this call, or goes through.
macro_rules! take_place {
    ($($name:ident($($argument:ident: $type:ty),*) -> $result:ty, $call:expr;)*) => {$(
        /// Takes the place of libc's.
        ///
        /// # Safety
        /// As libc's.
        // SAFETY: of the name and type of libc's.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($($argument: $type),*) -> $result {
            if crate::session::fails($call) {
                return -1;
            }
            real!($name($($argument),*): fn($($type),*) -> $result)
        }
    )*};
}

pub(crate) use {real, take_place};
