// Package fanout decides from which member of the control group an entry host receives changes of the shared state. The leader tells
// the other members, and each of these tells a part of the entry hosts, so that the leader's work for a change doesn't grow with
// their number, and a change crosses to another region once for each member there.
//
// A Chooser chooses for one host; it has no network and no clock.
package fanout
