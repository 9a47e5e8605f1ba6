// Package settings reads the YAML settings of one host and reports all their problems at once.
package settings
