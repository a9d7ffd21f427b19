//! Model checks that search every ordering of events in small models and run the real decisions of dispatchers and
//! replicas. This crate has only tests, see `tests/checks/`.
