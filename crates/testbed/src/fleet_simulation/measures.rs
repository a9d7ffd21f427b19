//! What is counted: how late each event is acted on, and for how many dispatcher-seconds a bound is broken.
//!
//! A dispatcher is over the bound of purges at each moment at which there is a purge, issued more than the bound ago,
//! that it has not acted on. Such time is of one of three kinds: the log itself is away; no way leads from the log to
//! the dispatcher; or neither, and only the way of changes is to blame.

use super::assumptions::*;
use copperroute_routing::interface::Nanos;

/// A span of time; one that still lasts ends at the end of time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Span {
    pub from: Nanos,
    pub to: Nanos,
}

impl Span {
    fn common(&self, from: Nanos, to: Nanos) -> f64 {
        self.to.min(to).since(self.from.max(from)).secs()
    }
}

/// Dispatcher-seconds over a bound, by what is to blame.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Over {
    /// The way of changes.
    pub way_s: f64,
    /// The log was away.
    pub log_away_s: f64,
    /// There was no way from the log to the dispatcher.
    pub unreachable_s: f64,
}

impl Over {
    fn add(&mut self, total_s: f64, log_away_s: f64, unreachable_s: f64) {
        self.log_away_s += log_away_s;
        self.unreachable_s += unreachable_s;
        self.way_s += (total_s - log_away_s - unreachable_s).max(0.0);
    }
}

/// One dispatcher's account.
#[derive(Debug, Clone, Default)]
struct Account {
    started: Nanos,
    /// Up to here its time over the bound of purges, and of configuration, has been counted.
    purges_counted: Nanos,
    configuration_counted: Nanos,
    /// In a row it has been over the bound for so long; the longest of the run; and all of it.
    row_s: f64,
    longest_s: f64,
    total_s: f64,
    /// The last second in which bytes came, and how many.
    second: u64,
    bytes: u64,
    version: u64,
}

#[derive(Debug, Default)]
pub(super) struct Measures {
    /// Nothing is counted before.
    from: Nanos,
    accounts: Vec<Account>,
    /// When no way led to some dispatchers, and to which.
    cut: Option<(Span, Vec<bool>)>,
    away: Option<Span>,
    /// By event: the longest that a reachable dispatcher took.
    pub slowest: Vec<Nanos>,
    /// By dispatcher and version: until it was in force.
    pub in_force: Vec<Nanos>,
    pub purges: Over,
    /// Reckoned for versions that come by chance at the told rate.
    pub configuration: Over,
    /// Dispatcher-seconds in which more than the bytes of the bound came, and the most in one.
    pub bytes_over_s: u64,
    pub most_bytes: u64,
    /// Bytes that came to dispatchers in all.
    pub bytes: u64,
    pub out_of_touch_s: f64,
    /// When a dispatcher was first, and when one was last, seen to become out of touch.
    pub knew: Option<(Nanos, Nanos)>,
}

impl Measures {
    pub(super) fn new(dispatchers: u32, from: Nanos) -> Self {
        Measures { from, accounts: vec![Account::default(); dispatchers as usize], ..Measures::default() }
    }

    /// The log goes away.
    pub(super) fn log_away(&mut self, now: Nanos) {
        self.away = Some(Span { from: now, to: Nanos(u64::MAX) });
    }

    /// The log is back.
    pub(super) fn log_back(&mut self, now: Nanos) {
        self.away.iter_mut().for_each(|span| span.to = now);
    }

    /// From now on no way leads to these dispatchers.
    pub(super) fn cut(&mut self, now: Nanos, members: Vec<bool>) {
        self.cut = Some((Span { from: now, to: Nanos(u64::MAX) }, members));
    }

    pub(super) fn healed(&mut self, now: Nanos) {
        self.cut.iter_mut().for_each(|(span, _)| span.to = now);
    }

    /// A dispatcher starts.
    pub(super) fn started(&mut self, dispatcher: u32, now: Nanos) {
        let account = &mut self.accounts[dispatcher as usize];
        let (longest_s, total_s) = (account.longest_s, account.total_s);
        *account = Account {
            started: now,
            purges_counted: now.max(self.from),
            configuration_counted: now.max(self.from),
            longest_s,
            total_s,
            ..Account::default()
        };
    }

    fn cut_of(&self, dispatcher: u32) -> Option<Span> {
        self.cut.as_ref().filter(|(_, members)| members[dispatcher as usize]).map(|(span, _)| *span)
    }

    /// The dispatcher acts now on an event, or ends without having done so.
    pub(super) fn acted(&mut self, dispatcher: u32, number: u64, [issued, entered]: [Nanos; 2], now: Nanos) {
        let cut = self.cut_of(dispatcher);
        self.count_slowest(dispatcher, number, entered, now);
        let account = &mut self.accounts[dispatcher as usize];
        let from = issued.after(PURGE_BOUND).max(account.purges_counted);
        if now > from {
            let blame = |span: Option<Span>| span.map_or(0.0, |span| span.common(from, now));
            let unreachable_s = blame(cut);
            let away_s = blame(self.away).min(now.since(from).secs() - unreachable_s);
            self.purges.add(now.since(from).secs(), away_s, unreachable_s);
            account.row_s = if from == account.purges_counted { account.row_s } else { 0.0 };
            account.row_s += now.since(from).secs();
            account.total_s += now.since(from).secs();
            account.longest_s = account.longest_s.max(account.row_s);
            account.purges_counted = now;
        }
        let from = issued.after(CONFIGURATION_BOUND).max(account.configuration_counted);
        if now > from {
            let total_s = now.since(from).secs();
            let part = |span: Option<Span>| span.map_or(0.0, |span| span.common(from, now)) / total_s;
            let unreachable = part(cut);
            let away = part(self.away).min(1.0 - unreachable);
            let expected_s = expected(total_s);
            self.configuration.add(expected_s, expected_s * away, expected_s * unreachable);
            account.configuration_counted = now;
        }
    }

    /// How long a dispatcher took since this moment, without the time in which there was no way to it.
    fn took(&self, dispatcher: u32, since: Nanos, now: Nanos) -> Nanos {
        let since = since.max(self.accounts[dispatcher as usize].started);
        let cut_s = self.cut_of(dispatcher).map_or(0.0, |span| span.common(since, now));
        now.since(since).since(Nanos::from_secs(cut_s))
    }

    fn count_slowest(&mut self, dispatcher: u32, number: u64, entered: Nanos, now: Nanos) {
        if entered < self.from {
            return;
        }
        let took = self.took(dispatcher, entered, now);
        let at = number as usize;
        if self.slowest.len() <= at {
            self.slowest.resize(at + 1, Nanos::ZERO);
        }
        self.slowest[at] = self.slowest[at].max(took);
    }

    /// A version is in force at a dispatcher; `issued` tells when each was, from the first on.
    pub(super) fn version(&mut self, dispatcher: u32, version: u64, issued: &[Nanos], now: Nanos) {
        let account = &mut self.accounts[dispatcher as usize];
        let before = account.version;
        account.version = version.max(before);
        let counted_from = self.from.max(account.started);
        let new = issued.iter().take(version as usize).skip(before as usize);
        for issued in new {
            if *issued >= counted_from {
                self.in_force.push(self.took(dispatcher, *issued, now));
            }
        }
    }

    /// Bytes have come to a dispatcher.
    pub(super) fn bytes(&mut self, dispatcher: u32, bytes: u64, now: Nanos) {
        if now < self.from {
            return;
        }
        let account = &mut self.accounts[dispatcher as usize];
        let second = now.0 / SECOND.0;
        if account.second != second {
            (account.second, account.bytes) = (second, 0);
        }
        let before = account.bytes;
        account.bytes += bytes;
        self.bytes += bytes;
        self.bytes_over_s += u64::from(before <= CONTROL_BYTES && account.bytes > CONTROL_BYTES);
        self.most_bytes = self.most_bytes.max(account.bytes);
    }

    /// A dispatcher was out of touch for one sweep; `anew` if it was not at the sweep before.
    pub(super) fn out_of_touch(&mut self, now: Nanos, anew: bool) {
        if now < self.from {
            return;
        }
        self.out_of_touch_s += SWEEP.secs();
        if anew {
            let first = self.knew.map_or(now, |knew| knew.0);
            self.knew = Some((first, now));
        }
    }

    /// How many dispatchers were over the bound of purges, and the longest for which one was.
    pub(super) fn affected(&self) -> (usize, f64) {
        let over = self.accounts.iter().filter(|account| account.total_s > 0.0);
        let longest = self.accounts.iter().map(|account| account.longest_s).fold(0.0, f64::max);
        (over.count(), longest)
    }
}

/// Of so many seconds in which a version could be overdue, the part in which one is, where versions come by chance.
fn expected(exposed_s: f64) -> f64 {
    let per_s = VERSIONS_PER_HOUR / 3_600.0;
    exposed_s - (1.0 - (-per_s * exposed_s).exp()) / per_s
}

/// The value that this part of them does not exceed; they are put in order.
pub(super) fn quantile(values: &mut [Nanos], part: f64) -> Nanos {
    values.sort_unstable();
    let at = (values.len() as f64 * part).ceil() as usize;
    values.get(at.saturating_sub(1)).copied().unwrap_or(Nanos::ZERO)
}
