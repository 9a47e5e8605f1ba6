// Package config is the configuration document: its types, strict decoding with all problems at once, differences between
// two texts by section and line, and the merge of changes that touch different sections.
package config
