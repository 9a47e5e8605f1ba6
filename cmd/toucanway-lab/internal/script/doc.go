// Package script plays test scripts with commands of a package's own in tests with synthetic time.
package script
