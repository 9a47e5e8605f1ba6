// Package warm learns when targets are called and decides how long an idle one stays loaded and when to load it ahead.
package warm
