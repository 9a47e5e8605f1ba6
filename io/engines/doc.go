// Package engines speaks to model engines: streamed completions, cancellation, inventories and orders; and takes what
// backend servers say of themselves: announcements, load reports, cache events and leaves.
package engines
