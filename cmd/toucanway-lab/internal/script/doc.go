// Package script runs testscript files with a package's own commands, also in tests with synthetic time.
package script
