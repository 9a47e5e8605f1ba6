// Package advice chooses the entry hosts that callers of a model or service should use.
package advice
