// Package lint finds entries of a configuration that have no effect, limits that contradict each other, and the differences between two
// configurations, so that operators see them before they send a configuration. Its texts never contain keys.
package lint
