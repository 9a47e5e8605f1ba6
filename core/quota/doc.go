// Package quota bounds the requests of client accounts over all hosts: the leader of the control group lends credit under each quota to
// the entry hosts, which spend it without asking for each request.
//
// A Ledger (leader) keeps for each account a claim X and the credit O that hosts may hold; a Credit (host) spends what it holds. With the
// rate r, the burst b and the usable tolerance T, the requests of any window of length d take at most r·d + b + T units, over all hosts
// and in all failures. Requests count at their admission, which lies between the time at which the caller sends them and the time at which
// a server gets them, so that the bound holds for requests that are sent and reach a server within the window.
//
// Rules of one ledger. Issuing n units raises X and O by n, and is allowed if X+n ≤ b+T and O+n ≤ b+T/2. Credit that is returned unused
// or cancelled lowers both, credit that is used or may have been lowers only O. X leaks at the rate r, but not below O. Hosts never hold
// more than O: they state what they hold in each call, they apply at most the answer to the call that they sent last, the ledger cancels
// an answer that a later call doesn't confirm, and a host stops using credit before the ledger stops counting it. So within one ledger
// the use in a window from s to t is at most O(s) plus what is issued less what is returned, which is O(s) + X(t) - X(s) + r·(t-s), and
// with O ≤ X at most X(t) + r·(t-s) ≤ b + T + r·(t-s).
//
// Change of leader. A new ledger doesn't know what was lent. For takeoverTime (D, 6 s), until all earlier credit has ended, it keeps a
// claim that begins at T/2 and may not exceed T/2, doesn't leak for takeoverDelay (0.5 s), and lends credit that ends within this delay
// (BriefLifetime and its margin). Then it adds b+T/2 to the claim for the earlier credit. Consider a window from s to t.
//
//   - Each ledger that begins within the window issues at most r times its length: its claim begins at T/2 and ends at T/2 at most, or
//     after D begins at b+T and ends at b+T at most. So ledgers after the one of s add nothing to the bound of that one.
//   - If s lies after the first D of its ledger, all earlier credit has ended, and the bound of one ledger holds.
//   - If s lies within the first D, at most b+T/2 of the last ledger that was past its own D is outstanding, and no older credit. Credit of
//     takeovers between them ends takeoverDelay after the next ledger begins, and no ledger issues before that, so that only one of them,
//     or the ledger of s itself, has credit outstanding, T/2 at most. In the former case the claim of s is T/2 still, in the latter it is
//     at least O(s). Either way the use is at most (b+T/2) + T/2 + r·(t-s).
//
// Refunds. For a request that did not run, the claim is lowered by what it would be lower without the request: its units, or the least
// difference of X and O since they were counted as used if that is smaller, since the leak would have stopped there.
//
// A quota that is lowered cuts the claim to the new bound, and hosts return all credit when they hear of it; windows that begin after that
// keep the new bound. Slack counts up to half a window of the rate and the burst, and 1% of the rate is left for the drift of clocks.
//
// Fairness. Hosts that were denied credit wait in the order of their denials. Up to T/2 of the claim is kept for those that have come back and
// were denied again, until some time after they were told to ask once more. The others can still use b+T/2, so that a host that doesn't come back costs no rate.
//
// The types read no clock and are not safe for concurrent use.
package quota
