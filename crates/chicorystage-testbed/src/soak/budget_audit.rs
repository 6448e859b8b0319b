use std::fmt;

/// Bound on repeated arrivals at a service, over all gateways.
#[derive(Clone, Copy, Debug)]
pub struct BudgetBound {
    /// Repeated arrivals allowed per request.
    pub ratio: f64,
    /// Repeated arrivals allowed in each window beyond that.
    pub allowance: f64,
    /// Length of the window in milliseconds.
    pub window_ms: u64,
}

/// Repeated arrivals within one window, and how many are allowed there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WindowUsage {
    /// Start of the window in milliseconds.
    pub from_ms: u64,
    /// Arrivals beyond the first of each request.
    pub repeats: usize,
    /// Repeated arrivals that are allowed.
    pub allowed: f64,
}

/// Repeated arrivals at one service over a whole run.
#[derive(Clone, Debug)]
pub struct BudgetAudit {
    /// Name of the service.
    pub service: String,
    /// Requests that callers sent to the service.
    pub requests: usize,
    /// Requests that endpoints received, repeats included.
    pub arrivals: usize,
    /// Arrivals beyond the first of each request.
    pub repeats: usize,
    /// Window with the most repeated arrivals beyond those allowed.
    pub worst: WindowUsage,
}

impl BudgetBound {
    /// Returns the window in which repeated arrivals exceed the allowed number by most.
    ///
    /// Both lists are sorted. Requests are counted in the window, the one before it or the one half
    /// a window before it, whichever has most.
    #[must_use]
    pub fn worst_window(&self, requests_ms: &[u64], repeats_ms: &[u64]) -> WindowUsage {
        // Counts change only where a repeat or a counted request enters or leaves a window.
        let of_repeats = repeats_ms.iter().flat_map(|at_ms| {
            let at_ms = *at_ms;
            [(at_ms + 1).saturating_sub(self.window_ms), at_ms]
        });
        let of_requests = requests_ms.iter().flat_map(|at_ms| {
            [0, self.window_ms / 2, self.window_ms].map(|earlier_ms| {
                let at_ms = at_ms + earlier_ms;
                [at_ms.saturating_sub(self.window_ms), at_ms + 1]
            })
        });
        of_repeats
            .chain(of_requests.flatten())
            .map(|from_ms| self.usage(from_ms, requests_ms, repeats_ms))
            .max_by(|a, b| a.excess().total_cmp(&b.excess()))
            .unwrap_or_default()
    }

    fn usage(&self, from_ms: u64, requests_ms: &[u64], repeats_ms: &[u64]) -> WindowUsage {
        let requests = [0, self.window_ms / 2, self.window_ms]
            .map(|earlier_ms| self.count(requests_ms, from_ms, earlier_ms))
            .into_iter()
            .max()
            .unwrap_or(0);
        #[expect(clippy::cast_precision_loss, reason = "a count far below the mantissa")]
        let allowed = self.ratio * requests as f64 + self.allowance;
        WindowUsage {
            from_ms,
            repeats: self.count(repeats_ms, from_ms, 0),
            allowed,
        }
    }

    /// Counts the times in the window that begins `earlier_ms` before `from_ms`.
    fn count(&self, times_ms: &[u64], from_ms: u64, earlier_ms: u64) -> usize {
        let end_ms = (from_ms + self.window_ms).saturating_sub(earlier_ms);
        let begin_ms = from_ms.saturating_sub(earlier_ms);
        let before = |limit_ms: u64| times_ms.partition_point(|at_ms| *at_ms < limit_ms);
        before(end_ms) - before(begin_ms)
    }
}

impl WindowUsage {
    /// Returns whether more arrivals were repeated than allowed.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.excess() > 0.0
    }

    #[expect(clippy::cast_precision_loss, reason = "a count far below the mantissa")]
    fn excess(&self) -> f64 {
        self.repeats as f64 - self.allowed
    }
}

impl fmt::Display for BudgetAudit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let worst = &self.worst;
        write!(
            f,
            "{}{}: {} requests, {} arrivals, {} repeated; {} in the window from {} ms, {:.1} allowed",
            if worst.is_over() {
                "BUDGET broken, "
            } else {
                ""
            },
            self.service,
            self.requests,
            self.arrivals,
            self.repeats,
            worst.repeats,
            worst.from_ms,
            worst.allowed
        )
    }
}
