// Package schema decodes YAML strictly into structs described by tags and reports all problems at once, each with file,
// line, section and remedy. The reference pages are generated from the same tags.
//
// Tags of a field: key is the kebab-case key, with ",required" if it may not be left out; default, min and max are written
// like the value itself; pattern is a regular expression for the whole value; doc is one or two sentences. A slice of
// structs with a field of key "@name" is a mapping by name; a further field of key "@value" holds the value itself.
package schema
