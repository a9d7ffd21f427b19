//! Searches of every ordering in the small, with the decisions that dispatchers and replicas run: tests only, see
//! `tests/checks/`.
