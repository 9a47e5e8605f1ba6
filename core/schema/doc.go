// Package schema decodes YAML strictly into structs described by field tags and reports all problems at once, each with file,
// line, section and remedy. The reference pages are generated from the same tags.
//
// The tags of a field: key is the kebab-case key, followed by ",required" if it may not be left out; default, min and max are
// written like the value itself; pattern is a regular expression that the whole value must match; doc is one or two sentences.
// A slice of structs with a field of key "@name" is written as a mapping by name; if a field of key "@value" exists, it holds
// the value of each name.
package schema
