//! Routers that share one retry budget together stay within its bound in every window.

mod late;
mod rules;
mod schedules;
mod world;
