// Package version holds the build's version, set by the linker.
package version

// Version is the build's version.
var Version = "development"
