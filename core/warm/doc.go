// Package warm learns when targets are called. From that it decides how long an idle target stays loaded, and when to preload
// one before its next call.
//
// A Tracker records the calls and makes these decisions. It is not safe for concurrent use.
package warm
