// Package config defines the configuration document: its types, strict decoding that reports all problems at once, the
// difference between two texts by section and line, and the merge of changes to different sections.
//
// Parse returns a Document, which is read-only and safe for concurrent use. Diff compares two texts, and Rebase merges changes.
package config
